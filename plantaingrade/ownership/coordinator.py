"""Take over, release and renounce slices, by the journal and the leases."""

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
from plantaingrade.leases.const import LEASE_S, MAX_CLOCK_DRIFT
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
from plantaingrade.ownership.handover import SliceHandover
from plantaingrade.ownership.in_flight import InFlightRequests
from plantaingrade.ownership.table import OwnershipTable
from plantaingrade.placement.policy import name_own_successors


class Takeover(Struct):
    """Takeover that waits until requests under the old fence have ended.

    Times are in seconds on this process's clock.
    """

    owner: str
    at: float
    proof: Proof
    epoch: int
    proven_at: float
    taken_at: float | None = None
    done: bool = False


class OwnershipCoordinator:
    """Decide which slices one member owns; does no I/O itself."""

    __slots__ = (
        '_clock',
        '_lease_until',
        '_pending',
        '_row',
        '_send',
        '_state',
        '_takeover_by_owner',
        '_without_successor',
        'handover',
        'in_flight',
        'last_takeover',
        'table',
        'takeovers',
    )

    def __init__(
        self,
        row: MemberRow,
        state: Callable[[], MapState],
        clock: Clock,
        send: Callable[[Any, str], None],
        lease_until: Callable[[], float],
    ) -> None:
        """Start with no slices, for the member of ``row``."""
        self._row = row
        self._state = state
        self._clock = clock
        self._send = send
        self._lease_until = lease_until
        self._takeover_by_owner: dict[str, Takeover] = {}
        self._pending: dict[Change, None] = {}
        self._without_successor: list[str] = []
        self.table = OwnershipTable(row.member)
        self.in_flight = InFlightRequests()
        self.handover = SliceHandover(
            row,
            state,
            clock,
            send,
            self.table,
            self.in_flight,
        )
        self.takeovers = 0
        self.last_takeover: Takeover | None = None

    def find(self, service: str, key: str) -> Ownership | None:
        """Return who owns a key, as far as this process knows.

        Return None if no slice of the service covers the key.
        """
        part = find_slice(self._state(), service, key)
        return None if part is None else self.ownership_of(part)

    def ownership_of(self, part: SliceRow) -> Ownership:
        """Return who owns a slice, as far as this process knows."""
        slice_id = part.slice_id
        fence = self.table.fence(self._state(), part)
        if fence is not None:
            # The process may have been paused until after its lease ended. So
            # the clock is read at every request, and the end of the lease is
            # sent as the deadline, for a pause that follows this check.
            until = self._lease_until()
            if until <= self._clock.now():
                return LeaseLapsed(slice_id, part.successor)
            return Owned(slice_id, fence, until)
        if part.owner is None:
            return Unowned(slice_id)
        if part.owner == self._row.member:
            # Released, but the journal does not show it yet.
            if part.successor is None:
                return Unowned(slice_id)
            return OwnedElsewhere(slice_id, part.successor, None)
        return OwnedElsewhere(slice_id, part.owner, part.successor)

    def owned_slices(self) -> list[SliceRow]:
        """Return the slices that this process owns, whether leased or not."""
        state = self._state()
        return [
            part
            for part in state.slices.values()
            if self.table.fence(state, part) is not None
        ]

    def on_record(self, record: Record, _: list[ChangeOutcome]) -> None:
        """Handle one record; must be called before the next is applied."""
        state = self._state()
        for change in record.changes:
            if isinstance(change, HotKeySplit):
                self._release_carved_key(state, change)
        self.table.drop_recorded(state)
        self._schedule_takeovers(state)
        self._renounce_replaced(state)
        self._reopen_takeovers(state)
        self._find_without_successor(state)
        self.handover.plan()

    def on_proven(self, owner: str, epoch: int) -> None:
        """Plan the takeover from an owner once its lease is proven ended."""
        known = self._takeover_by_owner.get(owner)
        if known is not None and known.epoch < epoch:
            self._takeover_by_owner.pop(owner)
        row = self._state().members.get(owner)
        if row is not None:
            self._plan_takeover(row, self._grace(row), Proof.TESTIMONY, epoch)
            # The proof is recorded even if this member has no lease and so
            # takes over nothing: others wait for the end in the journal.
            self._pending[Ended(owner, Proof.TESTIMONY, epoch)] = None

    def outdated_proofs(self) -> list[str]:
        """Return owners whose witnesses changed after the takeover was done.

        The end of their lease has to be proven again by the new witnesses.
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
        """Handle a datagram of a handover."""
        match message:
            case Offer():
                self._on_offer(message)
            case OfferAccepted():
                self.handover.on_accepted(message)
            case Release():
                self._on_release(message)

    def _on_offer(self, offer: Offer) -> None:
        part = self._state().slices.get(offer.slice_id)
        if part is None or part.successor != self._row.member:
            return
        # Two members that leave at once would pass slices back and forth.
        if self.handover.is_leaving:
            return
        is_addressee = offer.successor == self._row.member
        is_current = part.owner == offer.owner and part.fence == offer.fence
        if (
            is_addressee
            and is_current
            and self._has_lease()
            and not part.next_successor
        ):
            accepted = OfferAccepted(
                offer.slice_id,
                offer.fence,
                self._row.member,
            )
            self._send(accepted, offer.reply_to)

    def _on_release(self, release: Release) -> None:
        """Acquire a slice that its owner has released to this member."""
        part = self._state().slices.get(release.slice_id)
        if part is None or release.successor != self._row.member:
            return
        if self._has_lease() and self.table.acquire_released(
            part,
            release.owner,
            release.fence,
        ):
            self._record_takeover(part)

    def tick(self) -> None:
        """Run the takeovers and handovers that are due."""
        now = self._clock.now()
        for takeover in list(self._takeover_by_owner.values()):
            if takeover.at <= now and not takeover.done:
                self._take_over(takeover)
        self.handover.tick(now)

    def pending_changes(self) -> tuple[Change, ...]:
        """Return the changes to append that the journal does not show yet."""
        state = self._state()
        self._pending = {
            change: None
            for change in self._pending
            if _is_unrecorded(state, change)
        }
        taken = [
            change.slice_id
            for change in self._pending
            if isinstance(change, TakenOver)
        ]
        named = name_own_successors(
            state,
            self._row.member,
            (*taken, *self._without_successor),
        )
        return (*self._pending, *named)

    def _find_without_successor(self, state: MapState) -> None:
        # Owners name new successors themselves, so that slices get one also
        # while there is no decider. A decider may name them as well.
        self._without_successor = [
            part.slice_id
            for part in state.slices.values()
            if part.owner == self._row.member and part.successor is None
        ]

    def _has_lease(self) -> bool:
        return self._lease_until() > self._clock.now()

    def _grace(self, row: MemberRow) -> float:
        """Return for how many seconds requests of an ended owner may run.

        A server that checks fences stops at the end of the lease, which has
        passed by the time it is proven. Others stop at the deadline of the
        request, which is up to the declared grace after the end of the lease.
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

    def _schedule_takeovers(self, state: MapState) -> None:
        for row in state.members.values():
            if row.state is MemberState.OVER:
                self._schedule_takeover(row)
        for owner in list(self._takeover_by_owner):
            if owner not in state.members:
                self._takeover_by_owner.pop(owner)

    def _schedule_takeover(self, row: MemberRow) -> None:
        # A takeover planned by the proof of an earlier epoch would leave no
        # grace to requests that the owner has sent since that epoch.
        known = self._takeover_by_owner.get(row.member)
        if known is not None and known.epoch != row.epoch:
            self._takeover_by_owner.pop(row.member)
        wait = self._grace(row)
        if row.proof is Proof.RESTART:
            wait += LEASE_S * (1 + MAX_CLOCK_DRIFT)
        proof = row.proof or Proof.TESTIMONY
        self._plan_takeover(row, wait, proof, row.epoch)

    def _take_over(self, takeover: Takeover) -> None:
        if not self._has_lease():
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
            and self.table.acquire(part)
        ]
        for part in parts:
            self._record_takeover(part)
        if parts:
            logging.info(
                'Took over %d slices from %s', len(parts), takeover.owner
            )

    def _reopen_takeovers(self, state: MapState) -> None:
        """Rerun takeovers for slices that named this member successor later."""
        for takeover in self._takeover_by_owner.values():
            if not takeover.done:
                continue
            for part in state.slices.values():
                is_remaining = part.owner == takeover.owner
                is_mine = part.successor == self._row.member
                if is_remaining and is_mine and self._is_proven(takeover, part):
                    takeover.done = False

    def _is_proven(self, takeover: Takeover, part: SliceRow) -> bool:
        """Return whether the proof of a takeover is valid for a slice.

        The owner may have replaced the witnesses that gave the proof. A proof
        of the previous epoch is then valid only if this member has been the
        successor since before the change: the owner still requires the old
        witnesses until this member has accepted the new ones.
        """
        row = self._state().members.get(takeover.owner)
        if row is None or row.state is MemberState.OVER:
            return True
        if takeover.epoch == row.epoch:
            return True
        named_before = part.successor_fence < row.epoch_at
        return named_before and takeover.epoch == row.epoch - 1

    def _record_takeover(self, part: SliceRow) -> None:
        self.takeovers += 1
        took = TakenOver(part.slice_id, self._row.member, part.successor_fence)
        self._pending[took] = None

    def _renounce_replaced(self, state: MapState) -> None:
        for part in state.slices.values():
            if part.next_successor is None:
                continue
            if part.successor == self._row.member and self.table.renounce(part):
                renounced = SuccessorWithdrawn(
                    part.slice_id,
                    self._row.member,
                    part.successor_fence,
                )
                self._pending[renounced] = None

    def _release_carved_key(self, state: MapState, carved: HotKeySplit) -> None:
        part = find_slice(state, carved.service, carved.key)
        if part is None or part.owner != self._row.member:
            return
        if not is_hot(part.slice_id):
            return  # The change was rejected: the key is still in its range.
        parent = parent_slice_id(state, part.slice_id)
        if self.table.released.get(parent) == part.fence:
            self.table.release(part)


def _is_unrecorded(state: MapState, change: Change) -> bool:
    match change:
        case Ended(member=member, epoch=epoch):
            row = state.members.get(member)
            is_alive = row is not None and row.state is not MemberState.OVER
            return is_alive and row.epoch == epoch
        case TakenOver(slice_id=slice_id, fence=fence):
            part = state.slices.get(slice_id)
            return part is not None and part.successor_fence == fence
        case SuccessorWithdrawn(slice_id=slice_id, fence=fence):
            part = state.slices.get(slice_id)
            return part is not None and part.successor_fence == fence
    return False
