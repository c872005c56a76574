"""Rate limit for cold backend servers; performs no I/O.

A server that has just started, or has lost its in-memory state, can handle only
a few requests per second for some seconds, and crashes well above that rate.
Its share of an ordinary load is several times higher. All requests to the
server pass through this process, so the limit is enforced locally, without
messages to other members. Excess requests are refused immediately, while
another server may still run them.
"""

from msgspec import Struct

# Fraction of the platform's slack that is used. The rest is reserved for a
# restarted process, which does not know what its predecessor has sent within
# the last second.
SLACK_FRACTION = 0.5
NEVER_COLD = float('-inf')


class ColdLimit(Struct, frozen=True):
    """Sustained rate, in requests per second, and burst for a cold server."""

    per_s: float
    burst: float

    @classmethod
    def from_bounds(
        cls, tolerated_per_s: float, overage: float, slack: float
    ) -> 'ColdLimit':
        """Return the limit that keeps every second within the platform's bound.

        The platform allows ``tolerated_per_s * overage + slack`` requests in
        any second. A token bucket admits its burst and one second's refill.
        """
        return cls(tolerated_per_s * overage, slack * SLACK_FRACTION)


class ColdAllowance:
    """Token bucket that limits requests while the server is cold.

    Tokens are also counted while the server is warm, so that requests sent just
    before it turned cold count towards the limit.
    """

    __slots__ = ('_cold_until', '_limit', '_refilled_at', '_tokens')

    def __init__(self) -> None:
        """Create an allowance without a limit."""
        self._limit: ColdLimit | None = None
        self._cold_until = NEVER_COLD
        self._tokens = 0.0
        self._refilled_at = 0.0

    def apply_limit(self, limit: ColdLimit | None) -> None:
        """Apply the limit configured for the service, or none."""
        self._limit = limit

    def mark_cold_until(self, until: float) -> None:
        """Record the time until which the server reports to be cold."""
        self._cold_until = until

    def is_limited(self, now: float) -> bool:
        """Return whether the server is cold and its limit is known."""
        return self._limit is not None and now < self._cold_until

    def spend(self, now: float) -> None:
        """Consume a token for a request sent to the server."""
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1)

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a request behind ``ahead`` others may go."""
        if self._limit is None or not self.is_limited(now):
            return 0.0
        self._refill(now)
        missing = 1 + ahead - self._tokens
        if missing <= 0:
            return 0.0
        if not self._limit.per_s:
            return self._cold_until - now
        return min(missing / self._limit.per_s, self._cold_until - now)

    def usable_slots(self, slots: int, work_s: float, now: float) -> float:
        """Return how many slots the rate limit allows to keep busy."""
        if self._limit is None or not self.is_limited(now):
            return slots
        return min(slots, self._limit.per_s * work_s)

    def _refill(self, now: float) -> None:
        if self._limit is None:
            return
        earned = max(0.0, now - self._refilled_at) * self._limit.per_s
        self._tokens = min(self._limit.burst, self._tokens + earned)
        self._refilled_at = now
