"""Compute until when a member may grant keys. Pure.

The time follows from the rows that may be in the store and from the witnesses'
promises.
"""

from msgspec import Struct

from plantaingrade.holds.entity import PromiseRequest, Witness
from plantaingrade.holds.lease import MemberRow
from plantaingrade.store.clock import StoreClock


class LeaseEnds(Struct, frozen=True):
    """The two ends of a lease on the local clock; see ``holds.promises``."""

    base: float
    full: float


class SentRow(Struct, frozen=True):
    """A row that was sent and may be applied by the store."""

    row: MemberRow
    ends: LeaseEnds


class LeaseTerm:
    """The member's own lease, as far as it is proven.

    Every write that may have been applied limits the lease, unless it was
    promised: a write without an answer may be in the store with an earlier end.
    """

    __slots__ = ('_applied', '_clock', '_pending_by_number', '_promised_to')

    def __init__(self, clock: StoreClock) -> None:
        """Start without a lease."""
        self._clock = clock
        self._applied: SentRow | None = None
        self._pending_by_number: dict[int, SentRow] = {}
        self._promised_to = 0

    @property
    def until(self) -> float:
        """Return the local time until which keys may be granted."""
        if self._applied is None:
            return 0.0
        sent = (self._applied, *self._pending_by_number.values())
        return min(self._end_of(each) for each in sent)

    @property
    def can_extend(self) -> bool:
        """Return whether a promise would extend the lease."""
        if self._applied is None or not self.witness_sets():
            return False
        return not self._is_promised(self._last_number())

    @property
    def has_pending(self) -> bool:
        """Return whether a write may have been applied without an answer."""
        return bool(self._pending_by_number)

    def on_sent(self, row: MemberRow) -> None:
        """Record a write that is about to be sent."""
        self._pending_by_number[row.write_number] = self._with_ends(row)

    def on_not_applied(self, row: MemberRow) -> None:
        """Record that a write was not applied and never will be."""
        self._pending_by_number.pop(row.write_number, None)

    def on_none_pending(self) -> None:
        """Record that no unanswered write can be applied any more."""
        self._pending_by_number.clear()

    def on_applied(self, row: MemberRow) -> None:
        """Record the applied write; no earlier one can be applied any more."""
        self.on_none_pending()
        self._applied = self._with_ends(row)

    def on_lost(self) -> None:
        """Record that the lease is lost."""
        self.on_none_pending()
        self._applied = None

    def witness_sets(self) -> list[tuple[Witness, ...]]:
        """Return the witnesses of each write that may be in the store.

        Each set must agree by itself. If a write names no witnesses, the result
        is empty, as nothing can be promised.
        """
        if self._applied is None:
            return []
        sent = (self._applied, *self._pending_by_number.values())
        sets = {each.row.witnesses for each in sent}
        return [] if () in sets else sorted(sets)

    def promise_request(self, witness: Witness) -> PromiseRequest:
        """Return the request to send to a witness now."""
        row = self._applied.row
        return PromiseRequest(
            row.member.name,
            row.member.boot,
            row.write_number,
            self._last_number(),
            witness.boot,
        )

    def on_promised(self, last: int) -> None:
        """Record that all witness sets promised writes up to ``last``."""
        self._promised_to = max(self._promised_to, last)

    def _last_number(self) -> int:
        applied = self._applied.row.write_number
        return max([applied, *self._pending_by_number])

    def _end_of(self, sent: SentRow) -> float:
        is_promised = self._is_promised(sent.row.write_number)
        return sent.ends.full if is_promised else sent.ends.base

    def _is_promised(self, number: int) -> bool:
        return number <= self._promised_to

    def _with_ends(self, row: MemberRow) -> SentRow:
        ends = LeaseEnds(
            self._clock.earliest_local(row.base_until_s),
            self._clock.earliest_local(row.until_s),
        )
        return SentRow(row, ends)
