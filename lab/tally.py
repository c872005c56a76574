"""What callers got, by kind and second."""

import math
from collections import Counter, defaultdict

from lab.deployment import Kind
from plantaingrade.const import MS_PER_S
from plantaingrade.requests.entity import Answered, NotRun, Outcome

# Share unserved that counts as full marks where service is told in nines.
BEST_UNSERVED = 0.001
SERVED_STATUS = 200

Counts = dict[str, Counter]


class Tally:
    """Counts of one play."""

    def __init__(self) -> None:
        """Count nothing yet."""
        self.began = 0.0
        self.counts_from = 0.0
        self.count_by_kind: Counts = defaultdict(Counter)
        self.calls_by_kind: Counts = defaultdict(Counter)
        self.kinds: dict[str, Kind] = {}

    def note(
        self,
        kind: Kind,
        began: float,
        ended: float,
        outcome: Outcome | None,
        refusals: int,
    ) -> None:
        """Count what became of one request."""
        if began < self.counts_from:
            return
        self.kinds[kind.name] = kind
        count = self.count_by_kind[kind.name]
        count['asked'] += 1
        took_ms = (ended - began) * MS_PER_S
        match outcome:
            case Answered(answer) if answer.status == SERVED_STATUS:
                is_timely = took_ms <= kind.objective_ms
                is_whole = took_ms <= kind.deadline_ms
                word = 'in-time' if is_timely else 'late'
                count[word if is_whole else 'too-late'] += 1
            case NotRun(reason=reason):
                count['refused'] += 1
                count['refused-again'] += refusals > 1
                count[f'refused: {reason.value}'] += 1
            case _:
                count['failed'] += 1

    def note_call(self, kind: Kind, outcome: Outcome) -> None:
        """Count what became of a call."""
        count = self.calls_by_kind[kind.name]
        count['asked'] += 1
        if isinstance(outcome, Answered):
            is_served = outcome.answer.status == SERVED_STATUS
            count['served' if is_served else 'failed'] += 1
        else:
            count['refused'] += 1

    def worth(self) -> float:
        """Return the part of all worth that was earned."""
        owed = 0.0
        earned = 0.0
        for name, count in self.count_by_kind.items():
            kind = self.kinds[name]
            owed += count['asked'] * kind.worth
            earned += count['in-time'] * kind.worth
            earned += count['late'] * kind.late_worth
        return earned / owed if owed else 0.0

    def served(self) -> float:
        """Return the part of all requests that was served at all."""
        asked = sum(each['asked'] for each in self.count_by_kind.values())
        served = sum(
            each['in-time'] + each['late']
            for each in self.count_by_kind.values()
        )
        return served / max(1, asked)

    def nines(self) -> float:
        """Return the share that was served on a scale of nines."""
        unserved = max(BEST_UNSERVED, 1 - self.served())
        return math.log(unserved) / math.log(BEST_UNSERVED)


def shares_by_kind(count_by_kind: Counts) -> dict[str, dict[str, float]]:
    """Return what became of the requests of each kind, as shares."""
    return {
        name: {word: count[word] / count['asked'] for word in count}
        for name, count in sorted(count_by_kind.items())
    }
