"""What callers got, by kind and second."""

import math
from collections import Counter, defaultdict

from msgspec import Struct

from lab.deployment import Kind
from plantaingrade.const import MS_PER_S
from plantaingrade.requests.entity import Answered, NotRun, Outcome

# Share unserved that counts as full marks where service is told in nines.
BEST_UNSERVED = 0.001
SERVED_STATUS = 200

IN_TIME = 'in-time'


class Fate(Struct, frozen=True):
    """What became of one request.

    ``had_room`` tells whether any server of its service had a free slot when
    it was asked for.
    """

    outcome: Outcome | None
    took_s: float
    refusals: int
    had_room: bool


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

    def note(self, kind: Kind, began: float, fate: Fate) -> None:
        """Count what became of one request."""
        if began < self.counts_from:
            return
        self.kinds[kind.name] = kind
        count = self.count_by_kind[kind.name]
        count['asked'] += 1
        word = _word(kind, fate)
        count[word] += 1
        count['lost-beside-room'] += fate.had_room and word != IN_TIME
        if isinstance(fate.outcome, NotRun):
            count['refused-again'] += fate.refusals > 1
            count[f'refused: {fate.outcome.reason.value}'] += 1

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


def _word(kind: Kind, fate: Fate) -> str:
    """Return what a request counts as."""
    match fate.outcome:
        case Answered(answer) if answer.status == SERVED_STATUS:
            took_ms = fate.took_s * MS_PER_S
            if took_ms > kind.deadline_ms:
                return 'too-late'
            return IN_TIME if took_ms <= kind.objective_ms else 'late'
        case NotRun():
            return 'refused'
    return 'failed'


def shares_by_kind(count_by_kind: Counts) -> dict[str, dict[str, float]]:
    """Return what became of the requests of each kind, as shares."""
    return {
        name: {word: count[word] / count['asked'] for word in count}
        for name, count in sorted(count_by_kind.items())
    }
