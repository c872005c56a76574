"""Rate limit that the backend server names in its answers; performs no I/O.

A server in need names how many requests a second it accepts from all callers
together, far fewer than its slots would serve. A process that has just started
does not know whether its server names a limit, nor what its predecessor has
sent: until the first response it has only a few requests at the server. These
may wait for calls of their own that need the same server, so their number grows
slowly. A server that starts beside this process has named nothing to another.
"""

from plantaingrade.admission.rate_limit import RateLimit, TokenBucket
from plantaingrade.backends.limit import LimitChange, LimitTracker
from plantaingrade.backends.report import LimitNotice, UnreadableLimit

# Requests that may be at a server that has not answered one yet, at first.
MAX_UNANSWERED = 2
# Time after which one more may be, in seconds: most work takes less.
UNANSWERED_STEP_S = 0.25


class NamedAllowance:
    """Limits requests to the rate that the server names."""

    __slots__ = ('_bucket', '_first_sent_at', '_tracker')

    def __init__(self) -> None:
        """Create an allowance without a limit."""
        self._tracker = LimitTracker()
        self._bucket = TokenBucket()
        self._first_sent_at: float | None = None

    @property
    def per_s(self) -> float | None:
        """Return the limit in force, in requests per second, or None."""
        return self._tracker.per_s

    @property
    def awaits_response(self) -> bool:
        """Return whether the server has not answered a request yet."""
        return self._tracker.awaits_response

    def on_new_incarnation(self) -> None:
        """Begin with an incarnation that has not answered a request yet."""
        self._tracker.on_new_incarnation()
        self._bucket.apply(None)
        self._first_sent_at = None

    def on_response(
        self, notice: LimitNotice, sent_at: float, now: float
    ) -> LimitChange | UnreadableLimit | None:
        """Apply a response to a request that was sent at ``sent_at``."""
        change = self._tracker.on_response(notice, sent_at, now)
        self._apply(change, now)
        return change

    def on_notice(
        self, notice: LimitNotice, sent_at: float, now: float
    ) -> LimitChange | UnreadableLimit | None:
        """Apply an answer to a call that is no request."""
        change = self._tracker.on_notice(notice, sent_at, now)
        self._apply(change, now)
        return change

    def response_wait_s(self, running: int, now: float) -> float:
        """Return the seconds until a request may run beside those that do.

        A response to one of them ends the wait earlier.
        """
        if not self._tracker.is_unknown or running < MAX_UNANSWERED:
            return 0.0
        if self._first_sent_at is None:
            return 0.0
        steps = running - MAX_UNANSWERED + 1
        return max(0.0, self._first_sent_at + steps * UNANSWERED_STEP_S - now)

    def spend(self, now: float) -> None:
        """Consume a token for a request sent to the server."""
        self._bucket.spend(now)
        if self._first_sent_at is None:
            self._first_sent_at = now

    def wait_s(
        self, now: float, ahead: int = 0, *, reserve_share: float = 0.0
    ) -> float:
        """Return the seconds until a request behind ``ahead`` others may go."""
        return self._bucket.wait_s(now, ahead, reserve_share=reserve_share)

    def usable_slots(self, slots: float, work_s: float) -> float:
        """Return how many slots the limit allows to keep busy."""
        return self._bucket.usable_slots(slots, work_s)

    def _apply(
        self, change: LimitChange | UnreadableLimit | None, now: float
    ) -> None:
        match change:
            case LimitChange(after=None):
                self._bucket.apply(None)
            case LimitChange(before=None, after=per_s):
                # What was sent just before is still at the server.
                self._bucket.apply_empty(RateLimit.from_named(per_s), now)
            case LimitChange(after=per_s):
                self._bucket.change(RateLimit.from_named(per_s), now)
