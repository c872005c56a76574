"""Several ranges pass on at the same moment.

A busy patch leaves its server in four moves at once. Each was a change of the
map of its own, one after the other, and each waited with its keys unheld for
the row that 60 other members change too.
"""

import asyncio
from itertools import pairwise

from plantaingrade.holds.joint_transfers import (
    RangeTransfer,
    is_transferred,
    plan_transfers,
)
from plantaingrade.keyspace.entity import KEY_COUNT, KeyMap, KeyRange
from tests.holds.fakes import CALL_S, FakeCluster, Fault
from tests.virtual import run

NAMES = ('m1', 'm2', 'm3')
PIECES = 4
PIECE = 100
SETTLED_S = 6.0
WATCHED_S = 12.0
LOOK_S = 0.05


def pieces_of(world: FakeCluster) -> list[KeyRange]:
    first = world.members[0].maps.find('cases').owned_by('m1')[0].keys.first
    return [
        KeyRange(first + place * PIECE, first + (place + 1) * PIECE - 1)
        for place in range(PIECES)
    ]


async def async_start() -> FakeCluster:
    world = FakeCluster()
    for name in NAMES:
        world.add(name)
    await asyncio.sleep(SETTLED_S)
    assert world.held_keys() == KEY_COUNT
    return world


async def async_watch(world: FakeCluster, seconds: float) -> None:
    for _ in range(int(seconds / LOOK_S)):
        await asyncio.sleep(LOOK_S)
        assert not world.overlaps()


def owners(world: FakeCluster, pieces: list[KeyRange]) -> list[str]:
    key_map = world.members[0].maps.find('cases')
    return [key_map.find(piece.first).owner for piece in pieces]


def test_ranges_that_are_ready_together_pass_by_two_changes() -> None:
    """The first goes at once, the others by one change after it."""

    async def story() -> None:
        world = await async_start()
        pieces = pieces_of(world)
        versions = set()
        world.members[0].maps.listen(
            lambda _, key_map: versions.add(key_map.version)
        )
        gives = [
            world.members[0].holds.async_transfer([piece], NAMES[1 + place % 2])
            for place, piece in enumerate(pieces)
        ]
        assert all(await asyncio.gather(*gives))
        assert owners(world, pieces) == ['m2', 'm3', 'm2', 'm3']
        assert len(versions) <= 2
        await async_watch(world, WATCHED_S)
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


def test_lost_and_late_answers_leave_each_range_with_one_owner() -> None:
    async def story(fault: Fault) -> None:
        world = await async_start()
        pieces = pieces_of(world)
        faults = world.members[0].store.faults
        faults.extend([fault, fault])
        for place, piece in enumerate(pieces):
            world.move(world.members[0], piece, NAMES[1 + place % 2])
        await async_watch(world, WATCHED_S)
        assert world.held_keys() == KEY_COUNT
        moves = [move.result() for move in world.members[0].moves]
        is_given = [owner != 'm1' for owner in owners(world, pieces)]
        assert moves == is_given
        await world.async_stop()

    for fault in (Fault.LOST, Fault.LATE, Fault.BUSY):
        run(story(fault))


def test_a_cancelled_change_leaves_the_other_ranges_to_the_next() -> None:
    """The move that changes the map for all ends on the way."""

    async def story() -> None:
        world = await async_start()
        pieces = pieces_of(world)
        for place, piece in enumerate(pieces):
            world.move(world.members[0], piece, NAMES[1 + place % 2])
        moves = world.members[0].moves
        while not moves[0].done():
            await asyncio.sleep(CALL_S / 2)
        moves[1].cancel()
        await async_watch(world, WATCHED_S)
        assert all(move.result() for move in moves[2:])
        assert owners(world, pieces[2:]) == ['m2', 'm3']
        await world.async_stop()

    run(story())


def test_a_range_that_stands_no_more_leaves_the_others_as_they_are() -> None:
    async def story() -> None:
        world = await async_start()
        registry = world.members[0].holds.registry
        own = registry.key_map.owned_by('m1')[0]
        other = registry.key_map.owned_by('m2')[0]
        transfers = [RangeTransfer((own,), 'm3'), RangeTransfer((other,), 'm3')]
        change = plan_transfers(registry, transfers)
        assert is_transferred(change.key_map, transfers[0], 'm1')
        assert change.key_map.find(other.keys.first).owner == 'm2'
        assert plan_transfers(registry, transfers[1:]) is None
        assert not is_transferred(KeyMap((), 0), transfers[0], 'm1')
        await world.async_stop()

    run(story())


def test_each_change_is_told_from_the_map_that_it_was_made_from() -> None:
    """Members move keys at once, so that each change is made several times.

    Told from the map at its first try, a change could not be applied by those
    who knew a newer one, and all of them fetched the whole map.
    """

    async def story() -> None:
        world = await async_start()
        for place in world.members:
            place.relay.told.clear()
            own = place.maps.find('cases').owned_by(place.name)[0].keys
            keys = KeyRange(own.first, own.first + PIECE)
            target = 'm1' if place.name == 'm2' else 'm2'
            world.move(place, keys, target)
        await async_watch(world, WATCHED_S)
        told = sorted(
            (after.version, before.version)
            for place in world.members
            for before, after in place.relay.told
        )
        assert len(told) == len(NAMES)
        for (version, _), (_, base) in pairwise(told):
            assert base == version
        await world.async_stop()

    run(story())
