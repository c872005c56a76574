"""This member's row and the key map in the store, changed together.

Every change goes through one transaction that expects this member's own row
as it wrote it last. Whoever takes this member's keys removes that row, so a
member that was given up can change nothing any more.

Each epoch of the store has rows of its own; see ``holds.epoch_start``.
"""

import asyncio
import random
from collections.abc import Callable

from msgspec.structs import replace

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.answers import StoreAnswers
from plantaingrade.holds.backoff import ConflictBackoff
from plantaingrade.holds.carrying import given_away
from plantaingrade.holds.changes import (
    RENEWAL,
    Attempt,
    Change,
    CommitResult,
    SentWrite,
)
from plantaingrade.holds.const import (
    LONGEST_LEASE_S,
    LOST_GROWTH,
    RETRY_S,
)
from plantaingrade.holds.epochs import MemberEpochs
from plantaingrade.holds.lease import (
    MemberRow,
    UnreadableLeaseError,
    decode_member_row,
    unreadable_row,
)
from plantaingrade.holds.own_rows import OwnRows
from plantaingrade.holds.rows import (
    KEY_MAP,
    KEY_MEMBER,
    TABLE,
    MemberRows,
)
from plantaingrade.holds.term import LeaseTerm
from plantaingrade.holds.times import LeaseTimes, lease_times
from plantaingrade.holds.transactions import (
    RowNames,
    make_start,
    make_transaction,
)
from plantaingrade.holds.witnesses import Witnesses
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import NO_MAP, KeyMap
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    EpochEnded,
    Expected,
    NotDone,
    OutcomeUnknown,
    RangeRead,
    ReadOutcome,
    Row,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.interface import Store

Planner = Callable[['Registry'], Change | None]


def _unsent(*, is_late: bool) -> CommitResult:
    return CommitResult.FAILED if is_late else CommitResult.NOT_WANTED


def _decode_own(row: Row, name: str) -> MemberRow | None:
    try:
        return decode_member_row(name, row.body, row.version)
    except UnreadableLeaseError:
        return None


class Registry:
    """Read and change the rows of one service."""

    __slots__ = (
        '_clock',
        '_log',
        '_maps',
        '_own_rows',
        '_store',
        '_writing',
        'answers',
        'changed_from',
        'epochs',
        'is_migrating',
        'is_joined',
        'is_waiting',
        'member',
        'own',
        'rows',
        'accepts_keys',
        'term',
        'backoff',
    )

    def __init__(
        self,
        store: Store,
        maps: KeyMaps,
        member: Member,
        witnesses: Witnesses,
        clock: Clock,
        log: EventLog,
        *,
        starts_with_all: bool = False,
    ) -> None:
        """Know the member; read nothing yet.

        A process that ``starts_with_all`` does so when the whole system starts
        for the first time.
        """
        # Whether the lease is one of an earlier epoch than the rows.
        self.is_migrating = False
        self.term = LeaseTerm(store.clock)
        self._store = store
        self._maps = maps
        self._clock = clock
        self._log = log
        self.backoff = ConflictBackoff(random.Random(member.boot))
        self.rows = MemberRows(member, maps, log)
        self.epochs = MemberEpochs(
            store.epochs,
            self.rows,
            clock,
            starts_with_all=starts_with_all,
        )
        self._own_rows = OwnRows(member, witnesses.choose)
        self._writing = asyncio.Lock()
        self.member = member
        # The map that the last change done here was made from.
        self.changed_from = NO_MAP
        self.answers = StoreAnswers()
        self.accepts_keys = True
        self.own: MemberRow | None = None
        self.is_joined = False
        # Whether leases of an earlier epoch keep this run from joining.
        self.is_waiting = False

    @property
    def key_map(self) -> KeyMap:
        """Return the map of this member's service."""
        return self._maps.find(self.member.service)

    @property
    def stored_map(self) -> KeyMap:
        """Return the map as the store holds it, which may lack something."""
        return self._maps.find_stored(self.member.service)

    @property
    def lease_until(self) -> float:
        """Return the local time until which this member may grant keys."""
        return self.term.until

    def has_lease(self, now: float) -> bool:
        """Tell whether this member may grant keys now."""
        return self.is_joined and now < self.lease_until

    def lease_times(self) -> LeaseTimes:
        """Return the times of leases in a service of this size."""
        known = max(len(self.rows.by_name), len(self.key_map.owners()))
        return lease_times(known)

    def follow_epoch(self) -> None:
        """Go by the rows of the store's newest epoch from now on.

        Those of the epoch before are gone, or older than what is known. A lease
        runs on, to be carried over.
        """
        if not self.epochs.is_behind:
            return
        before = self.epochs.current
        self.epochs.advance(self.lease_times().full_s)
        self.is_migrating = self.is_joined
        self.own = None
        # Nothing can be changed before the lease has been carried over.
        self.answers.on_change(self._clock.now(), is_answered=False)
        self._log.write(
            'epoch-followed',
            epoch=self.epochs.current,
            before=before,
            carries=self.is_migrating,
            map_version=self.key_map.version,
            fence=self.key_map.fence,
        )

    async def async_start_epoch(self) -> None:
        """Write from when on members without a lease may join this epoch."""
        if self.epochs.missing_start() is None:
            return
        lease_s = await self._async_earlier_lease_s()
        start = self.epochs.missing_start(lease_s)
        if start is not None and self.rows.are_read:
            transaction = make_start(self._names(), start)
            await self._store.async_commit(transaction)

    def store_now(self) -> float | None:
        """Return about what the store's clock reads now."""
        return self._store.clock.estimate(self._clock.now())

    async def async_read(self) -> bool:
        """Read the rows of the service; tell whether that worked."""
        outcome = await self._async_read_rows()
        is_answered = isinstance(outcome, RangeRead)
        self.answers.on_read(self._clock.now(), is_answered=is_answered)
        if not isinstance(outcome, RangeRead):
            self._log.write('store-read-failed', why=outcome.failure)
            return False
        self.rows.take_all(outcome.rows, outcome.now_s)
        found = self.rows.by_name.get(self.member.name)
        if found is not None and not self.is_joined:
            self.own = found
        return True

    async def async_commit(
        self,
        plan: Planner,
        limit_s: float,
        *,
        joins: bool = False,
        carries: bool = False,
        crowded_limit_s: float | None = None,
    ) -> CommitResult:
        """Renew the own row, together with what the plan makes of the state.

        Only a change that ``joins`` takes up a row of an earlier run; any
        other ends when this run has lost its own. One that ``carries`` the
        lease over comes first in a new epoch. ``crowded_limit_s`` holds
        instead of ``limit_s`` while others' changes are all that is in the
        way.

        A transaction without an answer may be applied seconds later. It is
        followed by renewals, however long that takes, until the own row has
        changed: either it shows there by its write id, or its condition can
        hold no more. Else two servers could hold the same keys.
        """
        async with self._writing:
            if not joins and not self.is_joined:
                return CommitResult.LOST
            self.follow_epoch()
            if self.is_migrating != carries:
                return CommitResult.FAILED
            if (joins or carries) and not self.rows.are_read:
                return CommitResult.FAILED
            if joins and not self.epochs.may_join(self.member.name):
                return CommitResult.FAILED
            now = self._clock.now()
            crowded_s = limit_s if crowded_limit_s is None else crowded_limit_s
            attempt = Attempt(
                self.epochs.current, now + limit_s, now + crowded_s
            )
            return await self._commit(plan, attempt)

    async def async_leave(self) -> None:
        """Remove the own row, once no key is owned any more."""
        async with self._writing:
            if self.own is None or self.key_map.owned_by(self.member.name):
                return
            name = self._names().member(self.member.name)
            expected = (Expected(name, self.own.version),)
            self.is_joined = False
            self.own = None
            await self._store.async_commit(
                Transaction(
                    expected, deletes=(name,), epoch=self.epochs.current
                )
            )

    async def _commit(self, plan: Planner, attempt: Attempt) -> CommitResult:
        ended = None
        while ended is None:
            now = self._clock.now()
            if self._store.epochs.newest != attempt.epoch:
                return self._end_epoch(attempt.sent_by_id)
            if self.is_migrating and not self.has_lease(now):
                return self._lose('lease over in an earlier epoch')
            is_late = now > attempt.ends
            change = None if is_late else plan(self)
            if change is None and not attempt.sent_by_id:
                return _unsent(is_late=is_late)
            ended = await self._async_send(self._write(change), attempt)
        return ended

    def _write(self, change: Change | None) -> SentWrite:
        """Return what to send; without a change, a barrier."""
        row = self._own_rows.make(
            self.store_now() or 0.0,
            self.lease_times(),
            accepts_keys=self.accepts_keys,
            has_open=self.term.has_open,
        )
        return SentWrite(
            row, change or RENEWAL, change is None, self.stored_map
        )

    async def _async_send(
        self, write: SentWrite, attempt: Attempt
    ) -> CommitResult | None:
        """Send one transaction; return nothing if another must be sent."""
        sent_at = self._clock.now()
        self.term.on_sent(write.row)
        is_map_there = self.key_map.epoch == self.epochs.current
        transaction = make_transaction(
            self._names(),
            write,
            self.own.version if self.own else 0,
            self.key_map.version if is_map_there else 0,
        )
        outcome = await self._store.async_commit(transaction)
        ended = self._take_outcome(write, outcome, attempt.sent_by_id)
        if ended is not None:
            return ended
        if isinstance(outcome, EpochEnded):
            return None
        if isinstance(outcome, Conflict):
            await self._async_give_way(write, attempt, sent_at)
            return None
        attempt.is_undisturbed = False
        self._log.write(
            'store-write-open',
            why=str(outcome),
            unknown=len(attempt.sent_by_id),
        )
        await asyncio.sleep(RETRY_S)
        return None

    async def _async_give_way(
        self, write: SentWrite, attempt: Attempt, sent_at: float
    ) -> None:
        """Let others change the map before this member tries once more."""
        if write.change.key_map is None:
            return
        now = self._clock.now()
        pause_s = self.backoff.on_conflict(now - sent_at)
        await asyncio.sleep(max(0.0, min(pause_s, attempt.ends - now)))

    def _take_outcome(
        self,
        write: SentWrite,
        outcome: TransactionOutcome,
        sent_by_id: dict[str, SentWrite],
    ) -> CommitResult | None:
        """Act on an outcome; tell whether that ends the attempt."""
        is_answered = isinstance(outcome, Committed | Conflict)
        self.answers.on_change(self._clock.now(), is_answered=is_answered)
        match outcome:
            case Committed(version=version):
                self._on_committed(write, version)
                sent_by_id.clear()
                return write.ending
            case Conflict():
                self.term.on_refused(write.row)
                return self._on_conflict(outcome, sent_by_id)
            case OutcomeUnknown():
                sent_by_id[write.row.write_id] = write
            case EpochEnded():
                self.term.on_refused(write.row)
                sent_by_id[write.row.write_id] = write
            case NotDone(failure=failure):
                self.term.on_refused(write.row)
                if failure is StoreFailure.REFUSED:
                    self._log.write('store-refused', write=write.row.write_id)
        return None

    def _end_epoch(self, sent_by_id: dict[str, SentWrite]) -> CommitResult:
        """End an attempt whose epoch of the store is over.

        What it may have given away is counted as given: it rests until its
        receiver or nobody claims it.
        """
        given = given_away(self.key_map, self.member.name, sent_by_id.values())
        if given:
            fence = max(self.key_map.fence, *(each.fence for each in given))
            self._maps.suppose(self.member.service, given, fence)
        self.follow_epoch()
        return CommitResult.FAILED

    def _names(self) -> RowNames:
        return RowNames(self.member.service, self.epochs.current)

    async def _async_earlier_lease_s(self) -> float:
        """Return how long leases of the epoch before were at most.

        Its rows show how many members there were when they were copied.
        """
        if self.epochs.is_base:
            return 0.0
        earlier = RowNames(self.member.service, self.epochs.current - 1)
        outcome = await self._store.async_read(TABLE, earlier.part)
        rows = outcome.rows if isinstance(outcome, RangeRead) else ()
        members = sum(row.name.key.startswith(KEY_MEMBER) for row in rows)
        if not members:
            return LONGEST_LEASE_S
        return lease_times(LOST_GROWTH * members).full_s

    async def _async_read_rows(self) -> ReadOutcome:
        """Read the rows of the newest epoch, as the answer itself tells it."""
        while True:
            self.follow_epoch()
            names = self._names()
            outcome = await self._store.async_read(TABLE, names.part)
            is_read = isinstance(outcome, RangeRead)
            if not is_read or outcome.epoch == names.epoch:
                return outcome

    def _on_committed(self, write: SentWrite, version: int) -> None:
        row, change = write.row, write.change
        self.own = replace(row, version=version)
        self.rows.by_name[self.member.name] = self.own
        if write.is_barrier and not self.is_joined:
            # Only the change itself joins: a renewal would let this run grant
            # keys under the fences of the run before.
            self.term.on_none_open()
            return
        self.term.on_standing(row)
        if not self.is_joined:
            self.epochs.on_joined()
        self.is_joined = True
        self.is_migrating = False
        for lapsed in change.removed:
            self.rows.by_name.pop(lapsed.member.name, None)
        if change.key_map is not None:
            self.backoff.on_success()
            self.changed_from = write.base
            key_map = change.key_map.at_version(version)
            self._maps.offer(self.member.service, key_map)

    def _on_conflict(
        self,
        conflict: Conflict,
        sent_by_id: dict[str, SentWrite],
    ) -> CommitResult | None:
        """Take the rows as they stand; tell whether that ends the attempt."""
        own_name = self._names().member(self.member.name)
        found = None
        is_blocked = False
        for row in conflict.rows:
            if row.name == own_name and row.version and not row.is_deleted:
                found = row
                continue
            is_read = self.rows.take(row, conflict.now_s)
            # A member's row that cannot be read is passed over from now on.
            is_blocked |= row.name.key == KEY_MAP and not is_read
        ended = self._on_own_row(found, sent_by_id)
        if ended is None and is_blocked and not sent_by_id:
            # Else transactions that fail follow each other without a pause.
            self._log.write('commit-blocked', map_version=self.key_map.version)
            return CommitResult.FAILED
        return ended

    def _on_own_row(
        self, found: Row | None, sent_by_id: dict[str, SentWrite]
    ) -> CommitResult | None:
        """Act on the own row as it stands; tell if that ends the attempt."""
        if found is None and self.own is None:
            # It was not there before either, so something else conflicted.
            return None
        if found is None:
            return self._lose('own row removed')
        own = _decode_own(found, self.member.name)
        if own is None:
            self.rows.unreadable.note(found, 'Own row.')
        if own is None and self.is_joined:
            return self._lose('own row unreadable')
        if own is None:
            # Nothing sent before it was written can be applied any more.
            sent_by_id.clear()
            self.term.on_none_open()
            self.own = unreadable_row(self.member, found.version, 0)
            return None
        earlier = sent_by_id.get(own.write_id)
        if earlier is not None:
            self._on_committed(earlier, found.version)
            # Every other write expects a version that is past.
            sent_by_id.clear()
            return earlier.ending
        if own.member.boot != self.member.boot and self.is_joined:
            return self._lose('own row taken by another run')
        self.own = own
        return None

    def _lose(self, why: str) -> CommitResult:
        self._log.write('lease-lost', why=why, until=self.lease_until)
        self.own = None
        self.is_joined = False
        self.is_migrating = False
        self.term.on_lost()
        return CommitResult.LOST
