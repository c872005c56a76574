"""Estimate how long work takes at a server, by class, from what it took."""

import math

# Weight of a new reading. A server's speed may change at once, by several
# times, and some 20 readings a second come in on a busy one: a half-life of 7
# readings follows within a second.
SMOOTHING = 0.1
# Assumed before the first reading.
FIRST_GUESS_S = 0.05


class WorkEstimate:
    """Smoothed duration of each class of work, in seconds."""

    __slots__ = ('_mean_s', '_mean_s_by_kind')

    def __init__(self) -> None:
        """Know no durations."""
        self._mean_s_by_kind: dict[str, float] = {}
        self._mean_s: float | None = None

    def observe(self, kind: str, took_s: float) -> None:
        """Take the duration of one piece of work."""
        known = self._mean_s_by_kind.get(kind, took_s)
        self._mean_s_by_kind[kind] = known + SMOOTHING * (took_s - known)
        mean = took_s if self._mean_s is None else self._mean_s
        self._mean_s = mean + SMOOTHING * (took_s - mean)

    def expected_s(self, kind: str) -> float:
        """Return how long a piece of work of a class will probably take."""
        return self._mean_s_by_kind.get(kind, self.mean_s())

    def longest_s(self) -> float:
        """Return how long a piece of the longest kind of work takes."""
        return max(self._mean_s_by_kind.values(), default=0.0)

    def mean_s(self) -> float:
        """Return how long a piece of any work takes on average."""
        return FIRST_GUESS_S if self._mean_s is None else self._mean_s


# The share of slots that work takes is followed with this time constant, in
# seconds: slower than a request, faster than a burst.
RATE_TIME_S = 0.5


class WorkRate:
    """Work started in a second, as slots that are kept busy."""

    __slots__ = ('_rate', '_seen_at')

    def __init__(self) -> None:
        """Start with no work."""
        self._rate = 0.0
        self._seen_at = 0.0

    def observe(self, work_s: float, now: float) -> None:
        """Count work that has been started."""
        self._rate = self.total(now) + work_s / RATE_TIME_S

    def total(self, now: float) -> float:
        """Return the slots kept busy."""
        self._rate *= math.exp(-max(0.0, now - self._seen_at) / RATE_TIME_S)
        self._seen_at = now
        return self._rate
