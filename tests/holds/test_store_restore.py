"""The store is restored from a snapshot that lacks the last seconds."""

import asyncio
import random

import pytest

from plantaingrade.holds.changes import CommitResult
from plantaingrade.holds.const import ESTIMATE_SLACK_S, LEASE_S
from plantaingrade.holds.plans import plan_lease_migration, plan_new_fences
from plantaingrade.keyspace.entity import KEY_COUNT, KeyRange
from tests.holds.fakes import FakeCluster, Fault, RowsSnapshot
from tests.holds.test_coordinator import (
    POLL_S,
    clear_faults,
    inject_fault,
    wait_until_settled,
    watch,
)
from tests.holds.test_promises import measure_unheld
from tests.virtual import run

NAMES = ('m1', 'm2', 'm3', 'm4')
OUTAGE_S = 2.6
SHORT_OUTAGE_S = 0.3
# Time in which waiting runs join and one of them divides the keys.
FIRST_MAP_S = 3.0
# Probability that a step takes a snapshot, or restores one.
SNAPSHOT_SHARE = 0.3
RESTORE_SHARE = 0.15
# Longest time for which the keys of a lost member may be unheld: its lease by
# the lost rows, a scan, and a grant.
RECOVERY_S = LEASE_S + 12.0


async def start(seed: int = 0) -> FakeCluster:
    cluster = FakeCluster(seed)
    for name in NAMES:
        cluster.add(name)
    await wait_until_settled(cluster)
    return cluster


async def restore_store(
    cluster: FakeCluster, snapshot: RowsSnapshot, outage_s: float = OUTAGE_S
) -> None:
    """Make the store unavailable, and then restore a snapshot."""
    cluster.set_store_unavailable(True)
    await watch(cluster, outage_s)
    cluster.rows.restore(snapshot)
    cluster.set_store_unavailable(False)


async def lose_latest_writes(
    cluster: FakeCluster, lost_s: float, outage_s: float
) -> None:
    """Restore the store without the writes of the last seconds."""
    snapshot = cluster.rows.snapshot()
    await watch(cluster, lost_s)
    await restore_store(cluster, snapshot, outage_s)


async def assert_recovered(cluster: FakeCluster) -> None:
    """Check that all keys are held once all earlier leases have ended."""
    await watch(cluster, RECOVERY_S)
    assert cluster.held_keys() == KEY_COUNT
    assert not cluster.stale_fence_grants()
    await cluster.async_stop()


@pytest.mark.parametrize('lost_s', [0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0])
@pytest.mark.parametrize('outage_s', [0.0, 0.3, 1.0, OUTAGE_S])
def test_no_takeover_uses_leases_of_a_snapshot(lost_s, outage_s) -> None:
    """Members renewed in the lost seconds, and still hold their keys."""

    async def scenario() -> None:
        cluster = await start()
        await lose_latest_writes(cluster, lost_s, outage_s)
        await assert_recovered(cluster)

    run(scenario())


@pytest.mark.parametrize('outage_s', [0.3, OUTAGE_S, 6.0])
def test_keys_stay_held_while_leases_are_migrated(outage_s) -> None:
    """Otherwise keys would be refused everywhere for the time of a lease."""

    async def scenario() -> None:
        cluster = await start()
        await lose_latest_writes(cluster, 4.0, outage_s)
        assert not await measure_unheld(cluster, RECOVERY_S)
        await cluster.async_stop()

    run(scenario())


def test_keys_of_an_unanswered_transfer_have_one_owner() -> None:
    """The change was applied, and the target read it, before it was lost."""

    async def scenario() -> None:
        cluster = await start()
        snapshot = cluster.rows.snapshot()
        source, target = cluster.members[:2]
        key = source.maps.find('cases').owned_by(source.name)[0].keys.first
        source.store.faults.append(Fault.LOST)
        cluster.move(source, KeyRange(key, key), target.name)
        await watch(cluster, 0.3)
        await target.holds.registry.async_read()
        cluster.rows.restore(snapshot)
        await watch(cluster, RECOVERY_S)
        assert target.holds.is_held(key)
        assert not source.holds.is_held(key)
        await assert_recovered(cluster)

    run(scenario())


def test_a_run_that_starts_in_a_new_epoch_waits_for_leases() -> None:
    """The last run transferred keys in the lost seconds and was killed."""

    async def scenario() -> None:
        cluster = await start()
        snapshot = cluster.rows.snapshot()
        source, target = cluster.members[:2]
        given = source.maps.find('cases').owned_by(source.name)[0].keys
        cluster.move(source, given, target.name)
        await watch(cluster, 1.0)
        cluster.kill(source)
        target.store.is_unavailable = True
        cluster.rows.restore(snapshot)
        cluster.restart(source)
        await watch(cluster, 3.0)
        assert target.holds.is_held(given.first)
        target.store.is_unavailable = False
        await assert_recovered(cluster)

    run(scenario())


def test_fences_of_the_lost_seconds_are_not_reused() -> None:
    """Keys moved in the lost seconds, and later all processes restart."""

    async def scenario() -> None:
        cluster = await start()
        snapshot = cluster.rows.snapshot()
        source, target = cluster.members[:2]
        key = source.maps.find('cases').owned_by(source.name)[0].keys.first
        for _ in range(4):
            cluster.move(source, KeyRange(key, key), target.name)
            await watch(cluster, 0.5)
            cluster.move(target, KeyRange(key, key), source.name)
            await watch(cluster, 0.5)
        await restore_store(cluster, snapshot)
        await watch(cluster, RECOVERY_S)
        for member in list(cluster.members):
            cluster.kill(member)
            cluster.restart_server_unannounced(member)
            cluster.restart(member)
        await assert_recovered(cluster)

    run(scenario())


def test_an_owner_killed_in_the_lost_seconds_is_replaced() -> None:
    """An instance is lost for good in the seconds that the snapshot lacks."""

    async def scenario() -> None:
        cluster = await start()
        snapshot = cluster.rows.snapshot()
        await watch(cluster, 1.0)
        cluster.kill(cluster.members[0])
        cluster.members[0].server.is_up = False
        await watch(cluster, 1.0)
        await restore_store(cluster, snapshot)
        await assert_recovered(cluster)

    run(scenario())


@pytest.mark.parametrize('cut_off_s', [6.0, 10.0, 30.0])
@pytest.mark.parametrize('since_renewal_s', [0.2, 0.7, 1.2, 1.7, 2.2, 2.7])
def test_keys_of_a_member_refused_by_the_store_have_one_owner(
    cut_off_s, since_renewal_s
) -> None:
    """One member reaches the store long after the others know the new epoch."""

    async def scenario() -> None:
        cluster = await start()
        snapshot = cluster.rows.snapshot()
        await watch(cluster, 2.0 + since_renewal_s)
        cluster.set_store_unavailable(True)
        await watch(cluster, SHORT_OUTAGE_S)
        cluster.rows.restore(snapshot)
        for member in cluster.members[1:]:
            member.store.is_unavailable = False
        await watch(cluster, cut_off_s)
        cluster.members[0].store.is_unavailable = False
        await assert_recovered(cluster)

    run(scenario())


@pytest.mark.parametrize('gap_s', [0.005, 0.015, 0.025, 0.035, 0.1, 0.5, 2.0])
@pytest.mark.parametrize('is_killed', [False, True])
def test_repeated_restores_give_keys_one_owner(gap_s, is_killed) -> None:
    """The store is restored again while leases are migrated or runs join."""

    async def scenario() -> None:
        cluster = await start()
        snapshot = cluster.rows.snapshot()
        await watch(cluster, 3.0)
        for _ in range(5):
            cluster.rows.restore(snapshot)
            if is_killed:
                cluster.kill(cluster.members[0])
                cluster.restart(cluster.members[0])
            await watch(cluster, POLL_S * round(gap_s / POLL_S))
            await asyncio.sleep(gap_s % POLL_S)
        await watch(cluster, 2 * RECOVERY_S)
        await assert_recovered(cluster)

    run(scenario())


def test_keys_are_divided_anew_if_no_lease_was_migrated() -> None:
    """All instances lose power while the store is unavailable."""

    async def scenario() -> None:
        cluster = await start()
        snapshot = cluster.rows.snapshot()
        await watch(cluster, 2.0)
        cluster.set_store_unavailable(True)
        for member in cluster.members:
            cluster.kill(member)
            cluster.restart_server_unannounced(member)
        await watch(cluster, OUTAGE_S)
        cluster.rows.restore(snapshot)
        for member in list(cluster.members):
            cluster.restart(member)
        cluster.set_store_unavailable(False)
        unheld_s = await measure_unheld(cluster, RECOVERY_S)
        assert unheld_s < LEASE_S + ESTIMATE_SLACK_S + FIRST_MAP_S
        owners = {member.server.instance for member in cluster.members}
        assert {
            each.instance for each in cluster.servers if each.holds
        } == owners
        await assert_recovered(cluster)

    run(scenario())


def test_a_snapshot_older_than_the_first_map_divides_no_keys_twice() -> None:
    """The store loses everything: rows, leases and the first map."""

    async def scenario() -> None:
        cluster = FakeCluster()
        snapshot = cluster.rows.snapshot()
        for name in NAMES:
            cluster.add(name)
        await watch(cluster, 5.0)
        await restore_store(cluster, snapshot)
        await assert_recovered(cluster)

    run(scenario())


@pytest.mark.parametrize('seed', range(60))
def test_no_mix_of_faults_and_restores_gives_keys_two_owners(seed) -> None:
    """Random faults as in the other tests, and repeated restores.

    In about a third of the runs, the only faults besides restores are kills and
    restarts.
    """

    async def scenario() -> None:
        rng = random.Random(seed)
        cluster = await start(seed)
        cluster.lost_message_share = 0.3
        kinds = rng.choice((3, 8, 11))
        snapshots = [cluster.rows.snapshot()]
        for _ in range(40):
            if rng.random() <= SNAPSHOT_SHARE:
                snapshots = [*snapshots[-2:], cluster.rows.snapshot()]
            if rng.random() <= RESTORE_SHARE:
                cluster.rows.restore(rng.choice(snapshots))
                snapshots = [cluster.rows.snapshot()]
            inject_fault(cluster, rng, kinds=kinds)
            await watch(cluster, rng.uniform(0.1, 2.0))
            assert not cluster.stale_fence_grants()
        clear_faults(cluster)
        await watch(cluster, 2 * RECOVERY_S)
        assert not cluster.stale_fence_grants()
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


def test_no_member_joins_an_epoch_whose_rows_were_not_read() -> None:
    """The store is restored again while a member waits to write its row."""

    async def scenario() -> list[CommitResult]:
        cluster = await start()
        snapshot = cluster.rows.snapshot()
        holder, starter = cluster.members[:2]
        cluster.kill(holder)
        cluster.kill(starter)
        restarted = cluster.restart(starter)
        cluster.kill(restarted)
        cluster.rows.restore(snapshot)
        for member in (holder, restarted):
            member.store.epochs.record(cluster.rows.epoch)
        holder.holds.registry.advance_epoch()
        outcomes = [
            await holder.holds.registry.async_commit(
                plan_lease_migration, LEASE_S, migrates=True
            ),
            await restarted.holds.registry.async_commit(
                plan_new_fences, LEASE_S, joins=True
            ),
        ]
        await cluster.async_stop()
        return outcomes

    assert run(scenario()) == [CommitResult.FAILED, CommitResult.FAILED]


def test_no_member_waits_for_leases_of_a_store_without_epochs() -> None:
    """Processes start at any time, and lost members are replaced as usual."""

    async def scenario() -> None:
        cluster = FakeCluster()
        cluster.rows.reports_epochs = False
        await watch(cluster, 1.0)
        members = [cluster.add(name) for name in NAMES]
        await wait_until_settled(cluster)
        cluster.kill(members[0])
        cluster.restart(members[0])
        await watch(cluster, 1.0)
        assert cluster.held_keys() == KEY_COUNT
        cluster.kill(members[1])
        members[1].server.is_up = False
        assert await measure_unheld(cluster, LEASE_S) < LEASE_S - 1.0
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())
