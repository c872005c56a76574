"""Keys that are to be given away while the store is away."""

import asyncio

import pytest

from plantaingrade.holds.const import RENEW_S
from plantaingrade.keyspace.entity import KEY_COUNT
from tests.holds.fakes import FakeCluster
from tests.virtual import run

NAMES = ('m1', 'm2', 'm3')
SETTLED_S = 6.0
# A renewal has been due, and has failed.
NOTICED_S = RENEW_S + 1.5


def set_store(world: FakeCluster, *, is_away: bool, is_refusing: bool) -> None:
    for place in world.members:
        place.store.is_away = is_away
        place.store.is_refusing = is_refusing


@pytest.mark.parametrize('is_refusing', [False, True])
def test_keys_are_not_released_while_the_store_is_away(is_refusing) -> None:
    """A process is told to stop while the store is away for eight seconds.

    Its keys were released at once, and the change that gives them to another
    waited for the store: callers were refused for 5 s by everybody, though
    the server and its process went on.
    """

    async def story() -> None:
        world = FakeCluster()
        holds = [world.add(name) for name in NAMES][0].holds
        await asyncio.sleep(SETTLED_S)
        assert world.held_keys() == KEY_COUNT
        set_store(world, is_away=not is_refusing, is_refusing=is_refusing)
        await asyncio.sleep(NOTICED_S)
        own = holds.registry.key_map.owned_by('m1')[0].keys
        assert not await holds.async_is_store_available()
        assert not await holds.async_transfer([own], 'm2')
        assert world.held_keys() == KEY_COUNT
        set_store(world, is_away=False, is_refusing=False)
        await asyncio.sleep(2)
        assert await holds.async_is_store_available()
        assert await holds.async_transfer([own], 'm2')
        await world.async_stop()

    run(story())


def test_a_store_that_has_just_gone_is_noticed_before_the_release() -> None:
    """The store goes away between two renewals, and the process is to stop."""

    async def story() -> None:
        world = FakeCluster()
        holds = [world.add(name) for name in NAMES][0].holds
        await asyncio.sleep(SETTLED_S)
        set_store(world, is_away=True, is_refusing=False)
        await asyncio.sleep(1)
        assert not await holds.async_is_store_available()
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())
