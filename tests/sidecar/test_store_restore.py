"""Whole processes around a store that is restored from a snapshot."""

import asyncio

import pytest

from plantaingrade.holds.registry import Registry
from plantaingrade.keyspace.entity import KeyRange
from standins.shared_store import Outage, RowsSnapshot
from tests.sidecar.harness import KEYED, PLAIN, Harness, Node
from tests.sidecar.test_operators import send_statement

OUTAGE_S = 0.4
# Rounds of key moves whose rows are lost by the restore.
MOVE_ROUNDS = 3


async def restore_snapshot(
    harness: Harness, copy: RowsSnapshot, *hosts: str
) -> None:
    """Restore the store after an outage, then make it fail some hosts."""
    harness.store.faults.outage = Outage.BUSY
    await asyncio.sleep(OUTAGE_S)
    harness.store.rows.restore(copy)
    harness.store.faults.outage = Outage.NONE
    harness.store.faults.outage_by_host = dict.fromkeys(hosts, Outage.RESET)


def registry_of(node: Node) -> Registry:
    return node.process.holds.registry


def has_migrated(node: Node) -> bool:
    """Return whether a member has joined the second epoch."""
    registry = registry_of(node)
    is_in = registry.is_joined and not registry.is_migrating
    return is_in and registry.epochs.current == 1


async def move_back_and_forth(harness: Harness) -> None:
    first, second = harness.nodes[:2]
    for _ in range(MOVE_ROUNDS):
        for giver, target in ((first, second), (second, first)):
            key_map = registry_of(giver).key_map
            owned = key_map.owned_by(f'{KEYED}@{giver.settings.ip}')
            key = owned[0].keys.first
            await giver.process.holds.async_transfer(
                [KeyRange(key, key)], f'{KEYED}@{target.settings.ip}'
            )


def run_scenario(net: int, scenario) -> None:
    async def run() -> None:
        async with Harness(net) as harness:
            for service in (KEYED, KEYED, KEYED, PLAIN):
                await harness.async_add(service)
            await harness.async_until_served()
            await scenario(harness)
            assert not harness.record.two_owners

    asyncio.run(run())


def test_owners_migrate_their_leases_to_a_new_epoch() -> None:
    async def scenario(harness: Harness) -> None:
        keyed = harness.nodes[:3]
        copy = harness.store.rows.snapshot()
        await move_back_and_forth(harness)
        fence = max(registry_of(each).key_map.fence for each in keyed)
        await restore_snapshot(harness, copy)
        await harness.async_until(
            lambda: all(has_migrated(each) for each in keyed)
        )
        assert harness.is_every_key_held()
        await move_back_and_forth(harness)
        assert registry_of(keyed[0]).key_map.fence > fence
        reply = await harness.async_ask(harness.nodes[3], '/cases/1', 'r1', 5)
        assert reply.status == 200

    run_scenario(86, scenario)


def test_member_without_the_store_learns_a_new_epoch_from_peers() -> None:
    async def scenario(harness: Harness) -> None:
        keyed = harness.nodes[:3]
        copy = harness.store.rows.snapshot()
        await move_back_and_forth(harness)
        await restore_snapshot(harness, copy, keyed[0].settings.ip)
        await harness.async_until(
            lambda: all(has_migrated(each) for each in keyed)
        )
        assert harness.is_every_key_held()

    run_scenario(87, scenario)


def test_new_process_finds_members_whose_rows_were_lost() -> None:
    """A process started after the restore finds members only by rows."""

    async def scenario(harness: Harness) -> None:
        keyed = harness.nodes[:3]
        await restore_snapshot(harness, RowsSnapshot())
        harness.configure(1)
        await harness.async_until(
            lambda: all(has_migrated(each) for each in keyed)
        )
        new = await harness.async_add(PLAIN)
        await harness.async_until(lambda: new.process.is_ready)
        reply = await harness.async_ask(new, '/cases/1', 'r1', 5)
        assert reply.status == 200

    run_scenario(88, scenario)


@pytest.mark.parametrize('command', ['drain', 'retire'])
def test_operator_request_survives_a_restore(command) -> None:
    """The request was accepted after the snapshot had been taken."""

    async def scenario(harness: Harness) -> None:
        first, second = harness.nodes[:2]
        host = first.settings.ip
        copy = harness.store.rows.snapshot()
        status, answer = await send_statement(
            harness, second, f'{command} {host}', 'c1'
        )
        assert status == 200, answer
        await restore_snapshot(harness, copy)
        await harness.async_until(lambda: has_migrated(second))
        await harness.async_until(lambda: has_desired_state(harness, first))
        await harness.async_until(lambda: not first.process.holds.owns_keys)
        _, again = await send_statement(
            harness, second, f'{command} {host}', 'c1'
        )
        assert again['outcome'] == 'alreadydone'

    run_scenario(89, scenario)


def has_desired_state(harness: Harness, node: Node) -> bool:
    member = f'{KEYED}@{node.settings.ip}'
    name = ('plantaingrade', KEYED, f'wish/{member}')
    return harness.store.rows.body_of(name) is not None
