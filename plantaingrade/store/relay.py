"""Reach the store through other processes when it turns this one away."""

from collections.abc import Callable
from typing import Protocol

from plantaingrade.clock import Clock
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.eventlog import EventLog
from plantaingrade.peers.entity import Member
from plantaingrade.store.clock import StoreClock
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    EpochEnded,
    FeedOutcome,
    NotDone,
    OutcomeUnknown,
    RangeRead,
    ReadOutcome,
    RowsWanted,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.epochs import StoreEpochs
from plantaingrade.store.interface import Store

# After a call that failed, others go first for this long; then the store is
# tried directly again. An outage found over is used at most this much later.
DIRECT_PAUSE_S = 2.0
# After a call that others could not do either, they are left alone: the store
# is away for all, and asking them would only add to the load.
RELAY_PAUSE_S = 1.0
# Members asked for one call, of those in different zones first.
MAX_RELAYS = 2
# A member that could not help is asked after all others for this long: what
# cuts several instances off lasts for seconds.
REFUSED_PAUSE_S = 5.0

PATH_COMMIT = '/-/store/commit'
PATH_READ = '/-/store/read'
TRANSACTION_CODEC = Codec(Transaction)
COMMIT_CODEC = Codec(TransactionOutcome)
READ_CODEC = Codec(ReadOutcome)
WANTED_CODEC = Codec(RowsWanted)


class RelayCalls(Protocol):
    """Calls to other processes."""

    async def async_relay(
        self, member: Member, path: str, body: bytes
    ) -> bytes | None:
        """Have a member make a call; return its answer, if it came."""


class RelayedStore:
    """A store that is called directly, or through others while that fails.

    The store may turn some instances away and serve the others. Another process
    makes the call in this one's name; conditions and versions are the same.
    """

    __slots__ = (
        '_calls',
        '_clock',
        '_direct',
        '_direct_bad_until',
        '_log',
        '_helper',
        '_members',
        '_refused_until',
        '_relay_bad_until',
    )

    def __init__(
        self,
        direct: Store,
        calls: RelayCalls,
        members: Callable[[], list[Member]],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Call directly at first; ``members`` may make calls instead."""
        self._direct = direct
        self._calls = calls
        self._members = members
        self._clock = clock
        self._log = log
        self._direct_bad_until = 0.0
        self._relay_bad_until = 0.0
        self._refused_until: dict[str, float] = {}
        self._helper = ''

    @property
    def clock(self) -> StoreClock:
        """Return what is known of the store's clock."""
        return self._direct.clock

    @property
    def epochs(self) -> StoreEpochs:
        """Return what is known of the store's epochs."""
        return self._direct.epochs

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a transaction."""
        if self._is_direct_good():
            outcome = await self._direct.async_commit(transaction)
            self._note_direct(outcome)
            # What may have been done is not given to others as well: the
            # caller decides whether to send it again.
            if not isinstance(outcome, NotDone):
                return outcome
        body = TRANSACTION_CODEC.encode(transaction)
        outcome = await self._async_relay_commit(body)
        if isinstance(outcome, EpochEnded):
            self.epochs.note(outcome.epoch)
        if transaction.epoch < self.epochs.newest:
            return EpochEnded(self.epochs.newest)
        return outcome

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows of one part of a table."""
        if self._is_direct_good():
            outcome = await self._direct.async_read(table, part)
            self._note_direct(outcome)
            if not isinstance(outcome, NotDone):
                return outcome
        body = WANTED_CODEC.encode(RowsWanted(table, part))
        outcome = await self._async_relay_read(body)
        if isinstance(outcome, NotDone):
            return outcome
        if outcome.epoch > self.epochs.newest:
            self.epochs.note(outcome.epoch)
        if outcome.epoch < self.epochs.newest:
            return NotDone(StoreFailure.OUTDATED)
        return outcome

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        """Wait for rows of a table that changed after a version."""
        return await self._direct.async_follow(table, after, wait_s)

    def _is_direct_good(self) -> bool:
        now = self._clock.now()
        return now >= self._direct_bad_until or now < self._relay_bad_until

    def _note_direct(self, outcome: TransactionOutcome | ReadOutcome) -> None:
        is_bad = isinstance(outcome, NotDone | OutcomeUnknown)
        was_bad = self._direct_bad_until > 0
        if is_bad:
            now = self._clock.now()
            self._direct_bad_until = now + DIRECT_PAUSE_S
            if not was_bad:
                self._log.write('store-lost', why=outcome.failure)
        elif was_bad:
            self._direct_bad_until = 0.0
            self._log.write('store-regained')

    async def _async_relay_commit(self, body: bytes) -> TransactionOutcome:
        for member in self._relays():
            sent_at = self._clock.now()
            answer = await self._calls.async_relay(member, PATH_COMMIT, body)
            if answer is None:
                self._note_refusal(member)
                return OutcomeUnknown(StoreFailure.LOST)
            try:
                outcome = COMMIT_CODEC.decode(answer)
            except MalformedMessageError:
                return OutcomeUnknown(StoreFailure.MALFORMED)
            if isinstance(outcome, Committed | Conflict):
                self._observe(sent_at, outcome.now_s)
            if not isinstance(outcome, NotDone):
                self._on_helped(member)
                return outcome
            self._note_refusal(member)
            self._log.write(
                'relay-refused', member=member.name, why=outcome.failure
            )
        return NotDone(StoreFailure.NOT_REACHED)

    async def _async_relay_read(self, body: bytes) -> ReadOutcome:
        for member in self._relays():
            sent_at = self._clock.now()
            answer = await self._calls.async_relay(member, PATH_READ, body)
            if answer is None:
                self._note_refusal(member)
                continue
            try:
                outcome = READ_CODEC.decode(answer)
            except MalformedMessageError:
                continue
            if isinstance(outcome, RangeRead):
                self._observe(sent_at, outcome.now_s)
                self._on_helped(member)
                return outcome
            self._note_refusal(member)
        return NotDone(StoreFailure.NOT_REACHED)

    def _relays(self) -> list[Member]:
        """Return whom to ask: who helped last, then who has not refused.

        The pause begins only where somebody is asked, and so is over in time.
        """
        now = self._clock.now()
        if now < self._relay_bad_until:
            return []
        self._relay_bad_until = now + RELAY_PAUSE_S
        members = self._members()
        members.sort(key=lambda member: self._rank(member, now))
        return members[:MAX_RELAYS]

    def _rank(self, member: Member, now: float) -> int:
        if self._refused_until.get(member.name, 0.0) > now:
            return 2
        return int(member.name != self._helper)

    def _on_helped(self, member: Member) -> None:
        self._helper = member.name
        self._relay_bad_until = 0.0

    def _note_refusal(self, member: Member) -> None:
        until = self._clock.now() + REFUSED_PAUSE_S
        self._refused_until[member.name] = until

    def _observe(self, sent_at: float, store_s: float) -> None:
        self.clock.observe(sent_at, self._clock.now(), store_s)


class RelayHandler:
    """Make calls in the name of other processes."""

    __slots__ = ('_direct',)

    def __init__(self, direct: Store) -> None:
        """Call the store directly only, so that no call goes in circles."""
        self._direct = direct

    async def async_commit(self, body: bytes) -> bytes:
        """Apply another process's transaction; return the outcome.

        Raises:
            MalformedMessageError: the bytes are no transaction.
        """
        transaction = TRANSACTION_CODEC.decode(body)
        return COMMIT_CODEC.encode(await self._direct.async_commit(transaction))

    async def async_read(self, body: bytes) -> bytes:
        """Read rows for another process; return the outcome.

        Raises:
            MalformedMessageError: the bytes name no rows.
        """
        wanted = WANTED_CODEC.decode(body)
        outcome = await self._direct.async_read(wanted.table, wanted.part)
        return READ_CODEC.encode(outcome)
