"""The queue of a member that grants turns."""

from plantaingrade.holds.contention import CHANGE_MEMORY_S, Contention
from plantaingrade.holds.map_turn_queue import (
    MAX_SILENCE_S,
    TURN_LIMIT_S,
    USUAL_TURN_S,
    MapTurnQueue,
    MapTurnRank,
)


def make_queue(
    *names: str, rank: MapTurnRank = MapTurnRank.DEFERRABLE
) -> MapTurnQueue:
    queue = MapTurnQueue()
    for name in names:
        queue.request(name, name, 1, rank, 0.0)
    return queue


def granted_names(queue: MapTurnQueue) -> list[str]:
    """Grant and end all turns; return the names in their order."""
    names = []
    granted = queue.advance(0.0)
    while granted is not None:
        names.append(granted.name)
        queue.end(granted.name, granted.number, 0.0)
        granted = queue.advance(0.0)
    return names


def test_turns_are_granted_in_the_order_of_the_requests() -> None:
    assert granted_names(make_queue('b', 'a', 'c')) == ['b', 'a', 'c']


def test_unserved_keys_come_before_those_that_could_stay() -> None:
    """A server leaves while forty members even out their load."""
    queue = make_queue('a', 'b')
    queue.request('leaving', 'leaving', 1, MapTurnRank.UNSERVED, 0.0)
    assert granted_names(queue) == ['leaving', 'a', 'b']


def test_one_turn_is_granted_at_a_time() -> None:
    queue = make_queue('a', 'b')
    assert queue.advance(0.0).name == 'a'
    assert queue.advance(TURN_LIMIT_S / 2) is None
    assert queue.expected_wait_s('b') == USUAL_TURN_S
    queue.end('a', 1, 0.0)
    assert queue.advance(TURN_LIMIT_S / 2).name == 'b'


def test_a_turn_that_is_not_returned_lapses() -> None:
    """A member is lost in its turn, and the others wait for it for ever."""
    queue = make_queue('a', 'b')
    queue.advance(0.0)
    assert queue.advance(TURN_LIMIT_S).name == 'b'
    assert queue.lapsed == 1


def test_a_turn_returned_late_does_not_end_that_of_another() -> None:
    queue = make_queue('a', 'b')
    queue.advance(0.0)
    queue.advance(TURN_LIMIT_S)
    queue.end('a', 1, 0.0)
    assert queue.is_granted('b', 1)


def test_a_repeated_request_keeps_its_place() -> None:
    queue = make_queue('a', 'b')
    queue.request('a', 'a', 1, MapTurnRank.DEFERRABLE, 0.1)
    assert granted_names(queue) == ['a', 'b']


def test_a_repeated_request_of_the_granted_turn_is_not_queued() -> None:
    """The answer that grants a turn is lost, so the member asks again."""
    queue = make_queue('a')
    queue.advance(0.0)
    queue.request('a', 'a', 1, MapTurnRank.DEFERRABLE, 0.04)
    assert queue.is_granted('a', 1)
    queue.end('a', 1, 0.0)
    assert queue.advance(0.05) is None


def test_members_that_are_gone_cost_no_turns() -> None:
    """Twenty members are lost with their zone while they wait."""
    queue = make_queue('a', 'b', 'c')
    queue.request('c', 'c', 1, MapTurnRank.DEFERRABLE, MAX_SILENCE_S)
    assert queue.advance(MAX_SILENCE_S + 0.1).name == 'c'


def test_a_withdrawn_request_gets_no_turn() -> None:
    queue = make_queue('a', 'b')
    queue.end('a', 1, 0.0)
    assert granted_names(queue) == ['b']


def test_the_expected_wait_follows_the_duration_of_turns() -> None:
    """Turns take twice as long as usual, because the store is busy.

    Members that wait in vain would learn so only after their limit.
    """
    queue = make_queue('a', 'b', 'c')
    for number in range(40):
        queue.request('d', 'd', number, MapTurnRank.UNSERVED, 0.0)
        now = 0.01 * number
        assert queue.advance(now)
        queue.end('d', number, now + 2 * USUAL_TURN_S)
    assert queue.expected_wait_s('c') > 3.5 * USUAL_TURN_S


def test_a_single_change_needs_no_turn() -> None:
    contention = Contention()
    contention.on_change(10.0)
    assert not contention.is_likely(10.0)


def test_turns_are_taken_while_others_change_the_map() -> None:
    contention = Contention()
    contention.on_change(10.0)
    contention.on_change(10.1)
    assert contention.is_likely(10.2)
    assert not contention.is_likely(10.0 + CHANGE_MEMORY_S)


def test_turns_are_taken_after_a_conflict() -> None:
    contention = Contention()
    contention.on_conflict(10.0)
    assert contention.is_likely(11.0)
    assert not contention.is_likely(13.0)
