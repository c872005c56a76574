"""Bound what a cold backend server gets. Pure.

Load that answers: a server that has just started, or has lost what it kept in
memory, takes few requests a second for some seconds, and crashes well above
that. Its share of an ordinary load is several times as much. All requests for
it pass this process, so the bound is kept here without a word to others, and
what does not fit is refused at once, while another server may still run it.
"""

from msgspec import Struct

# Part of the platform's slack on the bound that is used here. The rest is left
# to a process that restarts: it cannot know what the one before has sent within
# the last second.
SLACK_PART = 0.5
NEVER_COLD = float('-inf')


class ColdLimit(Struct, frozen=True):
    """What a cold server may get: requests a second, and some at once."""

    per_s: float
    burst: float

    @classmethod
    def from_bounds(
        cls, tolerated_per_s: float, overage: float, slack: float
    ) -> 'ColdLimit':
        """Return the limit that keeps any second below the platform's bound.

        The platform counts ``tolerated_per_s * overage + slack`` in any
        second. A bucket lets through its burst and a second's refill.
        """
        return cls(tolerated_per_s * overage, slack * SLACK_PART)


class ColdAllowance:
    """Token bucket that binds while the server is cold.

    It is kept full or spent while the server is warm too, so that what was
    sent just before a server turned cold counts.
    """

    __slots__ = ('_cold_until', '_limit', '_seen_at', '_tokens')

    def __init__(self) -> None:
        """Know of no limit."""
        self._limit: ColdLimit | None = None
        self._cold_until = NEVER_COLD
        self._tokens = 0.0
        self._seen_at = 0.0

    def apply_limit(self, limit: ColdLimit | None) -> None:
        """Follow what is declared for the service."""
        self._limit = limit

    def mark_cold_until(self, until: float) -> None:
        """Take how long the server says it stays cold."""
        self._cold_until = until

    def is_limited(self, now: float) -> bool:
        """Tell whether the server is cold and its limit is known."""
        return self._limit is not None and now < self._cold_until

    def spend(self, now: float) -> None:
        """Count a request that is sent."""
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1)

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Return the time until one more may be sent, after some others."""
        if self._limit is None or not self.is_limited(now):
            return 0.0
        self._refill(now)
        missing = 1 + ahead - self._tokens
        if missing <= 0:
            return 0.0
        if not self._limit.per_s:
            return self._cold_until - now
        return min(missing / self._limit.per_s, self._cold_until - now)

    def slots(self, slots: int, work_s: float, now: float) -> float:
        """Return how many of its slots the server can keep busy."""
        if self._limit is None or not self.is_limited(now):
            return slots
        return min(slots, self._limit.per_s * work_s)

    def _refill(self, now: float) -> None:
        if self._limit is None:
            return
        earned = max(0.0, now - self._seen_at) * self._limit.per_s
        self._tokens = min(self._limit.burst, self._tokens + earned)
        self._seen_at = now
