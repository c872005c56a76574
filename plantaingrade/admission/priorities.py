"""Priorities of recent requests; performs no I/O."""

from collections.abc import Collection

# Time for which a priority counts as in use after a request of it, in seconds.
RECENT_S = 2.0


class RecentPriorities:
    """Remembers when each class of work last had a request."""

    __slots__ = ('_seen_at_by_class',)

    def __init__(self) -> None:
        """Start without requests."""
        self._seen_at_by_class: dict[tuple[str, int], float] = {}

    def observe(self, kind: str, priority: int, now: float) -> None:
        """Record a request."""
        self._seen_at_by_class[kind, priority] = now

    def find_recent(self, now: float) -> list[tuple[str, int]]:
        """Return the classes of work and their priorities that are in use."""
        return [
            each
            for each, seen_at in self._seen_at_by_class.items()
            if now - seen_at <= RECENT_S
        ]


def rank(priority: int, in_use: Collection[int]) -> float:
    """Return 0 for the most urgent priority in use, up to 1 for the last.

    The lowest number is the most urgent. Those between are spread evenly.
    """
    others = [other for other in in_use if other != priority]
    more_urgent = sum(other < priority for other in others)
    return more_urgent / max(1, len(others))
