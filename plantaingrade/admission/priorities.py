"""Priorities of recent requests; performs no I/O."""

# Time for which a priority counts as in use after a request of it, in seconds.
RECENT_S = 2.0
LONG_AGO = float('-inf')


class RecentPriorities:
    """Remembers when each priority last had a request; the lowest is first."""

    __slots__ = ('_seen_at_by_priority',)

    def __init__(self) -> None:
        """Start without requests."""
        self._seen_at_by_priority: dict[int, float] = {}

    def observe(self, priority: int, now: float) -> None:
        """Record a request."""
        self._seen_at_by_priority[priority] = now

    def rank(self, priority: int, now: float) -> float:
        """Return 0 for the most urgent priority in use, up to 1 for the last.

        Those between are spread evenly.
        """
        others = [
            other
            for other, seen_at in self._seen_at_by_priority.items()
            if other != priority and now - seen_at <= RECENT_S
        ]
        more_urgent = sum(other < priority for other in others)
        return more_urgent / max(1, len(others))
