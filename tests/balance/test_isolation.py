"""Tests for moving a key that is hotter than its server."""

from plantaingrade.balance.entity import KeyLoad, Load
from plantaingrade.balance.isolation import choose_isolation
from plantaingrade.balance.planning import plan_moves
from plantaingrade.keyspace.entity import KeyRange

ALL = KeyRange(0, 65_535)
SLOTS = 9
KEY = 500
SLOW_S, MEAN_S, FAST_S = 0.5, 0.3, 0.2
# The key needs three times the slots; its neighbours need half of them.
HOT = KeyLoad(KEY, 3.0 * SLOTS)
NEIGHBOURS = [KeyLoad(key, SLOTS / 10) for key in range(501, 506)]
OWN = Load(3.5, SLOW_S, SLOTS)
PEERS = {
    'slow': Load(0.2, SLOW_S, SLOTS),
    'mean': Load(0.2, MEAN_S, SLOTS),
    'fast': Load(0.5, FAST_S, SLOTS),
    'fast-and-free': Load(0.4, FAST_S, SLOTS),
}


def test_key_hotter_than_its_server_goes_to_the_fastest() -> None:
    """Of equally fast servers, the least loaded one receives it."""
    move = choose_isolation(OWN, PEERS, [ALL], [HOT, *NEIGHBOURS])
    assert move.target == 'fast-and-free'
    assert move.keys == KeyRange(KEY, KEY)


def test_key_stays_on_a_server_that_is_about_as_fast() -> None:
    """Moved back and forth, it is unserved again and again."""
    own = Load(3.5, FAST_S * 1.1, SLOTS)
    assert choose_isolation(own, PEERS, [ALL], [HOT]) is None


def test_key_that_other_servers_can_take_beside_theirs_is_not_isolated() -> (
    None
):
    warm = KeyLoad(KEY, 0.8 * SLOTS)
    assert choose_isolation(OWN, PEERS, [ALL], [warm]) is None


def test_key_that_has_just_arrived_stays() -> None:
    ranges = [KeyRange(501, 65_535)]
    assert choose_isolation(OWN, PEERS, ranges, [HOT, *NEIGHBOURS]) is None


def test_neighbours_are_moved_away_from_a_hot_key_that_stays() -> None:
    """The hot key needs all slots of the fastest server for itself."""
    own = Load(3.5, FAST_S, SLOTS)
    plan = plan_moves(own, PEERS, [ALL], [HOT, *NEIGHBOURS])
    assert plan.isolated is None
    moved = [move.keys for move in plan.balancing]
    assert all(KEY not in keys for keys in moved)
    assert all(any(each.key in keys for keys in moved) for each in NEIGHBOURS)


def test_isolated_key_is_in_no_other_move() -> None:
    plan = plan_moves(OWN, PEERS, [ALL], [HOT, *NEIGHBOURS])
    others = [move for move in plan.moves if move is not plan.isolated]
    assert others
    assert all(KEY not in move.keys for move in others)
    assert all(move.target != plan.isolated.target for move in others)
