"""Statistics of requests by kind."""

import math
from collections import Counter, defaultdict

from msgspec import Struct

from lab.deployment import RequestKind
from plantaingrade.const import MS_PER_S
from plantaingrade.requests.entity import Answered, NotRun, Outcome

# Unserved share that counts as 1 on the scale of nines.
BEST_UNSERVED = 0.001
SERVED_STATUS = 200

IN_TIME = 'in-time'


class RequestResult(Struct, frozen=True):
    """Result of one request.

    ``had_free_slot`` is whether any server of its service had a free slot when
    it was sent.
    """

    outcome: Outcome | None
    duration_s: float
    refusals: int
    had_free_slot: bool


Counts = dict[str, Counter]


class Statistics:
    """Counts of one simulation."""

    def __init__(self) -> None:
        """Create empty counts."""
        self.started_at = 0.0
        self.counted_from = 0.0
        self.count_by_kind: Counts = defaultdict(Counter)
        self.calls_by_kind: Counts = defaultdict(Counter)
        self.kinds: dict[str, RequestKind] = {}

    def record(
        self,
        kind: RequestKind,
        started_at: float,
        request_result: RequestResult,
    ) -> None:
        """Count the result of a request, unless it was sent before warm-up."""
        if started_at < self.counted_from:
            return
        self.kinds[kind.name] = kind
        count = self.count_by_kind[kind.name]
        count['asked'] += 1
        outcome = _classify(kind, request_result)
        count[outcome] += 1
        count['lost-beside-room'] += (
            request_result.had_free_slot and outcome != IN_TIME
        )
        if isinstance(request_result.outcome, NotRun):
            count['refused-again'] += request_result.refusals > 1
            count[f'refused: {request_result.outcome.reason.value}'] += 1

    def record_call(self, kind: RequestKind, outcome: Outcome) -> None:
        """Count the result of a call between servers."""
        count = self.calls_by_kind[kind.name]
        count['asked'] += 1
        if isinstance(outcome, Answered):
            is_served = outcome.answer.status == SERVED_STATUS
            count['served' if is_served else 'failed'] += 1
        else:
            count['refused'] += 1

    def worth(self) -> float:
        """Return the earned share of the worth of all requests."""
        total = 0.0
        earned = 0.0
        for name, count in self.count_by_kind.items():
            kind = self.kinds[name]
            total += count['asked'] * kind.worth
            earned += count['in-time'] * kind.worth
            earned += count['late'] * kind.late_worth
        return earned / total if total else 0.0

    def served(self) -> float:
        """Return the share of requests that were served, late ones included."""
        asked = sum(each['asked'] for each in self.count_by_kind.values())
        served = sum(
            each['in-time'] + each['late']
            for each in self.count_by_kind.values()
        )
        return served / max(1, asked)

    def nines(self) -> float:
        """Return the served share on a logarithmic scale, 1 at the best."""
        unserved = max(BEST_UNSERVED, 1 - self.served())
        return math.log(unserved) / math.log(BEST_UNSERVED)


def _classify(kind: RequestKind, request_result: RequestResult) -> str:
    """Return the name under which a request is counted."""
    match request_result.outcome:
        case Answered(answer) if answer.status == SERVED_STATUS:
            duration_ms = request_result.duration_s * MS_PER_S
            if duration_ms > kind.deadline_ms:
                return 'too-late'
            return IN_TIME if duration_ms <= kind.objective_ms else 'late'
        case NotRun():
            return 'refused'
    return 'failed'


def shares_by_kind(count_by_kind: Counts) -> dict[str, dict[str, float]]:
    """Return the results of each kind as shares of its requests."""
    return {
        name: {counted: count[counted] / count['asked'] for counted in count}
        for name, count in sorted(count_by_kind.items())
    }
