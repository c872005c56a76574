"""Decide which requests a process that stops may still begin.

Performs no I/O. Points in time are readings of this instance's boot clock, in
seconds.
"""

from plantaingrade.requests.entity import RoutedRequest

# Time after the end of a process until its keys are served again: the next
# process has started, or another member has taken them over.
NEXT_PROCESS_S = 0.5
NEVER = float('inf')


class ProcessEnd:
    """When a process ends, and until when work of unknown length may begin.

    Whatever still runs at the end is broken off. How long a request will take
    is not known, only until when it must be answered.
    """

    __slots__ = ('_begins_until', 'ends_at')

    def __init__(self) -> None:
        """Create for a process that is not told to stop."""
        self._begins_until = NEVER
        self.ends_at = NEVER

    def plan(self, begins_until: float, ends_at: float) -> None:
        """Begin work of unknown length until one time, and end at another."""
        self._begins_until = begins_until
        self.ends_at = ends_at

    @property
    def is_planned(self) -> bool:
        """Return whether the process is told to stop."""
        return self.ends_at < NEVER

    def may_begin(self, until: float, now: float) -> bool:
        """Return whether work that ends at ``until`` may begin here now."""
        return now < self._begins_until or until <= self.ends_at

    def has_time_for(
        self, routed: RoutedRequest, longest_s: float, now: float
    ) -> bool:
        """Return whether a request is likely to end before the process.

        ``longest_s`` is the longest time that requests of its class are known
        to take. Few take that long: whoever may repeat a request had better
        risk it than be refused.
        """
        known_s = 0.0 if routed.is_idempotent else longest_s
        return routed.until <= self.ends_at or now + known_s <= self.ends_at

    def closes_in_s(self, now: float) -> float:
        """Return the time until callers have been moved elsewhere."""
        return max(0.0, self._begins_until - now)

    def retry_after_s(self, now: float) -> float:
        """Return the time until keys of this process are served again.

        They may be transferred while callers are moved away, and hardly later.
        """
        if now < self._begins_until:
            return self.closes_in_s(now)
        return max(0.0, self.ends_at - now) + NEXT_PROCESS_S
