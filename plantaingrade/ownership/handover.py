"""Handover of slices to their successors without a gap in ownership."""

from collections.abc import Callable
from typing import Any

from plantaingrade.clock import Clock
from plantaingrade.journal.checks import has_ended
from plantaingrade.journal.entity import MapState, MemberRow, SliceRow
from plantaingrade.leases.const import EARLIEST
from plantaingrade.ownership.const import ACCEPTANCE_S, RELEASE_EVERY_S
from plantaingrade.ownership.entity import Offer, OfferAccepted, Release
from plantaingrade.ownership.in_flight import InFlightRequests
from plantaingrade.ownership.table import OwnershipTable


class SliceHandover:
    """Offer slices to their successors, and release them once they are idle.

    The owner serves a slice until its successor has accepted the offer. As
    datagrams may be lost, a release is repeated until the journal shows that
    the successor took over. A released slice is never taken back, since the
    successor may already own it.
    """

    __slots__ = (
        '_accepted_until',
        '_clock',
        '_in_flight',
        '_leaving',
        '_next_offer_at',
        '_row',
        '_send',
        '_slice_ids',
        '_state',
        '_table',
    )

    def __init__(
        self,
        row: MemberRow,
        state: Callable[[], MapState],
        clock: Clock,
        send: Callable[[Any, str], None],
        table: OwnershipTable,
        in_flight: InFlightRequests,
    ) -> None:
        """Release slices on behalf of one member."""
        self._row = row
        self._state = state
        self._clock = clock
        self._send = send
        self._table = table
        self._in_flight = in_flight
        self._slice_ids: set[str] = set()
        self._accepted_until: dict[str, float] = {}
        self._leaving = False
        self._next_offer_at = EARLIEST

    @property
    def is_leaving(self) -> bool:
        """Return whether this member releases all of its slices."""
        return self._leaving

    def is_handing_over(self, slice_id: str) -> bool:
        """Return whether new requests for a slice must wait for its next owner.

        While a request without a response may still run, the slice cannot be
        released, so new requests are served here instead of waiting.
        """
        if not self._is_accepted(slice_id):
            return False
        return not self._in_flight.may_still_run(slice_id, self._clock.now())

    def leave(self) -> None:
        """Start to release all slices, each once its requests have ended."""
        if not self._leaving:
            self._leaving = True
            self.plan()

    def cancel_leave(self) -> None:
        """Stop releasing slices; those already released stay released."""
        if self._leaving:
            self._leaving = False
            self.plan()

    def plan(self) -> None:
        """Find the slices to release: all when leaving, else those moving."""
        state = self._state()
        self._slice_ids = {
            part.slice_id
            for part in state.slices.values()
            if (self._leaving or part.moving) and self._can_release(part)
        }

    def on_accepted(self, message: OfferAccepted) -> None:
        """Record that the successor can take over a slice now."""
        part = self._state().slices.get(message.slice_id)
        if part is None or part.successor != message.successor:
            return
        if message.slice_id in self._slice_ids and part.fence == message.fence:
            until = self._clock.now() + ACCEPTANCE_S
            self._accepted_until[message.slice_id] = until

    def tick(self, now: float) -> None:
        """Release idle slices; send the offers and releases that are due."""
        if self._slice_ids:
            self._release_idle(now)
        if now >= self._next_offer_at:
            self._next_offer_at = now + RELEASE_EVERY_S
            self._send_offers()
            self._send_releases()

    def _is_accepted(self, slice_id: str) -> bool:
        until = self._accepted_until.get(slice_id)
        if until is None or slice_id not in self._slice_ids:
            return False
        return until > self._clock.now()

    def _can_release(self, part: SliceRow) -> bool:
        # A slice acquired ahead of the journal has no new successor yet: the
        # one that the journal names is this member itself.
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
            if accepted and self._in_flight.is_idle(slice_id, now):
                self._table.release(slices[slice_id])
                self._slice_ids.discard(slice_id)
                self._accepted_until.pop(slice_id)
                self._next_offer_at = EARLIEST

    def _send_offers(self) -> None:
        slices = self._state().slices
        for slice_id in self._slice_ids:
            self._send_to_successor(Offer, slice_id, slices[slice_id].fence)

    def _send_releases(self) -> None:
        for slice_id, fence in self._table.released.items():
            self._send_to_successor(Release, slice_id, fence)

    def _send_to_successor(
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
        row = self._row
        message = kind(slice_id, row.member, fence, successor.member, row.udp)
        self._send(message, successor.udp)
