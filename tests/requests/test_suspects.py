"""Tests of the detection of requests that crash servers."""

import random

import pytest

from plantaingrade.requests.crashes import CrashDetector
from plantaingrade.requests.entity import CallerRequest, RoutedRequest
from plantaingrade.requests.suspects import (
    CLEARED_S,
    MAX_ANSWERED,
    MAX_SUSPECTS,
    QUARANTINE_S,
    Suspects,
    fingerprint,
)

SLOTS = 3


def routed(path: bytes = b'/a/1', body: bytes = b'x', name: bytes = b'id'):
    caller = CallerRequest(
        name, b'POST', path, b'h', 5, ((b'cookie', name),), body, 1.0, 2.0
    )
    return RoutedRequest(caller, 'mine', 'cases', False, 1, 2.0, 1.5)


def test_fingerprint_covers_path_caller_and_body() -> None:
    first = fingerprint(routed(name=b'first'))
    assert first == fingerprint(routed(name=b'second'))
    assert first != fingerprint(routed(path=b'/a/2'))
    assert first != fingerprint(routed(body=b'y'))
    assert fingerprint(routed(b'/a', b'b')) != fingerprint(routed(b'/ab', b''))


def test_request_running_alone_at_two_crashes_is_refused() -> None:
    suspects = Suspects()
    suspects.add_crash(('p',), 1.0)
    assert not suspects.quarantine_left_s('p', 1.0)
    suspects.add_crash(('p',), 5.0)
    assert suspects.quarantine_left_s('p', 5.0) == pytest.approx(QUARANTINE_S)
    assert not suspects.quarantine_left_s('p', 5.0 + QUARANTINE_S)
    suspects.add_crash(('p',), 70.0)
    assert suspects.quarantine_left_s('p', 70.0)


@pytest.mark.parametrize('others_count', [2, 5, 20])
def test_three_crashes_are_enough_with_any_concurrency(others_count) -> None:
    """One request crashes three fully loaded servers in turn.

    The request that ran at all of them is refused; requests that ran at only
    one of them are not.
    """
    suspects = Suspects()
    for crash in range(3):
        others = tuple(f'{crash}-{each}' for each in range(others_count))
        suspects.add_crash(('p', *others), float(crash))
    assert suspects.quarantine_left_s('p', 3.0)
    assert not any(
        suspects.quarantine_left_s(f'{crash}-{each}', 3.0)
        for crash in range(3)
        for each in range(others_count)
    )


def test_answered_request_is_not_refused() -> None:
    """A popular request was refused for a minute after a zone lost power.

    It was running at each of the servers, but it was also answered all the
    time, before and after.
    """
    suspects = Suspects()
    suspects.add_answer('p', 1.0)
    for _ in range(10):
        suspects.add_crash(('p',), 2.0)
    assert not suspects.quarantine_left_s('p', 2.0)
    suspects.add_crash(('q',), 3.0)
    suspects.add_answer('q', 4.0)
    suspects.add_crash(('q',), 5.0 + CLEARED_S)
    assert not suspects.quarantine_left_s('q', 5.0 + CLEARED_S)


def test_false_positives_are_rare() -> None:
    """After 400 unrelated crashes, at most 0.1 % of requests are refused."""
    rng = random.Random(7)
    suspects = Suspects()
    asked = 0
    refused = 0
    now = 0.0
    for _ in range(400):
        for _ in range(50):
            now += 0.01
            asked += 1
            digest = f'p{int(rng.paretovariate(1.1))}'
            if suspects.quarantine_left_s(digest, now):
                refused += 1
            else:
                suspects.add_answer(digest, now)
        ran = tuple(f'p{int(rng.paretovariate(1.1))}' for _ in range(SLOTS))
        suspects.add_crash(ran, now)
    assert refused <= asked / 1000


def test_stored_entries_are_bounded() -> None:
    suspects = Suspects()
    for each in range(2 * MAX_SUSPECTS):
        suspects.add_crash((f'p{each}',), 1.0)
    for each in range(2 * MAX_ANSWERED):
        suspects.add_answer(f'a{each}', 1.0)
    assert len(suspects._suspect_by_digest) == MAX_SUSPECTS
    assert len(suspects._answered_at) == MAX_ANSWERED


def make_detector(*running: str) -> CrashDetector:
    detector = CrashDetector(Suspects())
    for each in running:
        detector.on_sent(each)
    return detector


def test_simultaneous_breaks_are_a_crash() -> None:
    detector = make_detector('a', 'b')
    detector.on_broken('a', 1.0)
    detector.on_broken('b', 1.01)
    assert detector.on_down(1.5) == ('a', 'b')
    assert not detector.on_down(1.6)


def test_lost_response_is_no_crash() -> None:
    """One connection is reset while the server answers the others."""
    detector = make_detector('a', 'b')
    detector.on_broken('a', 1.0)
    detector.on_answered('b', 1.1)
    assert not detector.on_down(1.2)


def test_server_too_busy_to_accept_connections_has_not_crashed() -> None:
    detector = make_detector('a', 'b')
    detector.on_broken('a', 1.0)
    assert not detector.on_down(1.1)


def test_earlier_break_does_not_belong_to_the_crash() -> None:
    detector = make_detector('a', 'b')
    detector.on_broken('a', 1.0)
    detector.on_broken('b', 3.0)
    assert detector.on_down(3.1) == ('b',)


def test_break_long_before_the_next_incarnation_is_no_crash() -> None:
    detector = make_detector('a')
    detector.on_broken('a', 1.0)
    assert not detector.on_down(60.0)
