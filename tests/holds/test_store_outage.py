"""Transfers of keys during an outage of the store."""

import asyncio

import pytest

from plantaingrade.holds.const import RENEW_S
from plantaingrade.keyspace.entity import KEY_COUNT
from tests.holds.fakes import FakeCluster
from tests.virtual import run

NAMES = ('m1', 'm2', 'm3')
SETTLED_S = 6.0
# Time after which a renewal has become due and failed.
NOTICED_S = RENEW_S + 1.5
# Longest time of a transfer that is refused.
DECIDED_S = 5.0


def set_store(
    cluster: FakeCluster, *, is_unavailable: bool, is_refusing: bool
) -> None:
    for member in cluster.members:
        member.store.is_unavailable = is_unavailable
        member.store.is_refusing = is_refusing


@pytest.mark.parametrize('is_refusing', [False, True])
def test_keys_are_not_released_during_a_store_outage(is_refusing) -> None:
    """A process is ordered to stop during a store outage of eight seconds.

    If its keys were released at once, the change that transfers them would wait
    for the store, and nobody would serve them for 5 s although the server
    works.
    """

    async def scenario() -> None:
        cluster = FakeCluster()
        holds = [cluster.add(name) for name in NAMES][0].holds
        await asyncio.sleep(SETTLED_S)
        assert cluster.held_keys() == KEY_COUNT
        set_store(
            cluster, is_unavailable=not is_refusing, is_refusing=is_refusing
        )
        await asyncio.sleep(NOTICED_S)
        own = holds.registry.key_map.owned_by('m1')[0].keys
        assert not await holds.async_is_store_available()
        async with asyncio.timeout(DECIDED_S):
            assert not await holds.async_transfer([own], 'm2')
        assert cluster.held_keys() == KEY_COUNT
        set_store(cluster, is_unavailable=False, is_refusing=False)
        await asyncio.sleep(2)
        assert await holds.async_is_store_available()
        assert await holds.async_transfer([own], 'm2')
        await cluster.async_stop()

    run(scenario())


def test_a_store_outage_is_noticed_before_the_release() -> None:
    """The store fails between two renewals, just before the process stops."""

    async def scenario() -> None:
        cluster = FakeCluster()
        holds = [cluster.add(name) for name in NAMES][0].holds
        await asyncio.sleep(SETTLED_S)
        set_store(cluster, is_unavailable=True, is_refusing=False)
        await asyncio.sleep(1)
        assert not await holds.async_is_store_available()
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())
