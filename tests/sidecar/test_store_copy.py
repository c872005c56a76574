"""Processes around a store that comes back from a copy."""

import asyncio

import pytest

from plantaingrade.holds.registry import Registry
from plantaingrade.keyspace.entity import KeyRange
from standins.shared_store import Outage, RowsCopy
from tests.sidecar.harness import KEYED, PLAIN, Node, Harness
from tests.sidecar.test_operators import say

AWAY_S = 0.4
# Times at which keys move in the seconds that are lost.
MOVES = 3


async def lose(rig: Harness, copy: RowsCopy, *hosts: str) -> None:
    """Have the store be away and come back; it then fails some hosts."""
    rig.store.faults.outage = Outage.BUSY
    await asyncio.sleep(AWAY_S)
    rig.store.rows.come_back(copy)
    rig.store.faults.outage = Outage.NONE
    rig.store.faults.outage_by_host = dict.fromkeys(hosts, Outage.RESET)


def registry_of(place: Node) -> Registry:
    return place.process.holds.registry


def has_carried(place: Node) -> bool:
    """Tell whether a member has joined the epoch after the first."""
    registry = registry_of(place)
    is_in = registry.is_joined and not registry.is_migrating
    return is_in and registry.epochs.current == 1


async def move_to_and_fro(rig: Harness) -> None:
    first, second = rig.nodes[:2]
    for _ in range(MOVES):
        for giver, target in ((first, second), (second, first)):
            key_map = registry_of(giver).key_map
            owned = key_map.owned_by(f'{KEYED}@{giver.settings.ip}')
            key = owned[0].keys.first
            await giver.process.holds.async_transfer(
                [KeyRange(key, key)], f'{KEYED}@{target.settings.ip}'
            )


def play(net: int, story) -> None:
    async def run() -> None:
        async with Harness(net) as rig:
            for service in (KEYED, KEYED, KEYED, PLAIN):
                await rig.async_add(service)
            await rig.async_until_served()
            await story(rig)
            assert not rig.record.two_owners

    asyncio.run(run())


def test_owners_carry_their_leases_into_a_new_epoch() -> None:
    async def story(rig: Harness) -> None:
        keyed = rig.nodes[:3]
        copy = rig.store.rows.copy()
        await move_to_and_fro(rig)
        fence = max(registry_of(each).key_map.fence for each in keyed)
        await lose(rig, copy)
        await rig.async_until(lambda: all(has_carried(each) for each in keyed))
        assert rig.is_every_key_held()
        await move_to_and_fro(rig)
        assert registry_of(keyed[0]).key_map.fence > fence
        reply = await rig.async_ask(rig.nodes[3], '/cases/1', 'r1', 5)
        assert reply.status == 200

    play(86, story)


def test_an_instance_that_the_store_fails_hears_of_an_epoch_from_others() -> (
    None
):
    async def story(rig: Harness) -> None:
        keyed = rig.nodes[:3]
        copy = rig.store.rows.copy()
        await move_to_and_fro(rig)
        await lose(rig, copy, keyed[0].settings.ip)
        await rig.async_until(lambda: all(has_carried(each) for each in keyed))
        assert rig.is_every_key_held()

    play(87, story)


def test_a_new_process_finds_members_whose_rows_were_lost() -> None:
    """A process that starts after the return knows of others by rows alone."""

    async def story(rig: Harness) -> None:
        keyed = rig.nodes[:3]
        await lose(rig, RowsCopy())
        rig.configure(1)
        await rig.async_until(lambda: all(has_carried(each) for each in keyed))
        new = await rig.async_add(PLAIN)
        await rig.async_until(lambda: new.process.is_ready)
        reply = await rig.async_ask(new, '/cases/1', 'r1', 5)
        assert reply.status == 200

    play(88, story)


@pytest.mark.parametrize('given', ['drain', 'retire'])
def test_a_wish_given_in_the_lost_seconds_still_stands(given) -> None:
    """An operator was told that it is accepted."""

    async def story(rig: Harness) -> None:
        first, second = rig.nodes[:2]
        host = first.settings.ip
        copy = rig.store.rows.copy()
        status, answer = await say(rig, second, f'{given} {host}', 'c1')
        assert status == 200, answer
        await lose(rig, copy)
        await rig.async_until(lambda: has_carried(second))
        await rig.async_until(lambda: has_wish(rig, first))
        await rig.async_until(lambda: not first.process.holds.owns_keys)
        _, again = await say(rig, second, f'{given} {host}', 'c1')
        assert again['outcome'] == 'alreadydone'

    play(89, story)


def has_wish(rig: Harness, place: Node) -> bool:
    member = f'{KEYED}@{place.settings.ip}'
    name = ('plantaingrade', KEYED, f'wish/{member}')
    return rig.store.rows.body_of(name) is not None
