"""Rate limit for cold backend servers; performs no I/O.

A server that has just started, or has lost its in-memory state, can handle only
a few requests per second for some seconds, and crashes well above that rate.
Its share of an ordinary load is several times higher. Excess requests are
refused immediately, while another server may still run them.
"""

from plantaingrade.admission.rate_limit import RateLimit, TokenBucket

NEVER_COLD = float('-inf')


class ColdAllowance:
    """Limits requests while the server is cold.

    Tokens are also counted while the server is warm, so that requests sent just
    before it turned cold count towards the limit.
    """

    __slots__ = ('_bucket', '_cold_until')

    def __init__(self) -> None:
        """Create an allowance without a limit."""
        self._bucket = TokenBucket()
        self._cold_until = NEVER_COLD

    def apply_limit(self, limit: RateLimit | None) -> None:
        """Apply the limit configured for the service, or none."""
        self._bucket.apply(limit)

    def mark_cold_until(self, until: float) -> None:
        """Record the time until which the server reports to be cold."""
        self._cold_until = until

    def is_limited(self, now: float) -> bool:
        """Return whether the server is cold and its limit is known."""
        return self._bucket.limit is not None and now < self._cold_until

    def spend(self, now: float) -> None:
        """Consume a token for a request sent to the server."""
        self._bucket.spend(now)

    def wait_s(
        self, now: float, ahead: int = 0, *, reserve_share: float = 0.0
    ) -> float:
        """Return the seconds until a request behind ``ahead`` others may go."""
        if not self.is_limited(now):
            return 0.0
        wait_s = self._bucket.wait_s(now, ahead, reserve_share=reserve_share)
        return min(wait_s, self._cold_until - now)

    def usable_slots(self, slots: float, work_s: float, now: float) -> float:
        """Return how many slots the rate limit allows to keep busy."""
        if not self.is_limited(now):
            return slots
        return self._bucket.usable_slots(slots, work_s)
