"""How long requests wait for keys that are being transferred."""

import asyncio

from plantaingrade.holds.unheld import (
    MAX_UNHELD_WAIT_S,
    STALE_AFTER_S,
    UnheldRanges,
)
from plantaingrade.keyspace.entity import KeyRange
from tests.holds.fakes import FakeCluster
from tests.virtual import run

HOT = KeyRange(100, 199)
POLL_S = 0.1


def test_requests_wait_for_a_short_move() -> None:
    unheld = UnheldRanges()
    assert not unheld.is_overdue(HOT, 1.0)
    assert not unheld.is_overdue(HOT, 1.0 + MAX_UNHELD_WAIT_S / 2)


def test_a_later_move_of_the_same_keys_starts_a_new_wait() -> None:
    unheld = UnheldRanges()
    assert not unheld.is_overdue(HOT, 1.0)
    later = 1.0 + STALE_AFTER_S + MAX_UNHELD_WAIT_S
    assert not unheld.is_overdue(HOT, later)
    assert not unheld.is_overdue(KeyRange(0, 99), later + MAX_UNHELD_WAIT_S)


def test_requests_do_not_wait_for_a_stuck_move() -> None:
    """The store fails just after keys were released for a transfer.

    Whether they were transferred is known only when the store is back. Requests
    must be refused at once meanwhile, not held until their deadlines.
    """

    async def scenario() -> list[bool]:
        cluster = FakeCluster()
        members = [cluster.add(name) for name in ('m1', 'm2')]
        await asyncio.sleep(6.0)
        source = members[0].holds
        key = source.registry.key_map.owned_by('m1')[0].keys.first
        members[0].store.is_unavailable = True
        move = asyncio.create_task(
            source.async_transfer([KeyRange(key, key)], 'm2')
        )
        answers = []
        for _ in range(30):
            await asyncio.sleep(POLL_S)
            if not source.is_held(key):
                answers.append(source.is_overdue(key))
        move.cancel()
        await cluster.async_stop()
        return answers

    overdue = run(scenario())
    assert not overdue[0]
    assert all(overdue[round(MAX_UNHELD_WAIT_S / POLL_S) + 2 :])
    assert overdue[-1]


def test_requests_wait_for_a_release_that_waits_for_long_work() -> None:
    """Work of 0.36 s holds up a release longer than callers would wait."""
    work_s = 0.36
    unheld = UnheldRanges()
    assert not unheld.is_overdue(HOT, 1.0, work_s)
    waits = [
        unheld.is_overdue(HOT, 1.0 + tenths / 10, work_s)
        for tenths in range(1, 15)
    ]
    assert not any(waits[: int(2 * work_s * 10)])
    assert waits[-1]
