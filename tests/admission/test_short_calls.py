"""Simulations of short calls and long reads at the same server."""

import pytest

from plantaingrade.admission.estimate import WorkEstimate
from tests.admission.simulation import RequestClass, Simulation, make_queue

SLOTS = 9
SECONDS = 60.0
SEEDS = range(4)
# Shares of the requests sent.
MAX_UNSERVED_SHARE = 0.02
MIN_SERVED_SHARE = 0.93
READ = RequestClass('read', 2, 30.0, 0.36, 0.8, 1.0, 2.0, 1, 0.3)
CALL = RequestClass('call', 1, 60.0, 0.022, 0.5, 0.1, 0.25, 3, 0.9)


def unserved_shares(seed: int) -> tuple[float, float]:
    """Return the unserved shares of calls and of reads."""
    simulation = Simulation((READ, CALL), make_queue(SLOTS), SECONDS, seed=seed)
    counts = simulation.run()
    return (
        counts['call'].unserved / counts['call'].requests,
        counts['read'].unserved / counts['read'].requests,
    )


def test_short_calls_are_not_refused_behind_long_reads() -> None:
    """Calls are refused although a slot becomes free every 40 ms.

    Long reads of a less urgent class occupy all slots. If the wait is predicted
    as if all running work had to end first, the calls are refused, and so fails
    each request of another service that depends on them.
    """
    unserved = [unserved_shares(seed)[0] for seed in SEEDS]
    assert max(unserved) < MAX_UNSERVED_SHARE


def test_long_reads_use_slots_left_by_short_calls() -> None:
    """Slots stay idle for calls that may arrive.

    The calls need 1.3 of nine slots. The rest can serve 21 of the 30 reads that
    arrive per second.
    """
    servable_share = (SLOTS - CALL.per_s * CALL.work_s) / (
        READ.per_s * READ.work_s
    )
    served = [1 - unserved_shares(seed)[1] for seed in SEEDS]
    assert min(served) > MIN_SERVED_SHARE * servable_share


SIGN = RequestClass('sign', 0, 53.0, 0.15, 0.3, 0.35, 1.0, 3, 0.9)
CHECK = RequestClass('check', 1, 30.0, 0.022, 0.5, 0.1, 0.25, 0, 0)


def test_short_calls_of_a_lower_class_are_not_starved() -> None:
    """Refused calls fail the requests that wait for them."""
    unserved = []
    for seed in SEEDS:
        simulation = Simulation(
            (SIGN, CHECK), make_queue(SLOTS), SECONDS, seed=seed
        )
        counts = simulation.run()['check']
        unserved.append(counts.unserved / counts.requests)
    assert max(unserved) < MAX_UNSERVED_SHARE


LOOKUP = RequestClass('lookup', 2, 68.0, 0.055, 0.6, 0.2, 0.5, 1, 0.3)
LODGE = RequestClass('lodge', 1, 30.0, 0.06, 0.6, 0.25, 0.6, 2, 0.4)
LONG_S = 0.4


def in_time_share(rare_s: float, seed: int) -> float:
    """Return the share in time, after one request of a rare class."""
    queue = make_queue(SLOTS - 4)
    queue.estimate.observe('rare', rare_s)
    simulation = Simulation((LOOKUP, LODGE), queue, SECONDS, seed=seed)
    counts = simulation.run().values()
    return sum(each.in_time for each in counts) / sum(
        each.requests for each in counts
    )


def test_one_long_request_of_a_rare_class_makes_others_no_brief_work() -> None:
    """All other work waits until its deadline, and nearly none is in time."""
    for seed in SEEDS:
        usual = in_time_share(LODGE.work_s, seed)
        assert in_time_share(LONG_S, seed) > 0.9 * usual


def test_many_classes_of_equal_work_have_a_longest_one() -> None:
    estimate = WorkEstimate()
    for number in range(30):
        estimate.observe(f'class-{number}', 0.1)
    assert estimate.longest_s() == pytest.approx(0.1)
