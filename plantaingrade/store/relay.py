"""Relay store calls through other processes while direct calls fail."""

from collections.abc import Callable
from typing import Protocol

from plantaingrade.clock import Clock
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.eventlog import EventLog
from plantaingrade.peers.entity import Member
from plantaingrade.store.batches import CommitBatches
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

# After a failed direct call, relays are used for this long before the next
# direct attempt. The end of an outage is noticed at most this much later.
DIRECT_PAUSE_S = 2.0
# After a call that failed through relays too, none are used for this long: the
# store is unavailable for everyone, and relayed calls would only add load.
RELAY_PAUSE_S = 1.0
# Relays tried for one call; those in other zones come first.
MAX_RELAYS = 2
# A relay that failed is tried after all others for this long, since a fault
# that cuts off several instances lasts for seconds.
RELAY_FAILURE_PAUSE_S = 5.0

PATH_COMMIT = '/-/store/commit'
PATH_READ = '/-/store/read'
TRANSACTION_CODEC = Codec(Transaction)
COMMIT_CODEC = Codec(TransactionOutcome)
READ_CODEC = Codec(ReadOutcome)
ROWS_WANTED_CODEC = Codec(RowsWanted)


class RelayCalls(Protocol):
    """Client for store calls through other processes."""

    async def async_relay(
        self, member: Member, path: str, body: bytes
    ) -> bytes | None:
        """Call the store through a member; return None without an answer."""


class RelayedStore:
    """Store client that uses other processes as relays while calls fail.

    The store may reject some instances and serve the others. A relay makes the
    call on behalf of this process, with the same conditions and versions.
    """

    __slots__ = (
        '_calls',
        '_clock',
        '_deprioritized_until',
        '_direct',
        '_last_relay',
        '_log',
        '_members',
        '_skip_direct_until',
        '_skip_relays_until',
    )

    def __init__(
        self,
        direct: Store,
        calls: RelayCalls,
        members: Callable[[], list[Member]],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Call directly at first; ``members`` returns possible relays."""
        self._direct = direct
        self._calls = calls
        self._members = members
        self._clock = clock
        self._log = log
        self._skip_direct_until = 0.0
        self._skip_relays_until = 0.0
        self._deprioritized_until: dict[str, float] = {}
        self._last_relay = ''

    @property
    def clock(self) -> StoreClock:
        """Return the estimate of the store's clock."""
        return self._direct.clock

    @property
    def epochs(self) -> StoreEpochs:
        """Return the known epochs of the store."""
        return self._direct.epochs

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a transaction."""
        if self._should_call_directly():
            outcome = await self._direct.async_commit(transaction)
            self._on_direct_outcome(outcome)
            # A transaction that may have been applied is not relayed as well:
            # the caller decides whether to send it again.
            if not isinstance(outcome, NotDone):
                return outcome
        body = TRANSACTION_CODEC.encode(transaction)
        outcome = await self._async_relay_commit(body)
        if isinstance(outcome, EpochEnded):
            self.epochs.record(outcome.epoch)
        if transaction.epoch < self.epochs.newest:
            return EpochEnded(self.epochs.newest)
        return outcome

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows of one part of a table."""
        if self._should_call_directly():
            outcome = await self._direct.async_read(table, part)
            self._on_direct_outcome(outcome)
            if not isinstance(outcome, NotDone):
                return outcome
        body = ROWS_WANTED_CODEC.encode(RowsWanted(table, part))
        outcome = await self._async_relay_read(body)
        if isinstance(outcome, NotDone):
            return outcome
        if outcome.epoch > self.epochs.newest:
            self.epochs.record(outcome.epoch)
        if outcome.epoch < self.epochs.newest:
            return NotDone(StoreFailure.OUTDATED)
        return outcome

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        """Wait for rows of a table that changed after a version."""
        return await self._direct.async_follow(table, after, wait_s)

    def _should_call_directly(self) -> bool:
        now = self._clock.now()
        return now >= self._skip_direct_until or now < self._skip_relays_until

    def _on_direct_outcome(
        self, outcome: TransactionOutcome | ReadOutcome
    ) -> None:
        has_failed = isinstance(outcome, NotDone | OutcomeUnknown)
        was_failing = self._skip_direct_until > 0
        if has_failed:
            now = self._clock.now()
            self._skip_direct_until = now + DIRECT_PAUSE_S
            if not was_failing:
                self._log.write('store-lost', why=outcome.failure)
        elif was_failing:
            self._skip_direct_until = 0.0
            self._log.write('store-regained')

    async def _async_relay_commit(self, body: bytes) -> TransactionOutcome:
        for member in self._relays():
            sent_at = self._clock.now()
            answer = await self._calls.async_relay(member, PATH_COMMIT, body)
            if answer is None:
                self._on_relay_failure(member)
                return OutcomeUnknown(StoreFailure.LOST)
            try:
                outcome = COMMIT_CODEC.decode(answer)
            except MalformedMessageError:
                return OutcomeUnknown(StoreFailure.MALFORMED)
            if isinstance(outcome, Committed | Conflict):
                self._observe(sent_at, outcome.now_s)
            if not isinstance(outcome, NotDone):
                self._on_relay_success(member)
                return outcome
            self._on_relay_failure(member)
            self._log.write(
                'relay-refused', member=member.name, why=outcome.failure
            )
        return NotDone(StoreFailure.NOT_REACHED)

    async def _async_relay_read(self, body: bytes) -> ReadOutcome:
        for member in self._relays():
            sent_at = self._clock.now()
            answer = await self._calls.async_relay(member, PATH_READ, body)
            if answer is None:
                self._on_relay_failure(member)
                continue
            try:
                outcome = READ_CODEC.decode(answer)
            except MalformedMessageError:
                continue
            if isinstance(outcome, RangeRead):
                self._observe(sent_at, outcome.now_s)
                self._on_relay_success(member)
                return outcome
            self._on_relay_failure(member)
        return NotDone(StoreFailure.NOT_REACHED)

    def _relays(self) -> list[Member]:
        """Return the relays to try, best first; none during the relay pause.

        The last successful relay comes first and recently failed ones last. The
        pause starts only when relays are returned, so that calls made during
        the pause do not extend it.
        """
        now = self._clock.now()
        if now < self._skip_relays_until:
            return []
        self._skip_relays_until = now + RELAY_PAUSE_S
        members = self._members()
        members.sort(key=lambda member: self._priority(member, now))
        return members[:MAX_RELAYS]

    def _priority(self, member: Member, now: float) -> int:
        if self._deprioritized_until.get(member.name, 0.0) > now:
            return 2
        return int(member.name != self._last_relay)

    def _on_relay_success(self, member: Member) -> None:
        self._last_relay = member.name
        self._skip_relays_until = 0.0

    def _on_relay_failure(self, member: Member) -> None:
        until = self._clock.now() + RELAY_FAILURE_PAUSE_S
        self._deprioritized_until[member.name] = until

    def _observe(self, sent_at: float, store_s: float) -> None:
        self.clock.observe(sent_at, self._clock.now(), store_s)


class RelayHandler:
    """Handle store calls on behalf of other processes."""

    __slots__ = ('_direct', 'batches')

    def __init__(self, direct: Store) -> None:
        """Use only direct store calls, so that relays cannot form a loop."""
        self._direct = direct
        self.batches = CommitBatches(direct)

    async def async_commit(self, body: bytes) -> bytes:
        """Apply a transaction of another process; return the outcome.

        Raises:
            MalformedMessageError: the body is not a valid transaction.
        """
        transaction = TRANSACTION_CODEC.decode(body)
        return COMMIT_CODEC.encode(await self._direct.async_commit(transaction))

    async def async_renew(self, body: bytes) -> bytes:
        """Apply a renewal together with others; return the outcome.

        Raises:
            MalformedMessageError: the body is not a valid transaction.
        """
        transaction = TRANSACTION_CODEC.decode(body)
        outcome = await self.batches.async_commit(transaction)
        return COMMIT_CODEC.encode(outcome)

    async def async_read(self, body: bytes) -> bytes:
        """Read rows for another process; return the outcome.

        Raises:
            MalformedMessageError: the body does not name a table part.
        """
        wanted = ROWS_WANTED_CODEC.decode(body)
        outcome = await self._direct.async_read(wanted.table, wanted.part)
        return READ_CODEC.encode(outcome)
