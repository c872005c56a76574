"""Tests of the server selection for requests without a key."""

import random
from collections import Counter

from pytest import approx

from plantaingrade.balance.entity import FreeCapacity, Load
from plantaingrade.peers.entity import Member
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.failures import FailureRates, is_failure
from plantaingrade.requests.selection import (
    MAX_EXCESS_FAILURE_RATE,
    Candidate,
    best_of_two,
    choose_after_refusal,
    choose_candidate,
    find_earliest,
    is_worth_crossing_zones,
    meets_objective,
)

SLOTS = 6
WORK_S = 0.042
# Speeds of three servers, one in each availability zone.
SPEED_BY_ZONE = {'a': 0.7, 'b': 0.7, 'c': 1.6}
# Requests per second in each zone; 84 % of the capacity of all three.
PER_S = 120


def make_candidate(
    name: str, share: float | None, failures: float = 0.0
) -> Candidate:
    load = None if share is None else Load(share, WORK_S, SLOTS)
    return Candidate(Member(name, 's', name, name, 'b'), load, failures)


def count(
    local: list[Candidate], remote: list[Candidate], tries: int = 2000
) -> Counter:
    rng = random.Random(7)
    chosen = (choose_candidate(local, remote, rng) for _ in range(tries))
    return Counter(each.member.name for each in chosen)


def test_requests_stay_in_zone_with_free_capacity() -> None:
    chosen = count([make_candidate('a', 0.6)], [make_candidate('b', 0.0)])
    assert chosen == {'a': 2000}


def test_only_excess_load_leaves_the_zone() -> None:
    """Otherwise all processes would switch to the same server at once."""
    chosen = count([make_candidate('a', 1.4)], [make_candidate('b', 0.2)])
    assert chosen['a'] > 900
    assert chosen['b'] > 900


def test_requests_stay_if_other_zones_are_as_full() -> None:
    chosen = count([make_candidate('a', 1.4)], [make_candidate('b', 1.3)])
    assert chosen == {'a': 2000}


def test_less_loaded_server_gets_more() -> None:
    local = [
        make_candidate('a', 0.9),
        make_candidate('b', 0.1),
        make_candidate('c', 0.5),
    ]
    chosen = count(local, [])
    assert chosen['a'] == 0
    assert 0 < chosen['c'] < chosen['b']


def test_server_without_reported_load_is_tried() -> None:
    chosen = count([make_candidate('a', 1.4)], [make_candidate('b', None)])
    assert chosen['b'] > 900


def test_new_server_of_an_idle_service_gets_its_share() -> None:
    """A server that joined an idle service never got requests.

    Its load was unknown and assumed to be one half, so every request went to
    another server, and its load was never reported.
    """
    local = [
        make_candidate('a', 0.3),
        make_candidate('b', 0.25),
        make_candidate('c', 0.2),
    ]
    chosen = count([*local, make_candidate('new', None)], [])
    assert chosen['new'] > 2000 / 4 * 0.6


def test_new_server_is_not_overloaded() -> None:
    """Many processes do not know its load at first."""
    local = [
        make_candidate('a', 0.3),
        make_candidate('b', 0.25),
        make_candidate('c', 0.2),
    ]
    chosen = count([*local, make_candidate('new', None)], [])
    assert chosen['new'] < 2000 / 4 * 1.5


def test_no_candidate_without_servers() -> None:
    assert choose_candidate([], [], random.Random(1)) is None
    assert best_of_two([], random.Random(1)) is None
    full = [make_candidate('a', 1.2), make_candidate('b', 2.0)]
    assert choose_after_refusal(full, random.Random(1)) is None


def test_failing_server_is_skipped() -> None:
    """A server fails half of its requests; its health check passes.

    Requests leave the zone while other zones have free capacity. If those are
    full, serving half of the requests is better than none.
    """
    failing = make_candidate('a', 0.5, 0.45)
    assert count([failing], [make_candidate('b', 0.6)]) == {'b': 2000}
    assert count([failing], [make_candidate('b', 1.2)]) == {'a': 2000}


def test_common_failures_move_no_requests() -> None:
    chosen = count(
        [make_candidate('a', 0.5, 0.5)], [make_candidate('b', 0.1, 0.45)]
    )
    assert chosen == {'a': 2000}


def test_failure_rate_rises_quickly_and_decays_slowly() -> None:
    """A server starts to fail, is skipped, and is tried again later."""
    rates = FailureRates()
    good = Answered(Answer(200, (), b''))
    bad = Answered(Answer(500, (), b''))
    for _ in range(50):
        rates.observe('a', good, 1.0)
    for outcome in (bad, good) * 4:
        rates.observe('a', outcome, 1.1)
    assert rates.rate('a', 1.1) > MAX_EXCESS_FAILURE_RATE
    assert rates.rate('a', 6.0) < MAX_EXCESS_FAILURE_RATE
    assert rates.rate('b', 1.1) == approx(0)


def test_only_requests_sent_to_a_server_count() -> None:
    assert is_failure(NotRun(NotRunReason.QUEUE_FULL)) is None
    assert is_failure(NotRun(NotRunReason.PEER_DOWN)) is None
    assert is_failure(NotRun(NotRunReason.SERVER_REFUSED))
    assert is_failure(Unknown(UnknownReason.BROKEN))
    assert not is_failure(Answered(Answer(404, (), b'')))


def test_load_spills_over_from_slow_to_fast_zone() -> None:
    """Zones with the same load have servers of different speeds.

    Without spillover, the slow servers are overloaded while the fast one is
    half idle. Simulated in steps of one load measuring window.
    """
    by_zone, by_load = (
        _simulate(with_spillover=False),
        _simulate(with_spillover=True),
    )
    capacity = Load(1.0, WORK_S, SLOTS).share
    assert max(by_zone.values()) > capacity
    assert max(by_load.values()) < capacity
    assert min(by_load.values()) > min(by_zone.values())


def _simulate(*, with_spillover: bool) -> dict[str, float]:
    """Return the load of each server after 20 load windows."""
    rng = random.Random(3)
    share_by_zone = dict.fromkeys(SPEED_BY_ZONE, 0.0)
    for _ in range(20):
        work_by_zone = dict.fromkeys(SPEED_BY_ZONE, 0.0)
        candidates = [
            make_candidate(zone, share) for zone, share in share_by_zone.items()
        ]
        for own in candidates:
            remote = (
                [each for each in candidates if each is not own]
                if with_spillover
                else []
            )
            for _ in range(PER_S):
                chosen = choose_candidate([own], remote, rng).member.zone
                work_by_zone[chosen] += WORK_S / SPEED_BY_ZONE[chosen]
        for zone, work in work_by_zone.items():
            before = share_by_zone[zone]
            share_by_zone[zone] = (before + work / SLOTS) / 2
    return share_by_zone


def test_earliest_finish_wins_over_earliest_start() -> None:
    """A free server at half the speed was preferred to one free shortly."""
    capacities = {
        'slow': FreeCapacity(0.0, 0.2),
        'fast': FreeCapacity(0.03, 0.08),
    }
    assert find_earliest(capacities) == 'fast'


def test_fast_failing_server_does_not_attract_requests() -> None:
    """It seems to have the most free capacity, as its requests end early."""
    capacities = {
        'failing': FreeCapacity(0.0, 0.01, failures=0.5),
        'healthy': FreeCapacity(0.1, 0.1, failures=0.02),
    }
    assert find_earliest(capacities) == 'healthy'


def test_common_failures_exclude_no_server() -> None:
    capacities = {
        'one': FreeCapacity(0.0, 0.1, failures=0.5),
        'other': FreeCapacity(0.2, 0.1, failures=0.45),
    }
    assert find_earliest(capacities) == 'one'
    assert find_earliest({}) is None


def test_request_leaves_zone_only_to_finish_clearly_earlier() -> None:
    local = FreeCapacity(0.1, 0.1)
    assert meets_objective(local, due_in_s=0.25)
    assert not meets_objective(local, due_in_s=0.15)
    assert is_worth_crossing_zones(local, FreeCapacity(0.0, 0.1))
    assert not is_worth_crossing_zones(local, FreeCapacity(0.08, 0.1))
