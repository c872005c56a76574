"""Work in progress for each slice."""

from collections import Counter


class InFlightRequests:
    """Know when a slice has no work left that could still run.

    A request whose answer never came may still run in the backend server after
    the slice was handed over. The deadline it was sent with bounds how long it
    can.
    """

    __slots__ = ('_busy_until', '_in_flight')

    def __init__(self) -> None:
        """Start idle."""
        self._in_flight: Counter[str] = Counter()
        self._busy_until: dict[str, float] = {}

    def begin(self, slice_id: str) -> None:
        """Note that a request starts."""
        self._in_flight[slice_id] += 1

    def end(self, slice_id: str, *, may_run_until: float | None) -> None:
        """Note that a request ended, or until when it may go on running."""
        self._in_flight[slice_id] -= 1
        if not self._in_flight[slice_id]:
            self._in_flight.pop(slice_id)
        if may_run_until is not None:
            known = self._busy_until.get(slice_id, may_run_until)
            self._busy_until[slice_id] = max(known, may_run_until)

    def is_idle(self, slice_id: str, now: float) -> bool:
        """Tell whether nothing of this slice can still be running."""
        until = self._busy_until.get(slice_id)
        if until is not None and until <= now:
            self._busy_until.pop(slice_id)
            until = None
        return until is None and slice_id not in self._in_flight

    def is_lingering(self, slice_id: str, now: float) -> bool:
        """Tell whether only time can show that some work has ended."""
        until = self._busy_until.get(slice_id)
        return until is not None and until > now

    def total(self) -> int:
        """Return how many requests are in flight."""
        return self._in_flight.total()
