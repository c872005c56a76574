"""Learn from outcomes how long the backend server works on a class of work."""

from plantaingrade.admission.entity import Ticket
from plantaingrade.admission.estimate import SMOOTHING, WorkEstimate
from plantaingrade.requests.entity import (
    Answered,
    NotRun,
    Outcome,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.recent_durations import RecentDurations
from plantaingrade.requests.server_exchange import ServerProgress

# Weight of what a request shows that was let through for it.
PROBE_WEIGHT = 0.5


class WorkSamples:
    """Passes the durations of requests on to an estimate."""

    __slots__ = ('_answered_at_by_kind', '_estimate', 'recent')

    def __init__(self, estimate: WorkEstimate) -> None:
        """Teach an estimate."""
        self._estimate = estimate
        self.recent = RecentDurations()
        self._answered_at_by_kind: dict[str, float] = {}

    def observe(
        self,
        ticket: Ticket,
        progress: ServerProgress,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Add the duration of a request that has ended, unless it hung."""
        if isinstance(outcome, NotRun):
            return
        if isinstance(outcome, Answered):
            self._answered_at_by_kind[ticket.kind] = now
        elif self._has_hung(ticket, progress, outcome):
            return
        took_s = progress.work_s(outcome, now)
        weight = PROBE_WEIGHT if ticket.is_probe else SMOOTHING
        self.recent.observe(ticket.kind, took_s)
        self._estimate.observe(ticket.kind, took_s, weight)
        self._estimate.long_term.observe(ticket.kind, took_s, now)

    def _has_hung(
        self, ticket: Ticket, progress: ServerProgress, outcome: Unknown
    ) -> bool:
        """Return whether a request got no answer while others of its class did.

        How long it hung tells nothing of the work of its class.
        """
        has_head = progress.head_at is not None
        if outcome.reason is not UnknownReason.TIMEOUT or has_head:
            return False
        answered_at = self._answered_at_by_kind.get(ticket.kind, 0.0)
        return answered_at > progress.began
