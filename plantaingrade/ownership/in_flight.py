"""Requests in flight for each slice."""

from collections import Counter


class InFlightRequests:
    """Track which slices have requests that may still run.

    A request whose response was lost may still run in the backend server after
    a handover of the slice, at most until the deadline it was sent with.
    """

    __slots__ = ('_in_flight', '_may_run_until')

    def __init__(self) -> None:
        """Start with no requests."""
        self._in_flight: Counter[str] = Counter()
        self._may_run_until: dict[str, float] = {}

    def begin(self, slice_id: str) -> None:
        """Record that a request starts."""
        self._in_flight[slice_id] += 1

    def end(self, slice_id: str, *, may_run_until: float | None) -> None:
        """Record that a request ended, or until when it may still run."""
        self._in_flight[slice_id] -= 1
        if not self._in_flight[slice_id]:
            self._in_flight.pop(slice_id)
        if may_run_until is not None:
            known = self._may_run_until.get(slice_id, may_run_until)
            self._may_run_until[slice_id] = max(known, may_run_until)

    def is_idle(self, slice_id: str, now: float) -> bool:
        """Return whether no request of this slice can still be running."""
        until = self._may_run_until.get(slice_id)
        if until is not None and until <= now:
            self._may_run_until.pop(slice_id)
            until = None
        return until is None and slice_id not in self._in_flight

    def may_still_run(self, slice_id: str, now: float) -> bool:
        """Return whether some request without a response may still run.

        Only its deadline can end it.
        """
        until = self._may_run_until.get(slice_id)
        return until is not None and until > now

    def total(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight.total()
