"""Take over, release and renounce slices as the journal and leases tell."""

from collections.abc import Callable
from typing import Any

from absl import logging
from msgspec import Struct

from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.journal.entity import (
    Change,
    ChangeOutcome,
    Ended,
    HotKeySplit,
    MapState,
    MemberRow,
    MemberState,
    Proof,
    Record,
    SliceRow,
    SuccessorWithdrawn,
    TakenOver,
)
from plantaingrade.journal.keys import find_slice, is_hot, parent_slice_id
from plantaingrade.leases.const import DRIFT, LEASE_S
from plantaingrade.ownership.const import DRIFT_WAIT_S
from plantaingrade.ownership.entity import (
    HandoverMessage,
    LeaseLapsed,
    Offer,
    OfferAccepted,
    Owned,
    OwnedElsewhere,
    Ownership,
    Release,
    Unowned,
)
from plantaingrade.ownership.handover import HandoverSystem
from plantaingrade.ownership.table import OwnershipTable
from plantaingrade.ownership.work import WorkTable
from plantaingrade.placement.policy import name_own_successors


class Takeover(Struct):
    """A takeover that waits until work under the old fence has ended."""

    owner: str
    at: float
    proof: Proof
    epoch: int
    proven_at: float
    taken_at: float | None = None
    done: bool = False


class OwnershipCoordinator:
    """Decide for one member which slices it may act on; no I/O of its own."""

    __slots__ = (
        '_clock',
        '_lease_until',
        '_row',
        '_send',
        '_state',
        '_takeover_by_owner',
        '_to_append',
        '_without_successor',
        'handover',
        'last_takeover',
        'table',
        'takeovers',
        'work',
    )

    def __init__(
        self,
        row: MemberRow,
        state: Callable[[], MapState],
        clock: Clock,
        send: Callable[[Any, str], None],
        lease_until: Callable[[], float],
    ) -> None:
        """Act for the member of ``row``."""
        self._row = row
        self._state = state
        self._clock = clock
        self._send = send
        self._lease_until = lease_until
        self._takeover_by_owner: dict[str, Takeover] = {}
        self._to_append: dict[Change, None] = {}
        self._without_successor: list[str] = []
        self.table = OwnershipTable(row.member)
        self.work = WorkTable()
        self.handover = HandoverSystem(
            row,
            state,
            clock,
            send,
            self.table,
            self.work,
        )
        self.takeovers = 0
        self.last_takeover: Takeover | None = None

    def find(self, service: str, key: str) -> Ownership | None:
        """Tell who owns a key, as far as this process knows."""
        part = find_slice(self._state(), service, key)
        return None if part is None else self.judge(part)

    def judge(self, part: SliceRow) -> Ownership:
        """Tell who owns a slice, as far as this process knows."""
        slice_id = part.slice_id
        fence = self.table.fence(self._state(), part)
        if fence is not None:
            # The process may have been paused past its lease. The clock is read
            # at every request, and the same end goes along as the work's
            # deadline, for a pause that comes after this check.
            until = self._lease_until()
            if until <= self._clock.now():
                return LeaseLapsed(slice_id, part.successor)
            return Owned(slice_id, fence, until)
        if part.owner is None:
            return Unowned(slice_id)
        if part.owner == self._row.member:
            # Released, and the journal has not caught up.
            if part.successor is None:
                return Unowned(slice_id)
            return OwnedElsewhere(slice_id, part.successor, None)
        return OwnedElsewhere(slice_id, part.owner, part.successor)

    def held(self) -> list[SliceRow]:
        """Return the slices whose fences this process holds."""
        state = self._state()
        return [
            part
            for part in state.slices.values()
            if self.table.fence(state, part) is not None
        ]

    def on_record(self, record: Record, _: list[ChangeOutcome]) -> None:
        """Follow one record; called before the next is applied."""
        state = self._state()
        for change in record.changes:
            if isinstance(change, HotKeySplit):
                self._follow_range(state, change)
        self.table.settle(state)
        self._schedule_ended(state)
        self._answer_wishes(state)
        self._take_late(state)
        self._find_without_successor(state)
        self.handover.plan()

    def on_proven(self, owner: str, epoch: int) -> None:
        """Plan the takeover from an owner whose lease has ended."""
        known = self._takeover_by_owner.get(owner)
        if known is not None and known.epoch < epoch:
            self._takeover_by_owner.pop(owner)
        row = self._state().members.get(owner)
        if row is not None:
            self._plan_takeover(row, self._grace(row), Proof.TESTIMONY, epoch)
            # A proof is one whoever holds it: without a lease of its own
            # this member takes nothing, but others wait for the end.
            self._to_append[Ended(owner, Proof.TESTIMONY, epoch)] = None

    def outdated_proofs(self) -> list[str]:
        """Return owners whose takeover is done but whose epoch has changed.

        Their end has to be proven again under the new witnesses.
        """
        members = self._state().members
        return [
            owner
            for owner, takeover in self._takeover_by_owner.items()
            if takeover.done
            and owner in members
            and members[owner].state is not MemberState.OVER
            and members[owner].epoch > takeover.epoch
        ]

    def on_message(self, message: HandoverMessage) -> None:
        """Take a datagram of a hand-over in."""
        match message:
            case Offer():
                self._accept(message)
            case OfferAccepted():
                self.handover.on_accepted(message)
            case Release():
                self._on_release(message)

    def _accept(self, offer: Offer) -> None:
        part = self._state().slices.get(offer.slice_id)
        if part is None or part.successor != self._row.member:
            return
        # Two that leave at once would pass slices to and fro.
        if self.handover.is_leaving:
            return
        named = offer.successor == self._row.member
        same = part.owner == offer.owner and part.fence == offer.fence
        if named and same and self._may_take() and not part.next_successor:
            accepted = OfferAccepted(
                offer.slice_id,
                offer.fence,
                self._row.member,
            )
            self._send(accepted, offer.reply_to)

    def _on_release(self, release: Release) -> None:
        """Take a slice that its owner has released to this member."""
        part = self._state().slices.get(release.slice_id)
        if part is None or release.successor != self._row.member:
            return
        if self._may_take() and self.table.take_released(
            part,
            release.owner,
            release.fence,
        ):
            self._note_take(part)

    def tick(self) -> None:
        """Run takeovers and releases that are due."""
        now = self._clock.now()
        for takeover in list(self._takeover_by_owner.values()):
            if takeover.at <= now and not takeover.done:
                self._take_over(takeover)
        self.handover.tick(now)

    def pending_changes(self) -> tuple[Change, ...]:
        """Return changes to append that the journal does not show yet."""
        state = self._state()
        self._to_append = {
            change: None
            for change in self._to_append
            if _is_news(state, change)
        }
        taken = [
            change.slice_id
            for change in self._to_append
            if isinstance(change, TakenOver)
        ]
        named = name_own_successors(
            state,
            self._row.member,
            (*taken, *self._without_successor),
        )
        return (*self._to_append, *named)

    def _find_without_successor(self, state: MapState) -> None:
        # Owners name new successors themselves, also while nobody decides; the
        # decider only helps.
        self._without_successor = [
            part.slice_id
            for part in state.slices.values()
            if part.owner == self._row.member and part.successor is None
        ]

    def _may_take(self) -> bool:
        return self._lease_until() > self._clock.now()

    def _grace(self, row: MemberRow) -> float:
        """Return how long work of an ended owner may still run.

        A server that checks fences stops at the end of the lease, which is
        over by the time it is proven. Others stop at the deadline sent along,
        which is later than the lease's end by the declared grace.
        """
        if row.checks_fence:
            return DRIFT_WAIT_S
        service = self._state().services[row.service]
        return DRIFT_WAIT_S + service.unfenced_grace_ms / MS_PER_S

    def _plan_takeover(
        self,
        row: MemberRow,
        wait: float,
        proof: Proof,
        epoch: int,
    ) -> None:
        if row.member not in self._takeover_by_owner:
            now = self._clock.now()
            takeover = Takeover(row.member, now + wait, proof, epoch, now)
            self._takeover_by_owner[row.member] = takeover

    def _schedule_ended(self, state: MapState) -> None:
        for row in state.members.values():
            if row.state is MemberState.OVER:
                self._schedule_end(row)
        for owner in list(self._takeover_by_owner):
            if owner not in state.members:
                self._takeover_by_owner.pop(owner)

    def _schedule_end(self, row: MemberRow) -> None:
        # A plan from an earlier proof would leave no grace for work that the
        # owner, which outlived that epoch, has ordered since.
        known = self._takeover_by_owner.get(row.member)
        if known is not None and known.epoch != row.epoch:
            self._takeover_by_owner.pop(row.member)
        wait = self._grace(row)
        if row.proof is Proof.RESTART:
            wait += LEASE_S * (1 + DRIFT)
        proof = row.proof or Proof.TESTIMONY
        self._plan_takeover(row, wait, proof, row.epoch)

    def _take_over(self, takeover: Takeover) -> None:
        if not self._may_take():
            return
        takeover.done = True
        takeover.taken_at = self._clock.now()
        self.last_takeover = takeover
        state = self._state()
        parts = [
            part
            for part in state.slices.values()
            if part.owner == takeover.owner
            and self._is_proven(takeover, part)
            and self.table.take(part)
        ]
        for part in parts:
            self._note_take(part)
        if parts:
            logging.info('Took %d slices of %s', len(parts), takeover.owner)

    def _take_late(self, state: MapState) -> None:
        """Take what named this member successor after the owner had ended."""
        for takeover in self._takeover_by_owner.values():
            if not takeover.done:
                continue
            for part in state.slices.values():
                late = part.owner == takeover.owner
                mine = part.successor == self._row.member
                if late and mine and self._is_proven(takeover, part):
                    takeover.done = False

    def _is_proven(self, takeover: Takeover, part: SliceRow) -> bool:
        """Tell whether a proof still speaks for a slice.

        The holder may have replaced the witnesses that the proof rests on. So
        an older proof holds for a slice only if this member was its successor
        before the change, and has been ever since; then the holder still waits
        for its consent.
        """
        row = self._state().members.get(takeover.owner)
        if row is None or row.state is MemberState.OVER:
            return True
        if takeover.epoch == row.epoch:
            return True
        named_before = part.successor_fence < row.epoch_at
        return named_before and takeover.epoch == row.epoch - 1

    def _note_take(self, part: SliceRow) -> None:
        self.takeovers += 1
        took = TakenOver(part.slice_id, self._row.member, part.successor_fence)
        self._to_append[took] = None

    def _answer_wishes(self, state: MapState) -> None:
        for part in state.slices.values():
            if part.next_successor is None:
                continue
            if part.successor == self._row.member and self.table.renounce(part):
                renounced = SuccessorWithdrawn(
                    part.slice_id,
                    self._row.member,
                    part.successor_fence,
                )
                self._to_append[renounced] = None

    def _follow_range(self, state: MapState, carved: HotKeySplit) -> None:
        part = find_slice(state, carved.service, carved.key)
        if part is None or part.owner != self._row.member:
            return
        if not is_hot(part.slice_id):
            return  # The change was rejected: the key stays in its range.
        parent = parent_slice_id(state, part.slice_id)
        if self.table.released.get(parent) == part.fence:
            self.table.release(part)


def _is_news(state: MapState, change: Change) -> bool:
    match change:
        case Ended(member=member, epoch=epoch):
            row = state.members.get(member)
            alive = row is not None and row.state is not MemberState.OVER
            return alive and row.epoch == epoch
        case TakenOver(slice_id=slice_id, fence=fence):
            part = state.slices.get(slice_id)
            return part is not None and part.successor_fence == fence
        case SuccessorWithdrawn(slice_id=slice_id, fence=fence):
            part = state.slices.get(slice_id)
            return part is not None and part.successor_fence == fence
    return False
