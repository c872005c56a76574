"""This member's row and the key map in the store, changed together.

Every change is one transaction that expects this member's own row as it last
wrote it. A takeover of this member's keys removes that row, so a member whose
lease has expired can change nothing any more.

Each epoch of the store has rows of its own; see ``holds.epoch_start``.
"""

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.availability import StoreAvailability
from plantaingrade.holds.change_pacing import ChangePacing
from plantaingrade.holds.changes import (
    RENEWAL,
    Change,
    CommitAttempt,
    CommitResult,
    SentWrite,
)
from plantaingrade.holds.const import (
    LONGEST_LEASE_S,
    MAX_MEMBER_GROWTH,
    RETRY_S,
)
from plantaingrade.holds.epochs import MemberEpochs
from plantaingrade.holds.lease import MemberRow, placeholder_row
from plantaingrade.holds.map_turn_queue import MapTurnRank
from plantaingrade.holds.migration import find_unconfirmed_transfers
from plantaingrade.holds.own_rows import OwnRowFactory, decode_own_row
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
    make_epoch_start_write,
    make_transaction,
)
from plantaingrade.holds.witnesses import Witnesses
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import NO_MAP, KeyMap
from plantaingrade.peers.entity import Member
from plantaingrade.peers.map_turn_taking import MapTurnTaking
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
from plantaingrade.store.interface import Committer, Store

Planner = Callable[['Registry'], Change | None]


def _result_unsent(*, is_late: bool) -> CommitResult:
    return CommitResult.FAILED if is_late else CommitResult.NOT_WANTED


class Registry:
    """Reads and changes the rows of one service."""

    __slots__ = (
        '_clock',
        '_log',
        '_maps',
        '_own_row_factory',
        '_shared_renewals',
        '_store',
        '_writing',
        'accepts_keys',
        'availability',
        'backoff',
        'change_base',
        'epochs',
        'is_joined',
        'is_migrating',
        'is_waiting',
        'member',
        'change_pacing',
        'own_row',
        'rows',
        'term',
    )

    def __init__(
        self,
        store: Store,
        maps: KeyMaps,
        member: Member,
        witnesses: Witnesses,
        turns: MapTurnTaking,
        clock: Clock,
        log: EventLog,
        *,
        starts_with_all: bool = False,
        shared_renewals: Committer | None = None,
    ) -> None:
        """Prepare for one member; read nothing yet.

        With ``starts_with_all`` the process starts together with the whole
        system, for the first time. ``shared_renewals`` commits renewals
        together with those of other members.
        """
        self._shared_renewals = shared_renewals or store
        # Whether the lease dates from an earlier epoch than the rows.
        self.is_migrating = False
        self.term = LeaseTerm(store.clock)
        self._store = store
        self._maps = maps
        self._clock = clock
        self._log = log
        self.change_pacing = ChangePacing(member, maps, turns, clock)
        self.backoff = self.change_pacing.backoff
        self.rows = MemberRows(member, maps, log)
        self.epochs = MemberEpochs(
            store.epochs,
            self.rows,
            clock,
            starts_with_all=starts_with_all,
        )
        self._own_row_factory = OwnRowFactory(member, witnesses.choose)
        self._writing = asyncio.Lock()
        self.member = member
        # The map from which the last committed change was made.
        self.change_base = NO_MAP
        self.availability = StoreAvailability()
        self.accepts_keys = True
        self.own_row: MemberRow | None = None
        self.is_joined = False
        # Whether leases of an earlier epoch keep this run from joining.
        self.is_waiting = False

    @property
    def key_map(self) -> KeyMap:
        """Return the map of this member's service."""
        return self._maps.find(self.member.service)

    @property
    def stored_map(self) -> KeyMap:
        """Return the map as stored, which may lack transfers known here."""
        return self._maps.find_stored(self.member.service)

    @property
    def lease_until(self) -> float:
        """Return the local time until which this member may grant keys."""
        return self.term.until

    def has_lease(self, now: float) -> bool:
        """Return whether this member may grant keys now."""
        return self.is_joined and now < self.lease_until

    def lease_times(self) -> LeaseTimes:
        """Return the lease timing for a service of this size."""
        return lease_times(self.rows.count_with(self.key_map))

    def advance_epoch(self) -> None:
        """Switch to the rows of the store's newest epoch, if there is one.

        The rows of the epoch before are gone, or older than what is known. A
        lease continues and is migrated later.
        """
        if not self.epochs.is_behind:
            return
        before = self.epochs.current
        self.epochs.advance(self.lease_times().full_s)
        self.is_migrating = self.is_joined
        self.own_row = None
        # Nothing can be changed before the lease has been migrated.
        self.availability.on_change(self._clock.now(), is_answered=False)
        self._log.write(
            'epoch-followed',
            epoch=self.epochs.current,
            before=before,
            carries=self.is_migrating,
            map_version=self.key_map.version,
            fence=self.key_map.fence,
        )

    async def async_start_epoch(self) -> None:
        """Store when members without a lease may join, unless it is stored."""
        if self.epochs.missing_start() is None:
            return
        lease_s = await _async_earlier_lease_s(
            self._store, self.member.service, self.epochs
        )
        start = self.epochs.missing_start(lease_s)
        if start is not None and self.rows.is_loaded:
            transaction = make_epoch_start_write(self._names(), start)
            await self._store.async_commit(transaction)

    def store_now(self) -> float | None:
        """Return an estimate of the store's clock, ``None`` if unknown."""
        return self._store.clock.estimate(self._clock.now())

    async def async_read(self) -> bool:
        """Read the rows of the service; return whether that worked."""
        outcome = await self._async_read_rows()
        is_answered = isinstance(outcome, RangeRead)
        self.availability.on_read(self._clock.now(), is_answered=is_answered)
        if not isinstance(outcome, RangeRead):
            self._log.write('store-read-failed', why=outcome.failure)
            return False
        self.rows.replace_all(outcome.rows, outcome.now_s)
        found = self.rows.by_name.get(self.member.name)
        if found is not None and not self.is_joined:
            self.own_row = found
        return True

    async def async_commit(
        self,
        plan: Planner,
        limit_s: float,
        *,
        joins: bool = False,
        migrates: bool = False,
        contended_limit_s: float | None = None,
        is_shared: bool = False,
    ) -> CommitResult:
        """Renew the own row, together with the change planned for the state.

        Only a change that ``joins`` adopts a row of an earlier run; any other
        fails once this run has lost its own row. A change that ``migrates`` the
        lease comes first in a new epoch. ``contended_limit_s`` replaces
        ``limit_s`` as long as only changes of other members are in the way.
        The first try of a renewal that ``is_shared`` is committed together with
        those of other members; later tries don't depend on them.

        A transaction without an answer may be applied seconds later. Renewals
        follow it, however long that takes, until the own row has changed: then
        either its write id is in the row, or its condition can no longer hold.
        Otherwise two servers could hold the same keys.
        """
        async with self._writing:
            if not joins and not self.is_joined:
                return CommitResult.LOST
            self.advance_epoch()
            if self.is_migrating != migrates:
                return CommitResult.FAILED
            if (joins or migrates) and not self.rows.is_loaded:
                return CommitResult.FAILED
            if joins and not self.epochs.may_join(self.member.name):
                return CommitResult.FAILED
            now = self._clock.now()
            contended_s = (
                limit_s if contended_limit_s is None else contended_limit_s
            )
            attempt = CommitAttempt(
                self.epochs.current,
                now + limit_s,
                now + contended_s,
                self._shared_renewals if is_shared else self._store,
                lambda: self._lose_lease('ended while a write was open'),
            )
            is_deferrable = self.accepts_keys and contended_s < limit_s
            rank = MapTurnRank(is_deferrable)
            with attempt, self.change_pacing.attempt(rank):
                return await self._async_attempt(plan, attempt)

    async def async_give_up(self, why: str) -> None:
        """Stop holding the lease; others may take the keys after its end."""
        async with self._writing:
            if self.is_joined:
                self._lose_lease(why)

    async def async_leave(self) -> None:
        """Remove the own row once no key is owned any more."""
        async with self._writing:
            if self.own_row is None or self.key_map.owned_by(self.member.name):
                return
            name = self._names().member(self.member.name)
            expected = (Expected(name, self.own_row.version),)
            self.is_joined = False
            self.own_row = None
            await self._store.async_commit(
                Transaction(
                    expected, deletes=(name,), epoch=self.epochs.current
                )
            )

    async def _async_attempt(
        self, plan: Planner, attempt: CommitAttempt
    ) -> CommitResult:
        commit_result = None
        while commit_result is None:
            now = self._clock.now()
            ended = self._end_outdated(attempt, now)
            if ended is not None:
                return ended
            is_late = now > attempt.ends
            change = None if is_late else plan(self)
            if change is None and not attempt.sent_by_id:
                return _result_unsent(is_late=is_late)
            if not await self.change_pacing.async_wait(change, attempt):
                write = self._make_write(change)
                commit_result = await self._async_send(write, attempt)
        return commit_result

    def _end_outdated(
        self, attempt: CommitAttempt, now: float
    ) -> CommitResult | None:
        """End an attempt that can't continue in this epoch of the store."""
        if self._store.epochs.newest != attempt.epoch:
            return self._abandon_attempt(attempt.sent_by_id)
        if self.is_migrating and not self.has_lease(now):
            return self._lose_lease(
                'lease of an earlier epoch ended before migration'
            )
        return None

    def _make_write(self, change: Change | None) -> SentWrite:
        """Return the write to send; without a change, a barrier."""
        row = self._own_row_factory.make(
            self.store_now() or 0.0,
            self.lease_times(),
            accepts_keys=self.accepts_keys,
            has_pending=self.term.has_pending,
        )
        return SentWrite(
            row, change or RENEWAL, change is None, self.stored_map
        )

    async def _async_send(
        self, write: SentWrite, attempt: CommitAttempt
    ) -> CommitResult | None:
        """Send one transaction; return ``None`` if another must follow."""
        sent_at = self._clock.now()
        attempt.has_sent = True
        self.term.on_sent(write.row)
        is_map_current = self.key_map.epoch == self.epochs.current
        transaction = make_transaction(
            self._names(),
            write,
            self.own_row.version if self.own_row else 0,
            self.key_map.version if is_map_current else 0,
        )
        committer = attempt.committer
        attempt.committer = self._store
        outcome = await committer.async_commit(transaction)
        commit_result = self._apply_outcome(write, outcome, attempt.sent_by_id)
        if commit_result is not None:
            return commit_result
        if isinstance(outcome, EpochEnded):
            return None
        if isinstance(outcome, Conflict):
            self.change_pacing.on_conflict(write.change, sent_at)
            return None
        self.change_pacing.on_unanswered()
        attempt.has_only_conflicts = False
        self._log.write(
            'store-write-open',
            why=str(outcome),
            unknown=len(attempt.sent_by_id),
        )
        await asyncio.sleep(RETRY_S)
        return None

    def _apply_outcome(
        self,
        write: SentWrite,
        outcome: TransactionOutcome,
        sent_by_id: dict[str, SentWrite],
    ) -> CommitResult | None:
        """Apply an outcome; return a result if it ends the attempt."""
        is_answered = isinstance(outcome, Committed | Conflict)
        self.availability.on_change(self._clock.now(), is_answered=is_answered)
        match outcome:
            case Committed(version=version):
                self._on_committed(write, version)
                sent_by_id.clear()
                return write.final_result
            case Conflict():
                self.term.on_not_applied(write.row)
                return self._on_conflict(outcome, sent_by_id)
            case OutcomeUnknown():
                sent_by_id[write.row.write_id] = write
            case EpochEnded():
                self.term.on_not_applied(write.row)
                sent_by_id[write.row.write_id] = write
            case NotDone(failure=failure):
                self.term.on_not_applied(write.row)
                if failure is StoreFailure.REFUSED:
                    self._log.write('store-refused', write=write.row.write_id)
        return None

    def _abandon_attempt(
        self, sent_by_id: dict[str, SentWrite]
    ) -> CommitResult:
        """End an attempt whose epoch of the store is over.

        What it may have transferred counts as transferred: these ranges stay
        unserved until their receiver claims them, or until it is certain that
        nobody does.
        """
        transferred = find_unconfirmed_transfers(
            self.key_map, self.member.name, sent_by_id.values()
        )
        if transferred:
            fence = max(
                self.key_map.fence, *(each.fence for each in transferred)
            )
            self._maps.apply_unconfirmed(
                self.member.service, transferred, fence
            )
        self.advance_epoch()
        return CommitResult.FAILED

    def _names(self) -> RowNames:
        return RowNames(self.member.service, self.epochs.current)

    async def _async_read_rows(self) -> ReadOutcome:
        """Read the rows of the newest epoch, as given in the response."""
        while True:
            self.advance_epoch()
            names = self._names()
            outcome = await self._store.async_read(TABLE, names.part)
            is_read = isinstance(outcome, RangeRead)
            if not is_read or outcome.epoch == names.epoch:
                return outcome

    def _on_committed(self, write: SentWrite, version: int) -> None:
        row, change = write.row, write.change
        self.own_row = replace(row, version=version)
        self.rows.by_name[self.member.name] = self.own_row
        if write.is_barrier and not self.is_joined:
            # Only the change itself joins: a renewal would let this run grant
            # keys under the fences of the run before.
            self.term.on_none_pending()
            return
        self.term.on_applied(row)
        if not self.is_joined:
            self.epochs.on_joined()
        self.is_joined = True
        self.is_migrating = False
        for lapsed in change.removed:
            self.rows.by_name.pop(lapsed.member.name, None)
        if change.key_map is not None:
            self.change_base = write.base
            key_map = change.key_map.at_version(version)
            self.change_pacing.on_committed(write.base, key_map)
            self._maps.update_if_newer(self.member.service, key_map)

    def _on_conflict(
        self,
        conflict: Conflict,
        sent_by_id: dict[str, SentWrite],
    ) -> CommitResult | None:
        """Apply the conflicting rows; return a result if the attempt ends."""
        own_name = self._names().member(self.member.name)
        found = None
        is_blocked = False
        for row in conflict.rows:
            if row.name == own_name and row.version and not row.is_deleted:
                found = row
                continue
            is_read = self.rows.apply(row, conflict.now_s)
            # From now on a member's row that cannot be read is ignored.
            is_blocked |= row.name.key == KEY_MAP and not is_read
        commit_result = self._on_own_row(found, sent_by_id)
        if commit_result is None and is_blocked and not sent_by_id:
            # Otherwise failing transactions would follow each other without a
            # pause.
            self._log.write('commit-blocked', map_version=self.key_map.version)
            return CommitResult.FAILED
        return commit_result

    def _on_own_row(
        self, found: Row | None, sent_by_id: dict[str, SentWrite]
    ) -> CommitResult | None:
        """Apply the own row as stored; return a result if the attempt ends."""
        if found is None and self.own_row is None:
            # It was missing before as well, so the conflict is with another
            # row.
            return None
        if found is None:
            return self._lose_lease('own row removed')
        own = decode_own_row(found, self.member.name)
        if own is None:
            self.rows.unreadable.log_once(found, 'Own row unreadable.')
        if own is None and self.is_joined:
            return self._lose_lease('own row unreadable')
        if own is None:
            # Nothing sent before this row was written can be applied any more.
            sent_by_id.clear()
            self.term.on_none_pending()
            self.own_row = placeholder_row(self.member, found.version, 0)
            return None
        earlier = sent_by_id.get(own.write_id)
        if earlier is not None:
            self._on_committed(earlier, found.version)
            # Every other write expects a version that is no longer current.
            sent_by_id.clear()
            return earlier.final_result
        if own.member.boot != self.member.boot and self.is_joined:
            return self._lose_lease('own row written by another run')
        self.own_row = own
        return None

    def _lose_lease(self, why: str) -> CommitResult:
        self._log.write('lease-lost', why=why, until=self.lease_until)
        self.own_row = None
        self.is_joined = False
        self.is_migrating = False
        self.term.on_lost()
        return CommitResult.LOST


async def _async_earlier_lease_s(
    store: Store, service: str, epochs: MemberEpochs
) -> float:
    """Return the longest lease of the epoch before, in seconds.

    The rows of that epoch show how many members the snapshot contained.
    """
    if epochs.is_base:
        return 0.0
    earlier = RowNames(service, epochs.current - 1)
    outcome = await store.async_read(TABLE, earlier.part)
    rows = outcome.rows if isinstance(outcome, RangeRead) else ()
    members = sum(row.name.key.startswith(KEY_MEMBER) for row in rows)
    if not members:
        return LONGEST_LEASE_S
    return lease_times(MAX_MEMBER_GROWTH * members).full_s
