"""How often each member's server has failed requests lately. Pure.

Load that answers: a server fails part of its requests while its health check
is good. Its heartbeats and its load tell nothing; only its answers do.
"""

from plantaingrade.requests.entity import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)

# Weight of one outcome: a server that begins to fail half of its requests is
# over a fifth after six of them.
SMOOTHING = 0.1
# Without requests a rate halves in this time, in seconds, so that a server
# that was passed over is tried again.
HALF_LIFE_S = 2.0
STATUS_SERVER_ERROR = 500


class FailureRates:
    """Smoothed share of failed requests by member."""

    __slots__ = ('_rate_by_member', '_seen_at')

    def __init__(self) -> None:
        """Know no failures."""
        self._rate_by_member: dict[str, float] = {}
        self._seen_at: dict[str, float] = {}

    def observe(self, member: str, outcome: Outcome, now: float) -> None:
        """Count an outcome of a request that a server was asked to run."""
        failed = is_failure(outcome)
        if failed is None:
            return
        rate = self.rate(member, now)
        self._rate_by_member[member] = rate + SMOOTHING * (failed - rate)
        self._seen_at[member] = now

    def rate(self, member: str, now: float) -> float:
        """Return the share of requests that failed lately."""
        idle_s = now - self._seen_at.get(member, now)
        rate = self._rate_by_member.get(member, 0.0)
        return rate * 2 ** (-idle_s / HALF_LIFE_S)


def is_failure(outcome: Outcome) -> bool | None:
    """Tell whether a server failed; nothing if it was not asked."""
    match outcome:
        case Answered(answer):
            return answer.status >= STATUS_SERVER_ERROR
        case NotRun(reason=NotRunReason.SERVER_REFUSED):
            return True
        case Unknown():
            return True
    return None
