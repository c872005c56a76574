"""Where requests go that any server of a service may run."""

import random
from collections import Counter

from pytest import approx

from plantaingrade.balance.entity import Load, Room
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
    Place,
    best_of_two,
    choose_after_refusal,
    choose_place,
    is_near_enough,
    is_worth_crossing,
    soonest,
)

SLOTS = 6
WORK_S = 0.042
# Speeds of three servers, one in each availability zone.
SPEED_BY_ZONE = {'a': 0.7, 'b': 0.7, 'c': 1.6}
# Requests a second in each zone; 0.84 of what all three can run.
PER_S = 120


def place(name: str, share: float | None, failures: float = 0.0) -> Place:
    load = None if share is None else Load(share, WORK_S, SLOTS)
    return Place(Member(name, 's', name, name, 'b'), load, failures)


def count(near: list[Place], far: list[Place], tries: int = 2000) -> Counter:
    chance = random.Random(7)
    chosen = (choose_place(near, far, chance) for _ in range(tries))
    return Counter(each.member.name for each in chosen)


def test_requests_stay_in_their_zone_while_it_has_room() -> None:
    chosen = count([place('a', 0.6)], [place('b', 0.0)])
    assert chosen == {'a': 2000}


def test_only_the_excess_leaves_the_zone() -> None:
    """If all of it left, every process would turn to the same server."""
    chosen = count([place('a', 1.4)], [place('b', 0.2)])
    assert chosen['a'] > 900
    assert chosen['b'] > 900


def test_requests_stay_where_others_are_as_full() -> None:
    chosen = count([place('a', 1.4)], [place('b', 1.3)])
    assert chosen == {'a': 2000}


def test_the_less_loaded_of_a_zone_gets_more() -> None:
    near = [place('a', 0.9), place('b', 0.1), place('c', 0.5)]
    chosen = count(near, [])
    assert chosen['a'] == 0
    assert 0 < chosen['c'] < chosen['b']


def test_a_server_that_told_nothing_is_tried() -> None:
    chosen = count([place('a', 1.4)], [place('b', None)])
    assert chosen['b'] > 900


def test_a_server_that_joins_a_quiet_service_gets_its_share() -> None:
    """A server joins while the others have little to do.

    It told nobody its load, was taken for half loaded, and so each request
    went to another: nobody ever heard of its load, and it got nothing.
    """
    near = [place('a', 0.3), place('b', 0.25), place('c', 0.2)]
    chosen = count([*near, place('new', None)], [])
    assert chosen['new'] > 2000 / 4 * 0.6


def test_a_server_that_joins_is_not_overrun() -> None:
    """Many processes do not know its load at the same time."""
    near = [place('a', 0.3), place('b', 0.25), place('c', 0.2)]
    chosen = count([*near, place('new', None)], [])
    assert chosen['new'] < 2000 / 4 * 1.5


def test_nobody_is_chosen_from_nobody() -> None:
    assert choose_place([], [], random.Random(1)) is None
    assert best_of_two([], random.Random(1)) is None
    full = [place('a', 1.2), place('b', 2.0)]
    assert choose_after_refusal(full, random.Random(1)) is None


def test_a_server_that_fails_its_requests_is_passed_over() -> None:
    """A server fails half of its requests; its health check is good.

    Those of the own zone go elsewhere while there is room elsewhere. If the
    others are full, half of the requests served is better than none.
    """
    failing = place('a', 0.5, 0.45)
    assert count([failing], [place('b', 0.6)]) == {'b': 2000}
    assert count([failing], [place('b', 1.2)]) == {'a': 2000}


def test_what_all_servers_fail_alike_moves_nothing() -> None:
    chosen = count([place('a', 0.5, 0.5)], [place('b', 0.1, 0.45)])
    assert chosen == {'a': 2000}


def test_failures_are_seen_soon_and_forgotten_slowly() -> None:
    """A server begins to fail, is passed over, and is tried again later."""
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


def test_only_what_a_server_was_asked_counts() -> None:
    assert is_failure(NotRun(NotRunReason.QUEUE_FULL)) is None
    assert is_failure(NotRun(NotRunReason.PEER_DOWN)) is None
    assert is_failure(NotRun(NotRunReason.SERVER_REFUSED))
    assert is_failure(Unknown(UnknownReason.BROKEN))
    assert not is_failure(Answered(Answer(404, (), b'')))


def test_zones_with_slow_servers_lean_on_fast_ones() -> None:
    """Servers of different speeds stand in different zones.

    Each zone brings the same load, so the slow ones are asked for more than
    they can run and refuse, while the fast one is half idle. Played in steps
    of a measuring window against a choice by zone alone.
    """
    by_zone, by_load = _play(spills=False), _play(spills=True)
    room = Load(1.0, WORK_S, SLOTS).share
    assert max(by_zone.values()) > room
    assert max(by_load.values()) < room
    assert min(by_load.values()) > min(by_zone.values())


def _play(*, spills: bool) -> dict[str, float]:
    """Return the load of each server after some windows."""
    chance = random.Random(3)
    share_by_zone = dict.fromkeys(SPEED_BY_ZONE, 0.0)
    for _ in range(20):
        work_by_zone = dict.fromkeys(SPEED_BY_ZONE, 0.0)
        places = [place(zone, share) for zone, share in share_by_zone.items()]
        for own in places:
            far = [each for each in places if each is not own] if spills else []
            for _ in range(PER_S):
                chosen = choose_place([own], far, chance).member.zone
                work_by_zone[chosen] += WORK_S / SPEED_BY_ZONE[chosen]
        for zone, work in work_by_zone.items():
            before = share_by_zone[zone]
            share_by_zone[zone] = (before + work / SLOTS) / 2
    return share_by_zone


def test_the_server_that_ends_first_is_chosen_not_the_one_that_begins() -> None:
    """A free server at half the speed was preferred to one free in a moment."""
    rooms = {'slow': Room(0.0, 0.2), 'fast': Room(0.03, 0.08)}
    assert soonest(rooms) == 'fast'


def test_a_server_that_fails_fast_does_not_draw_all_requests() -> None:
    """It has the most room of all, as it runs nothing for long."""
    rooms = {
        'failing': Room(0.0, 0.01, failures=0.5),
        'sound': Room(0.1, 0.1, failures=0.02),
    }
    assert soonest(rooms) == 'sound'


def test_what_all_servers_fail_alike_rules_none_out() -> None:
    rooms = {
        'one': Room(0.0, 0.1, failures=0.5),
        'other': Room(0.2, 0.1, failures=0.45),
    }
    assert soonest(rooms) == 'one'
    assert soonest({}) is None


def test_a_request_leaves_its_zone_only_to_end_clearly_sooner() -> None:
    near = Room(0.1, 0.1)
    assert is_near_enough(near, due_in_s=0.25)
    assert not is_near_enough(near, due_in_s=0.15)
    assert is_worth_crossing(near, Room(0.0, 0.1))
    assert not is_worth_crossing(near, Room(0.08, 0.1))
