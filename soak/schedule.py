"""Schedule of faults from a seed. Pure: a seed always gives the same schedule.

Faults follow each other and overlap; each is ended after a while.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

MIN_GAP_S = 0.2
MAX_GAP_S = 1.6
MIN_LENGTH_S = 0.4
MAX_LENGTH_S = 5.0


class FaultKind(StrEnum):
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
    STORE_OUTAGE = 'store-away'
    STORE_OUTAGE_FOR_ONE = 'store-away-for-one'
    STORE_LOSES_ANSWERS = 'store-loses'
    STORE_DROPS_HISTORY = 'store-forgets'
    CONFIGURE = 'configure'
    # A server is killed and restarted at once under the same id.
    RESTART_SERVER = 'restart-server'
    # A malformed heartbeat goes to a process, or a malformed row to the store.
    MALFORMED_REPORT = 'strange-report'
    MALFORMED_ROW = 'strange-row'
    # The store is restored from a snapshot that lacks the last seconds.
    STORE_RESTORED = 'store-goes-back'
    # All processes and servers are killed, as by a power failure.
    POWER_OFF = 'power-off'
    # A server names a rate limit in its answers, or says that it leaves.
    NAME_LIMIT = 'name-limit'
    TELL_LEAVING = 'tell-leaving'
    # The store loses its answers, on connections that then deliver nothing
    # further, while the configuration changes.
    STORE_LOSES_WAITS = 'store-loses-waits'
    # A server refuses requests, and sends its refusals a second time late.
    LATE_COPIES = 'late-copies'
    # A server sends answers without end.
    ENDLESS_ANSWERS = 'endless-answers'


@dataclass(slots=True, frozen=True)
class Step:
    """One fault: time, kind, instance, length and variant."""

    at: float
    trouble: FaultKind
    spot: int
    for_s: float
    variant: str = ''


OUTAGES = ('busy', 'limited', 'reset', 'silent')


ALL_FAULTS = tuple(FaultKind)


def make_schedule(
    seed: int,
    seconds: float,
    spots: int,
    kinds: tuple[FaultKind, ...] = ALL_FAULTS,
) -> list[Step]:
    """Return the steps of a run, ordered by time.

    Where power failures are among the kinds, runs of even seeds end with one.
    """
    rng = random.Random(seed)
    steps = []
    at = 1.0
    while at < seconds:
        steps.append(
            Step(
                round(at, 3),
                rng.choice(kinds),
                rng.randrange(spots),
                round(rng.uniform(MIN_LENGTH_S, MAX_LENGTH_S), 3),
                rng.choice(OUTAGES),
            )
        )
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    if FaultKind.POWER_OFF in kinds and seed % 2 == 0:
        steps.append(Step(at, FaultKind.POWER_OFF, 0, MIN_LENGTH_S))
    return steps
