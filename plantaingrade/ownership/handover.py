"""Release slices to their successors, without a gap in ownership."""

from collections.abc import Callable
from typing import Any

from plantaingrade.clock import Clock
from plantaingrade.journal.checks import has_ended
from plantaingrade.journal.entity import MapState, MemberRow, SliceRow
from plantaingrade.leases.const import EARLIEST
from plantaingrade.ownership.const import ACCEPTANCE_S, RELEASE_EVERY_S
from plantaingrade.ownership.entity import Offer, OfferAccepted, Release
from plantaingrade.ownership.table import OwnershipTable
from plantaingrade.ownership.work import WorkTable


class HandoverSystem:
    """Stop work on a slice, wait until it has ended, tell the successor.

    The successor is asked first, and the owner goes on until it has accepted. A
    release is repeated until the journal shows that the successor took the
    slice; a datagram may be lost. What is released is never taken back, since
    the successor may have taken it.
    """

    __slots__ = (
        '_accepted',
        '_clock',
        '_leaving',
        '_next_offer_at',
        '_row',
        '_send',
        '_slice_ids',
        '_state',
        '_table',
        '_work',
    )

    def __init__(
        self,
        row: MemberRow,
        state: Callable[[], MapState],
        clock: Clock,
        send: Callable[[Any, str], None],
        table: OwnershipTable,
        work: WorkTable,
    ) -> None:
        """Release on behalf of one member."""
        self._row = row
        self._state = state
        self._clock = clock
        self._send = send
        self._table = table
        self._work = work
        self._slice_ids: set[str] = set()
        self._accepted: dict[str, float] = {}
        self._leaving = False
        self._next_offer_at = EARLIEST

    @property
    def is_leaving(self) -> bool:
        """Tell whether this member lets go of everything."""
        return self._leaving

    def is_under_way(self, slice_id: str) -> bool:
        """Tell whether new work on a slice must wait for its next owner.

        While lost work may still be running, the slice cannot be released,
        so new work goes on here instead of waiting.
        """
        if not self._is_accepted(slice_id):
            return False
        return not self._work.is_lingering(slice_id, self._clock.now())

    def leave(self) -> None:
        """Release everything as soon as its work is done."""
        if not self._leaving:
            self._leaving = True
            self.plan()

    def stay(self) -> None:
        """Stop releasing; what is released stays so."""
        if self._leaving:
            self._leaving = False
            self.plan()

    def plan(self) -> None:
        """Find the slices to release, by the journal and by own wish."""
        state = self._state()
        self._slice_ids = {
            part.slice_id
            for part in state.slices.values()
            if (self._leaving or part.moving) and self._can_release(part)
        }

    def on_accepted(self, message: OfferAccepted) -> None:
        """Note that the successor would take a slice now."""
        part = self._state().slices.get(message.slice_id)
        if part is None or part.successor != message.successor:
            return
        if message.slice_id in self._slice_ids and part.fence == message.fence:
            until = self._clock.now() + ACCEPTANCE_S
            self._accepted[message.slice_id] = until

    def tick(self, now: float) -> None:
        """Offer, release what is idle, and repeat what was not taken yet."""
        if self._slice_ids:
            self._release_idle(now)
        if now >= self._next_offer_at:
            self._next_offer_at = now + RELEASE_EVERY_S
            self._send_offers()
            self._send_releases()

    def _is_accepted(self, slice_id: str) -> bool:
        until = self._accepted.get(slice_id)
        if until is None or slice_id not in self._slice_ids:
            return False
        return until > self._clock.now()

    def _can_release(self, part: SliceRow) -> bool:
        # A slice taken ahead of the journal has no successor of its own yet:
        # the one that the journal names is this member itself.
        if part.successor in {None, self._row.member}:
            return False
        state = self._state()
        if has_ended(state, part.successor):
            return False
        return self._table.fence(state, part) is not None

    def _release_idle(self, now: float) -> None:
        slices = self._state().slices
        for slice_id in tuple(self._slice_ids):
            accepted = self._is_accepted(slice_id)
            if accepted and self._work.is_idle(slice_id, now):
                self._table.release(slices[slice_id])
                self._slice_ids.discard(slice_id)
                self._accepted.pop(slice_id)
                self._next_offer_at = EARLIEST

    def _send_offers(self) -> None:
        slices = self._state().slices
        for slice_id in self._slice_ids:
            self._tell_successor(Offer, slice_id, slices[slice_id].fence)

    def _send_releases(self) -> None:
        for slice_id, fence in self._table.released.items():
            self._tell_successor(Release, slice_id, fence)

    def _tell_successor(
        self,
        kind: type[Offer | Release],
        slice_id: str,
        fence: int,
    ) -> None:
        state = self._state()
        part = state.slices.get(slice_id)
        successor = state.members.get((part and part.successor) or '')
        if successor is None:
            return
        mine = self._row
        message = kind(slice_id, mine.member, fence, successor.member, mine.udp)
        self._send(message, successor.udp)
