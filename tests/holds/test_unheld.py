"""How long requests wait for keys that are on the move."""

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
LOOK_S = 0.1


def test_a_short_move_is_waited_for() -> None:
    unheld = UnheldRanges()
    assert not unheld.is_overdue(HOT, 1.0)
    assert not unheld.is_overdue(HOT, 1.0 + MAX_UNHELD_WAIT_S / 2)


def test_a_later_move_of_the_same_keys_begins_anew() -> None:
    unheld = UnheldRanges()
    assert not unheld.is_overdue(HOT, 1.0)
    later = 1.0 + STALE_AFTER_S + MAX_UNHELD_WAIT_S
    assert not unheld.is_overdue(HOT, later)
    assert not unheld.is_overdue(KeyRange(0, 99), later + MAX_UNHELD_WAIT_S)


def test_keys_that_are_stuck_in_a_move_are_not_waited_for() -> None:
    """Keys are released to pass on, and the store is lost at that moment.

    Whether they have passed on is known only when it is back. Callers who
    come meanwhile are refused at once, and not held until their time is up.
    """

    async def story() -> list[bool]:
        world = FakeCluster()
        places = [world.add(name) for name in ('m1', 'm2')]
        await asyncio.sleep(6.0)
        source = places[0].holds
        key = source.registry.key_map.owned_by('m1')[0].keys.first
        places[0].store.is_away = True
        move = asyncio.create_task(
            source.async_transfer([KeyRange(key, key)], 'm2')
        )
        answers = []
        for _ in range(30):
            await asyncio.sleep(LOOK_S)
            if not source.is_held(key):
                answers.append(source.is_overdue(key))
        move.cancel()
        await world.async_stop()
        return answers

    overdue = run(story())
    assert not overdue[0]
    assert all(overdue[round(MAX_UNHELD_WAIT_S / LOOK_S) + 2 :])
    assert overdue[-1]
