"""Requests for keys of a process that has just started."""

import asyncio

from plantaingrade.keyspace.entity import KEY_COUNT
from tests.holds.fakes import FakeCluster
from tests.virtual import run

NAMES = ('m1', 'm2')
SETTLED_S = 6.0
LOOK_S = 0.001
LOOKED_S = 0.2


def test_keys_are_waited_for_before_the_first_session() -> None:
    """A process starts again beside its server, and takes requests at once.

    It knows from the map that a key is its own before it has a connection to
    its server, which takes some milliseconds more. Callers were refused as if
    the server could not be reached, though nobody had tried.
    """

    async def story() -> None:
        world = FakeCluster()
        place = [world.add(name) for name in NAMES][0]
        await asyncio.sleep(SETTLED_S)
        key = place.maps.find('cases').owned_by('m1')[0].keys.first
        world.kill(place)
        holds = world.restart(place).holds
        refused = 0
        for _ in range(int(LOOKED_S / LOOK_S)):
            await asyncio.sleep(LOOK_S)
            refused += holds.is_overdue(key)
        assert not refused
        assert holds.is_held(key)
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


def test_keys_of_a_server_that_was_not_reached_are_refused_at_once() -> None:
    async def story() -> None:
        world = FakeCluster()
        place = [world.add(name) for name in NAMES][0]
        await asyncio.sleep(SETTLED_S)
        key = place.maps.find('cases').owned_by('m1')[0].keys.first
        place.server.is_up = False
        await asyncio.sleep(LOOKED_S)
        assert place.holds.is_overdue(key)
        await world.async_stop()

    run(story())
