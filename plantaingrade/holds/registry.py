"""This member's row and the key map in the store, changed together.

Every change goes through one transaction that expects this member's own row
as it wrote it last. Whoever takes this member's keys removes that row, so a
member that was given up can change nothing any more.
"""

import asyncio
import random
from collections.abc import Callable
from itertools import count

from msgspec.structs import replace

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.changes import (
    RENEWAL,
    Attempt,
    Change,
    CommitResult,
    SentWrite,
)
from plantaingrade.holds.const import RETRY_S
from plantaingrade.holds.entity import Witness
from plantaingrade.holds.lease import (
    MemberRow,
    UnreadableLeaseError,
    decode_member_row,
    encode_member_row,
    unreadable_row,
)
from plantaingrade.holds.rows import (
    KEY_MAP,
    TABLE,
    MemberRows,
    map_row,
    member_row,
)
from plantaingrade.holds.term import LeaseTerm
from plantaingrade.holds.times import LeaseTimes, lease_times
from plantaingrade.holds.turns import TurnPauses
from plantaingrade.holds.witnesses import Witnesses
from plantaingrade.keyspace.codec import encode_map
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import NO_MAP, KeyMap
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    Expected,
    NotDone,
    OutcomeUnknown,
    Put,
    RangeRead,
    Row,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.interface import Store

Planner = Callable[['Registry'], Change | None]


def _unsent(*, is_late: bool) -> CommitResult:
    return CommitResult.FAILED if is_late else CommitResult.NOT_WANTED


class Registry:
    """Read and change the rows of one service."""

    __slots__ = (
        '_clock',
        '_is_change_answered',
        '_is_read_answered',
        '_log',
        '_maps',
        '_named',
        '_store',
        '_witnesses',
        '_write_numbers',
        '_writing',
        'answered_at',
        'changed_from',
        'is_joined',
        'member',
        'own',
        'rows',
        'takes_keys',
        'term',
        'turns',
    )

    def __init__(
        self,
        store: Store,
        maps: KeyMaps,
        member: Member,
        witnesses: Witnesses,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Know the member; read nothing yet."""
        self._witnesses = witnesses
        self.term = LeaseTerm(store.clock)
        self._store = store
        self._maps = maps
        self._clock = clock
        self._log = log
        self.turns = TurnPauses(random.Random(member.boot))
        self.rows = MemberRows(member, maps, log)
        self._named: tuple[Witness, ...] = ()
        self._write_numbers = count(1)
        self._writing = asyncio.Lock()
        self.member = member
        # The map that the last change done here was made from.
        self.changed_from = NO_MAP
        # Whether the last read and the last change had answers: a store may
        # refuse changes alone. ``answered_at`` is when the last answer came.
        self._is_read_answered = True
        self._is_change_answered = False
        self.answered_at = 0.0
        self.takes_keys = True
        self.own: MemberRow | None = None
        self.is_joined = False

    @property
    def key_map(self) -> KeyMap:
        """Return the map of this member's service."""
        return self._maps.find(self.member.service)

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

    def store_now(self) -> float | None:
        """Return about what the store's clock reads now."""
        return self._store.clock.estimate(self._clock.now())

    async def async_read(self) -> bool:
        """Read the rows of the service; tell whether that worked."""
        service = self.member.service
        outcome = await self._store.async_read(TABLE, service)
        self._is_read_answered = isinstance(outcome, RangeRead)
        self._note_answer(is_answered=self._is_read_answered)
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
        crowded_limit_s: float | None = None,
    ) -> CommitResult:
        """Renew the own row, together with what the plan makes of the state.

        Only a change that ``joins`` takes up a row of an earlier run; any
        other ends when this run has lost its own. ``crowded_limit_s`` holds
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
            now = self._clock.now()
            crowded_s = limit_s if crowded_limit_s is None else crowded_limit_s
            attempt = Attempt(now + limit_s, now + crowded_s)
            return await self._commit(plan, attempt)

    async def async_leave(self) -> None:
        """Remove the own row, once no key is owned any more."""
        async with self._writing:
            if self.own is None or self.key_map.owned_by(self.member.name):
                return
            name = member_row(self.member.service, self.member.name)
            expected = (Expected(name, self.own.version),)
            self.is_joined = False
            self.own = None
            await self._store.async_commit(
                Transaction(expected, deletes=(name,))
            )

    async def _commit(self, plan: Planner, attempt: Attempt) -> CommitResult:
        sent_by_id = attempt.sent_by_id
        while True:
            is_late = self._clock.now() > attempt.ends
            change = None if is_late else plan(self)
            if change is None and not sent_by_id:
                return _unsent(is_late=is_late)
            is_barrier = change is None
            write = SentWrite(
                self._next_row(), change or RENEWAL, is_barrier, self.key_map
            )
            ended = await self._async_send(write, attempt)
            if ended is not None:
                return ended

    async def _async_send(
        self, write: SentWrite, attempt: Attempt
    ) -> CommitResult | None:
        """Send one transaction; return nothing if another must be sent."""
        sent_at = self._clock.now()
        self.term.on_sent(write.row)
        outcome = await self._store.async_commit(self._transaction(write))
        ended = self._take_outcome(write, outcome, attempt.sent_by_id)
        if ended is not None:
            return ended
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
        pause_s = self.turns.on_late(now - sent_at)
        await asyncio.sleep(max(0.0, min(pause_s, attempt.ends - now)))

    def _take_outcome(
        self,
        write: SentWrite,
        outcome: TransactionOutcome,
        sent_by_id: dict[str, SentWrite],
    ) -> CommitResult | None:
        """Act on an outcome; tell whether that ends the attempt."""
        self._is_change_answered = isinstance(outcome, Committed | Conflict)
        self._note_answer(is_answered=self._is_change_answered)
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
            case NotDone(failure=failure):
                self.term.on_refused(write.row)
                if failure is StoreFailure.REFUSED:
                    self._log.write('store-refused', write=write.row.write_id)
        return None

    @property
    def is_store_answering(self) -> bool:
        """Tell whether a change would probably be answered now."""
        return self._is_read_answered and self._is_change_answered

    def _note_answer(self, *, is_answered: bool) -> None:
        if is_answered:
            self.answered_at = self._clock.now()

    def _next_row(self) -> MemberRow:
        now_s = self.store_now() or 0.0
        write_id = f'{self.member.boot}.{next(self._write_numbers)}'
        if not self.term.has_open:
            # Else the promises of two sets would be needed.
            self._named = self._witnesses.choose()
        times = self.lease_times()
        base_s = times.base_s if self._named else times.full_s
        return MemberRow(
            self.member,
            now_s + times.full_s,
            write_id,
            self.takes_keys,
            base_until_s=now_s + base_s,
            witnesses=self._named,
        )

    def _transaction(self, write: SentWrite) -> Transaction:
        service = self.member.service
        row, change = write.row, write.change
        own = member_row(service, self.member.name)
        expected = [Expected(own, self.own.version if self.own else 0)]
        puts = [Put(own, encode_member_row(row))]
        if change.key_map is not None:
            name = map_row(service)
            expected.append(Expected(name, self.key_map.version))
            puts.append(Put(name, encode_map(change.key_map)))
        deletes = []
        for lapsed in change.removed:
            name = member_row(service, lapsed.member.name)
            expected.append(Expected(name, lapsed.version))
            deletes.append(name)
        expected.extend(
            Expected(member_row(service, name), 0) for name in change.absent
        )
        return Transaction(tuple(expected), tuple(puts), tuple(deletes))

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
        self.is_joined = True
        for lapsed in change.removed:
            self.rows.by_name.pop(lapsed.member.name, None)
        if change.key_map is not None:
            self.turns.on_done()
            self.changed_from = write.base
            key_map = change.key_map.at_version(version)
            self._maps.offer(self.member.service, key_map)

    def _on_conflict(
        self,
        conflict: Conflict,
        sent_by_id: dict[str, SentWrite],
    ) -> CommitResult | None:
        """Take the rows as they stand; tell whether that ends the attempt."""
        own_name = member_row(self.member.service, self.member.name)
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
            return self._give_up()
        return ended

    def _give_up(self) -> CommitResult:
        """End an attempt that what cannot be read would fail at once again.

        Else transactions that fail follow each other without a pause.
        """
        self._log.write('commit-blocked', map_version=self.key_map.version)
        return CommitResult.FAILED

    def _on_own_row(
        self, found: Row | None, sent_by_id: dict[str, SentWrite]
    ) -> CommitResult | None:
        """Act on the own row as it stands; tell if that ends the attempt."""
        if found is None:
            return self._on_own_row_gone()
        own = self._decode_own(found)
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

    def _on_own_row_gone(self) -> CommitResult | None:
        if self.own is None:
            # It was not there before either, so something else conflicted.
            return None
        return self._lose('own row removed')

    def _lose(self, why: str) -> CommitResult:
        self._log.write('lease-lost', why=why, until=self.lease_until)
        self.own = None
        self.is_joined = False
        self.term.on_lost()
        return CommitResult.LOST

    def _decode_own(self, row: Row) -> MemberRow | None:
        try:
            return decode_member_row(self.member.name, row.body, row.version)
        except UnreadableLeaseError:
            return None
