"""Decide whether a change of the map waits for its turn. Pure.

Load: the changes of many members at the same time, which would fail each other.
A single change is sent at once, without any message to other members.
"""

from collections import deque

# Time in seconds for which a conflict shows that others change the map.
CONFLICT_MEMORY_S = 2.0
# This many changes by others within ``CHANGE_MEMORY_S`` seconds show the same:
# at such a rate about one change in ten would fail.
CHANGE_COUNT = 2
CHANGE_MEMORY_S = 0.3


class Contention:
    """Recent conflicts and changes by other members."""

    __slots__ = ('_changed_at', '_conflict_at')

    def __init__(self) -> None:
        """Start without any."""
        self._conflict_at = float('-inf')
        self._changed_at: deque[float] = deque(maxlen=CHANGE_COUNT)

    def on_conflict(self, now: float) -> None:
        """Record that a change of this member has failed by a conflict."""
        self._conflict_at = now

    def on_change(self, now: float) -> None:
        """Record that another member has changed the map."""
        self._changed_at.append(now)

    def is_likely(self, now: float) -> bool:
        """Return whether a change sent now would probably fail."""
        if now - self._conflict_at < CONFLICT_MEMORY_S:
            return True
        if len(self._changed_at) < CHANGE_COUNT:
            return False
        return now - self._changed_at[0] < CHANGE_MEMORY_S
