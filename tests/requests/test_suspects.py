"""Which requests are taken to crash servers."""

import random

import pytest

from plantaingrade.requests.crashes import CrashWatch
from plantaingrade.requests.entity import CallerRequest, RoutedRequest
from plantaingrade.requests.suspects import (
    INNOCENT_S,
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


def test_a_request_is_known_again_by_path_caller_and_body() -> None:
    first = fingerprint(routed(name=b'first'))
    assert first == fingerprint(routed(name=b'second'))
    assert first != fingerprint(routed(path=b'/a/2'))
    assert first != fingerprint(routed(body=b'y'))
    assert fingerprint(routed(b'/a', b'b')) != fingerprint(routed(b'/ab', b''))


def test_what_alone_explains_two_crashes_is_refused() -> None:
    suspects = Suspects()
    suspects.note_crash(('p',), 1.0)
    assert not suspects.left_s('p', 1.0)
    suspects.note_crash(('p',), 5.0)
    assert suspects.left_s('p', 5.0) == pytest.approx(QUARANTINE_S)
    assert not suspects.left_s('p', 5.0 + QUARANTINE_S)
    suspects.note_crash(('p',), 70.0)
    assert suspects.left_s('p', 70.0)


@pytest.mark.parametrize('beside', [2, 5, 20])
def test_three_crashes_are_enough_however_much_runs_beside(beside) -> None:
    """A request crashes three full servers, one after the other.

    Each time other work broke off with it. What ran beside it once is not
    refused; the request that ran each time is.
    """
    suspects = Suspects()
    for crash in range(3):
        others = tuple(f'{crash}-{each}' for each in range(beside))
        suspects.note_crash(('p', *others), float(crash))
    assert suspects.left_s('p', 3.0)
    assert not any(
        suspects.left_s(f'{crash}-{each}', 3.0)
        for crash in range(3)
        for each in range(beside)
    )


def test_what_servers_answer_is_not_refused() -> None:
    """Servers of a zone lose power together while one path is much asked for.

    It ran at each of them, and nobody could read that page for a minute. It
    is answered all the time, before and after.
    """
    suspects = Suspects()
    suspects.note_answered('p', 1.0)
    for _ in range(10):
        suspects.note_crash(('p',), 2.0)
    assert not suspects.left_s('p', 2.0)
    suspects.note_crash(('q',), 3.0)
    suspects.note_answered('q', 4.0)
    suspects.note_crash(('q',), 5.0 + INNOCENT_S)
    assert not suspects.left_s('q', 5.0 + INNOCENT_S)


def test_innocents_are_hardly_ever_refused() -> None:
    """400 crashes by other causes, among requests of which some are popular.

    The share of requests that were refused wrongly is at most one in a
    thousand of those that came.
    """
    chance = random.Random(7)
    suspects = Suspects()
    asked = 0
    refused = 0
    now = 0.0
    for _ in range(400):
        for _ in range(50):
            now += 0.01
            asked += 1
            digest = f'p{int(chance.paretovariate(1.1))}'
            if suspects.left_s(digest, now):
                refused += 1
            else:
                suspects.note_answered(digest, now)
        ran = tuple(f'p{int(chance.paretovariate(1.1))}' for _ in range(SLOTS))
        suspects.note_crash(ran, now)
    assert refused <= asked / 1000


def test_what_is_kept_is_bounded() -> None:
    suspects = Suspects()
    for each in range(2 * MAX_SUSPECTS):
        suspects.note_crash((f'p{each}',), 1.0)
    for each in range(2 * MAX_ANSWERED):
        suspects.note_answered(f'a{each}', 1.0)
    assert len(suspects._suspect_by_digest) == MAX_SUSPECTS
    assert len(suspects._answered_at) == MAX_ANSWERED


def watch(*running: str) -> CrashWatch:
    watching = CrashWatch(Suspects())
    for each in running:
        watching.on_sent(each)
    return watching


def test_what_broke_together_ran_at_the_crash() -> None:
    watching = watch('a', 'b')
    watching.on_broken('a', 1.0)
    watching.on_broken('b', 1.01)
    assert watching.on_down(1.5) == ('a', 'b')
    assert not watching.on_down(1.6)


def test_a_lost_answer_is_no_crash() -> None:
    """One connection is reset, and the server goes on with the rest."""
    watching = watch('a', 'b')
    watching.on_broken('a', 1.0)
    watching.on_answered('b', 1.1)
    assert not watching.on_down(1.2)


def test_a_server_too_busy_to_connect_to_has_not_crashed() -> None:
    watching = watch('a', 'b')
    watching.on_broken('a', 1.0)
    assert not watching.on_down(1.1)


def test_what_broke_before_is_another_matter() -> None:
    watching = watch('a', 'b')
    watching.on_broken('a', 1.0)
    watching.on_broken('b', 3.0)
    assert watching.on_down(3.1) == ('b',)


def test_what_ended_long_before_the_next_life_is_no_crash() -> None:
    watching = watch('a')
    watching.on_broken('a', 1.0)
    assert not watching.on_down(60.0)
