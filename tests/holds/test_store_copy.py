"""The store comes back from a copy that lacks the last seconds."""

import asyncio
import random

import pytest

from plantaingrade.holds.changes import CommitResult
from plantaingrade.holds.const import ESTIMATE_SLACK_S, LEASE_S
from plantaingrade.holds.plans import plan_lease_migration, plan_new_fences
from plantaingrade.keyspace.entity import KEY_COUNT, KeyRange
from tests.holds.fakes import FakeCluster, Fault, RowsCopy
from tests.holds.test_coordinator import (
    LOOK_S,
    calm,
    disturb,
    settled,
    watch,
)
from tests.holds.test_promises import unheld_for
from tests.virtual import run

NAMES = ('m1', 'm2', 'm3', 'm4')
AWAY_S = 2.6
SHORT_AWAY_S = 0.3
# Time for runs that waited to join, and for one of them to divide the keys.
FIRST_MAP_S = 3.0
# Shares of the steps of a mix in which a copy is made, or comes back.
COPY_SHARE = 0.3
RETURN_SHARE = 0.15
# Longest time for which nobody may hold the keys of a lost member: its lease by
# the lost rows, the look for it, and a grant.
REST_S = LEASE_S + 12.0


async def start(seed: int = 0) -> FakeCluster:
    world = FakeCluster(seed)
    for name in NAMES:
        world.add(name)
    await settled(world)
    return world


async def come_back(
    world: FakeCluster, copy: RowsCopy, away_s: float = AWAY_S
) -> None:
    """Have the store go away, and come back from a copy."""
    world.set_store_away(True)
    await watch(world, away_s)
    world.rows.come_back(copy)
    world.set_store_away(False)


async def lose_last(world: FakeCluster, lost_s: float, away_s: float) -> None:
    """Have the store come back without the last seconds."""
    copy = world.rows.copy()
    await watch(world, lost_s)
    await come_back(world, copy, away_s)


async def assert_whole(world: FakeCluster) -> None:
    """Let all earlier leases end; then every key has one rightful owner."""
    await watch(world, REST_S)
    assert world.held_keys() == KEY_COUNT
    assert not world.fences_not_above()
    await world.async_stop()


@pytest.mark.parametrize('lost_s', [0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0])
@pytest.mark.parametrize('away_s', [0.0, 0.3, 1.0, AWAY_S])
def test_no_takeover_goes_by_leases_of_a_copy(lost_s, away_s) -> None:
    """Members renewed in the seconds that are lost, and still hold keys."""

    async def story() -> None:
        world = await start()
        await lose_last(world, lost_s, away_s)
        await assert_whole(world)

    run(story())


@pytest.mark.parametrize('away_s', [0.3, AWAY_S, 6.0])
def test_keys_stay_held_while_leases_are_carried_over(away_s) -> None:
    """Resting keys would be refused everywhere for a whole lease."""

    async def story() -> None:
        world = await start()
        await lose_last(world, 4.0, away_s)
        assert not await unheld_for(world, REST_S)
        await world.async_stop()

    run(story())


def test_keys_given_by_a_change_without_answer_go_to_one_owner() -> None:
    """It was done, and read by its receiver, before the rows were lost."""

    async def story() -> None:
        world = await start()
        copy = world.rows.copy()
        source, target = world.members[:2]
        key = source.maps.find('cases').owned_by(source.name)[0].keys.first
        source.store.faults.append(Fault.LOST)
        world.move(source, KeyRange(key, key), target.name)
        await watch(world, 0.3)
        await target.holds.registry.async_read()
        world.rows.come_back(copy)
        await watch(world, REST_S)
        assert target.holds.is_held(key)
        assert not source.holds.is_held(key)
        await assert_whole(world)

    run(story())


def test_a_run_that_starts_in_a_new_epoch_waits_for_leases() -> None:
    """Its last run was killed in the lost seconds, after it gave keys away."""

    async def story() -> None:
        world = await start()
        copy = world.rows.copy()
        source, target = world.members[:2]
        given = source.maps.find('cases').owned_by(source.name)[0].keys
        world.move(source, given, target.name)
        await watch(world, 1.0)
        world.kill(source)
        target.store.is_away = True
        world.rows.come_back(copy)
        world.restart(source)
        await watch(world, 3.0)
        assert target.holds.is_held(given.first)
        target.store.is_away = False
        await assert_whole(world)

    run(story())


def test_a_fence_of_the_lost_seconds_is_not_given_out_again() -> None:
    """Keys moved in the lost seconds, and all processes start anew later."""

    async def story() -> None:
        world = await start()
        copy = world.rows.copy()
        source, target = world.members[:2]
        key = source.maps.find('cases').owned_by(source.name)[0].keys.first
        for _ in range(4):
            world.move(source, KeyRange(key, key), target.name)
            await watch(world, 0.5)
            world.move(target, KeyRange(key, key), source.name)
            await watch(world, 0.5)
        await come_back(world, copy)
        await watch(world, REST_S)
        for place in list(world.members):
            world.kill(place)
            world.replace_server(place)
            world.restart(place)
        await assert_whole(world)

    run(story())


def test_an_owner_killed_in_the_lost_seconds_is_replaced() -> None:
    """An instance is lost for good in the seconds that the copy lacks."""

    async def story() -> None:
        world = await start()
        copy = world.rows.copy()
        await watch(world, 1.0)
        world.kill(world.members[0])
        world.members[0].server.is_up = False
        await watch(world, 1.0)
        await come_back(world, copy)
        await assert_whole(world)

    run(story())


@pytest.mark.parametrize('turned_away_s', [6.0, 10.0, 30.0])
@pytest.mark.parametrize('since_renewal_s', [0.2, 0.7, 1.2, 1.7, 2.2, 2.7])
def test_a_member_that_the_store_turns_away_owns_alone(
    turned_away_s, since_renewal_s
) -> None:
    """It reaches the store long after the others, who know of the epoch."""

    async def story() -> None:
        world = await start()
        copy = world.rows.copy()
        await watch(world, 2.0 + since_renewal_s)
        world.set_store_away(True)
        await watch(world, SHORT_AWAY_S)
        world.rows.come_back(copy)
        for place in world.members[1:]:
            place.store.is_away = False
        await watch(world, turned_away_s)
        world.members[0].store.is_away = False
        await assert_whole(world)

    run(story())


@pytest.mark.parametrize('gap_s', [0.005, 0.015, 0.025, 0.035, 0.1, 0.5, 2.0])
@pytest.mark.parametrize('is_killed', [False, True])
def test_copies_that_follow_each_other_give_keys_one_owner(
    gap_s, is_killed
) -> None:
    """The store goes back again while leases are carried over or runs join."""

    async def story() -> None:
        world = await start()
        copy = world.rows.copy()
        await watch(world, 3.0)
        for _ in range(5):
            world.rows.come_back(copy)
            if is_killed:
                world.kill(world.members[0])
                world.restart(world.members[0])
            await watch(world, LOOK_S * round(gap_s / LOOK_S))
            await asyncio.sleep(gap_s % LOOK_S)
        await watch(world, 2 * REST_S)
        await assert_whole(world)

    run(story())


def test_keys_are_divided_anew_if_nobody_carried_a_lease_over() -> None:
    """All instances lose power while the store is away."""

    async def story() -> None:
        world = await start()
        copy = world.rows.copy()
        await watch(world, 2.0)
        world.set_store_away(True)
        for place in world.members:
            world.kill(place)
            world.replace_server(place)
        await watch(world, AWAY_S)
        world.rows.come_back(copy)
        for place in list(world.members):
            world.restart(place)
        world.set_store_away(False)
        unheld_s = await unheld_for(world, REST_S)
        assert unheld_s < LEASE_S + ESTIMATE_SLACK_S + FIRST_MAP_S
        owners = {place.server.instance for place in world.members}
        assert {each.instance for each in world.servers if each.holds} == owners
        await assert_whole(world)

    run(story())


def test_a_copy_from_before_the_first_map_divides_no_keys_twice() -> None:
    """The store loses the start of all: rows, leases and the first map."""

    async def story() -> None:
        world = FakeCluster()
        copy = world.rows.copy()
        for name in NAMES:
            world.add(name)
        await watch(world, 5.0)
        await come_back(world, copy)
        await assert_whole(world)

    run(story())


@pytest.mark.parametrize('seed', range(60))
def test_no_mix_of_faults_and_copies_gives_keys_two_owners(seed) -> None:
    """All faults of the other mixes, and the store goes back again and again.

    In two thirds of the runs moves, kills and copies are all there is.
    """

    async def story() -> None:
        chooser = random.Random(seed)
        world = await start(seed)
        world.lost_word_share = 0.3
        kinds = chooser.choice((3, 8, 11))
        copies = [world.rows.copy()]
        for _ in range(40):
            if chooser.random() <= COPY_SHARE:
                copies = [*copies[-2:], world.rows.copy()]
            if chooser.random() <= RETURN_SHARE:
                world.rows.come_back(chooser.choice(copies))
                copies = [world.rows.copy()]
            disturb(world, chooser, kinds=kinds)
            await watch(world, chooser.uniform(0.1, 2.0))
            assert not world.fences_not_above()
        calm(world)
        await watch(world, 2 * REST_S)
        assert not world.fences_not_above()
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


def test_nothing_joins_an_epoch_whose_rows_were_not_read() -> None:
    """The store goes back once more while a member waits to write its row."""

    async def story() -> list[CommitResult]:
        world = await start()
        copy = world.rows.copy()
        holder, starter = world.members[:2]
        world.kill(holder)
        world.kill(starter)
        again = world.restart(starter)
        world.kill(again)
        world.rows.come_back(copy)
        for place in (holder, again):
            place.store.epochs.note(world.rows.epoch)
        holder.holds.registry.advance_epoch()
        outcomes = [
            await holder.holds.registry.async_commit(
                plan_lease_migration, LEASE_S, migrates=True
            ),
            await again.holds.registry.async_commit(
                plan_new_fences, LEASE_S, joins=True
            ),
        ]
        await world.async_stop()
        return outcomes

    assert run(story()) == [CommitResult.FAILED, CommitResult.FAILED]


def test_nobody_waits_for_leases_of_a_store_that_tells_no_epochs() -> None:
    """Processes start at any time, and lost members are replaced as ever."""

    async def story() -> None:
        world = FakeCluster()
        world.rows.tells_epochs = False
        await watch(world, 1.0)
        places = [world.add(name) for name in NAMES]
        await settled(world)
        world.kill(places[0])
        world.restart(places[0])
        await watch(world, 1.0)
        assert world.held_keys() == KEY_COUNT
        world.kill(places[1])
        places[1].server.is_up = False
        assert await unheld_for(world, LEASE_S) < LEASE_S - 1.0
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())
