"""Recent failure rates of the members' servers. Pure.

Failure that this answers to: a server fails part of its requests while its
health check passes. Neither its heartbeats nor its load show this; only its
responses do.
"""

from plantaingrade.requests.entity import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)

# Weight of one outcome. The rate of a server that starts to fail half of its
# requests exceeds one fifth after six of them.
SMOOTHING = 0.1
# Half-life of a rate without requests, in seconds, so that a server that was
# skipped for its failures is tried again.
HALF_LIFE_S = 2.0
STATUS_SERVER_ERROR = 500


class FailureRates:
    """Smoothed share of failed requests for each member."""

    __slots__ = ('_rate_by_member', '_seen_at')

    def __init__(self) -> None:
        """Start without any failures."""
        self._rate_by_member: dict[str, float] = {}
        self._seen_at: dict[str, float] = {}

    def observe(self, member: str, outcome: Outcome, now: float) -> None:
        """Record the outcome of a request, if a server was asked to run it."""
        failed = is_failure(outcome)
        if failed is None:
            return
        rate = self.rate(member, now)
        self._rate_by_member[member] = rate + SMOOTHING * (failed - rate)
        self._seen_at[member] = now

    def rate(self, member: str, now: float) -> float:
        """Return a member's recent share of failed requests."""
        idle_s = now - self._seen_at.get(member, now)
        rate = self._rate_by_member.get(member, 0.0)
        return rate * 2 ** (-idle_s / HALF_LIFE_S)


def is_failure(outcome: Outcome) -> bool | None:
    """Return whether a server failed, or None if it was not asked."""
    match outcome:
        case Answered(answer):
            return answer.status >= STATUS_SERVER_ERROR
        case NotRun(reason=NotRunReason.SERVER_REFUSED):
            return True
        case Unknown():
            return True
    return None
