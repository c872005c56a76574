"""Rate limiter for requests to the local backend server; performs no I/O.

All requests to the server pass through this process, so a rate is kept locally,
without messages to other members.
"""

from msgspec import Struct

# Fraction of the platform's slack for cold servers that is used. The rest is
# reserved for a restarted process, which does not know what its predecessor has
# sent within the last second.
SLACK_FRACTION = 0.5
# Part of a second's requests that may be sent at once to a server that names a
# limit.
BURST_S = 0.5
MIN_BURST = 2.0
# Part of a burst that less urgent requests leave to those that may come.
RESERVE_FRACTION = 0.8
# Lowest rate at which a server is asked whose limit is lower: its next response
# is the only sign that the limit has ended.
MIN_PER_S = 0.25


class RateLimit(Struct, frozen=True):
    """Sustained rate, in requests per second, and burst, in requests."""

    per_s: float
    burst: float

    @property
    def reserve(self) -> float:
        """Return how many tokens are kept for the most urgent requests."""
        return max(0.0, RESERVE_FRACTION * (self.burst - 1))

    @classmethod
    def from_cold_bounds(
        cls, tolerated_per_s: float, overage: float, slack: float
    ) -> 'RateLimit':
        """Return the limit of a cold server, within the platform's bound.

        The platform allows ``tolerated_per_s * overage + slack`` requests in
        any second. A token bucket admits its burst and one second's refill.
        """
        return cls(tolerated_per_s * overage, slack * SLACK_FRACTION)

    @classmethod
    def from_named(cls, per_s: float) -> 'RateLimit':
        """Return the limit of a server that names a rate."""
        per_s = max(MIN_PER_S, per_s)
        return cls(per_s, max(MIN_BURST, per_s * BURST_S))


class TokenBucket:
    """Limits a rate; without a limit it admits everything."""

    __slots__ = ('_refilled_at', '_tokens', 'limit')

    def __init__(self) -> None:
        """Create a bucket without a limit."""
        self.limit: RateLimit | None = None
        self._tokens = 0.0
        self._refilled_at = 0.0

    def apply(self, limit: RateLimit | None) -> None:
        """Apply another limit; tokens beyond its burst are lost."""
        self.limit = limit
        if limit is not None:
            self._tokens = min(limit.burst, self._tokens)

    def change(self, limit: RateLimit, now: float) -> None:
        """Apply another limit from now on."""
        self._refill(now)
        self.apply(limit)

    def apply_empty(self, limit: RateLimit, now: float) -> None:
        """Apply a limit with no tokens at first."""
        self.limit = limit
        self._tokens = 0.0
        self._refilled_at = now

    def spend(self, now: float) -> None:
        """Consume a token for a request that is sent."""
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1)

    def wait_s(
        self, now: float, ahead: int = 0, *, reserve_share: float = 0.0
    ) -> float:
        """Return the seconds until a request behind ``ahead`` others may go.

        It leaves ``reserve_share`` of the reserve for more urgent requests.
        """
        if self.limit is None:
            return 0.0
        self._refill(now)
        reserve = reserve_share * self.limit.reserve
        missing = 1 + ahead + reserve - self._tokens
        if missing <= 0:
            return 0.0
        if not self.limit.per_s:
            return float('inf')
        return missing / self.limit.per_s

    def usable_slots(self, slots: float, work_s: float) -> float:
        """Return how many slots the rate allows to keep busy."""
        if self.limit is None:
            return slots
        return min(slots, self.limit.per_s * work_s)

    def _refill(self, now: float) -> None:
        if self.limit is None:
            return
        earned = max(0.0, now - self._refilled_at) * self.limit.per_s
        self._tokens = min(self.limit.burst, self._tokens + earned)
        self._refilled_at = now
