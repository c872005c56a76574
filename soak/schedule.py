"""What goes wrong when, from a seed. Pure: the same seed, the same schedule.

Faults come in series and overlap; each is put right again after a while.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

MIN_GAP_S = 0.2
MAX_GAP_S = 1.6
MIN_LENGTH_S = 0.4
MAX_LENGTH_S = 5.0


class Trouble(StrEnum):
    """Kinds of faults."""

    KILL_ROUTER = 'kill-router'
    STOP_ROUTER = 'stop-router'
    PAUSE_ROUTER = 'pause-router'
    KILL_SERVER = 'kill-server'
    DRAIN_SERVER = 'drain-server'
    PAUSE_SERVER = 'pause-server'
    CUT = 'cut'
    MUTE = 'mute'
    SILENCE = 'silence'
    RESET = 'reset'
    SLOW_LINK = 'slow-link'
    STORE_AWAY = 'store-away'
    STORE_AWAY_FOR_ONE = 'store-away-for-one'
    STORE_LOSES = 'store-loses'
    STORE_FORGETS = 'store-forgets'
    CONFIGURE = 'configure'
    # A server is killed and back at once under the id that it had.
    RESTART_SERVER = 'restart-server'
    # A writer that keeps to no rule speaks to a process, or to the store.
    STRANGE_REPORT = 'strange-report'
    STRANGE_ROW = 'strange-row'
    # The store comes back from a copy that lacks the last seconds.
    STORE_GOES_BACK = 'store-goes-back'
    # All instances lose power, with their processes and servers.
    POWER_OFF = 'power-off'


@dataclass(slots=True, frozen=True)
class Step:
    """One fault: when, to which instance, for how long, which variant."""

    at: float
    trouble: Trouble
    spot: int
    for_s: float
    variant: str = ''


OUTAGES = ('busy', 'limited', 'reset', 'silent')


ALL_TROUBLES = tuple(Trouble)


def make_schedule(
    seed: int,
    seconds: float,
    spots: int,
    troubles: tuple[Trouble, ...] = ALL_TROUBLES,
) -> list[Step]:
    """Return the steps of a run, in order."""
    chooser = random.Random(seed)
    steps = []
    at = 1.0
    while at < seconds:
        steps.append(
            Step(
                round(at, 3),
                chooser.choice(troubles),
                chooser.randrange(spots),
                round(chooser.uniform(MIN_LENGTH_S, MAX_LENGTH_S), 3),
                chooser.choice(OUTAGES),
            )
        )
        at += chooser.uniform(MIN_GAP_S, MAX_GAP_S)
    return steps
