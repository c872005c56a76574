"""Several ranges are transferred at the same time.

If a busy range leaves its server in four moves at once and each changes the map
by itself, each waits with its keys unheld for the map's row, which 60 other
members change too.
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
POLL_S = 0.05


def pieces_of(cluster: FakeCluster) -> list[KeyRange]:
    first = cluster.members[0].maps.find('cases').owned_by('m1')[0].keys.first
    return [
        KeyRange(first + index * PIECE, first + (index + 1) * PIECE - 1)
        for index in range(PIECES)
    ]


async def async_start() -> FakeCluster:
    cluster = FakeCluster()
    for name in NAMES:
        cluster.add(name)
    await asyncio.sleep(SETTLED_S)
    assert cluster.held_keys() == KEY_COUNT
    return cluster


async def async_watch(cluster: FakeCluster, seconds: float) -> None:
    for _ in range(int(seconds / POLL_S)):
        await asyncio.sleep(POLL_S)
        assert not cluster.overlaps()


def owners(cluster: FakeCluster, pieces: list[KeyRange]) -> list[str]:
    key_map = cluster.members[0].maps.find('cases')
    return [key_map.find(piece.first).owner for piece in pieces]


def test_ranges_that_are_ready_together_take_two_changes() -> None:
    """The first is committed at once, the others by one change after it."""

    async def scenario() -> None:
        cluster = await async_start()
        pieces = pieces_of(cluster)
        versions = set()
        cluster.members[0].maps.listen(
            lambda _, key_map: versions.add(key_map.version)
        )
        gives = [
            cluster.members[0].holds.async_transfer(
                [piece], NAMES[1 + index % 2]
            )
            for index, piece in enumerate(pieces)
        ]
        assert all(await asyncio.gather(*gives))
        assert owners(cluster, pieces) == ['m2', 'm3', 'm2', 'm3']
        assert len(versions) <= 2
        await async_watch(cluster, WATCHED_S)
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


def test_lost_and_late_answers_leave_each_range_with_one_owner() -> None:
    async def scenario(fault: Fault) -> None:
        cluster = await async_start()
        pieces = pieces_of(cluster)
        faults = cluster.members[0].store.faults
        faults.extend([fault, fault])
        for index, piece in enumerate(pieces):
            cluster.move(cluster.members[0], piece, NAMES[1 + index % 2])
        await async_watch(cluster, WATCHED_S)
        assert cluster.held_keys() == KEY_COUNT
        moves = [move.result() for move in cluster.members[0].moves]
        is_given = [owner != 'm1' for owner in owners(cluster, pieces)]
        assert moves == is_given
        await cluster.async_stop()

    for fault in (Fault.LOST, Fault.LATE, Fault.BUSY):
        run(scenario(fault))


def test_a_cancelled_change_leaves_the_other_ranges_to_the_next() -> None:
    """The move that changes the map for all is cancelled meanwhile."""

    async def scenario() -> None:
        cluster = await async_start()
        pieces = pieces_of(cluster)
        for index, piece in enumerate(pieces):
            cluster.move(cluster.members[0], piece, NAMES[1 + index % 2])
        moves = cluster.members[0].moves
        while not moves[0].done():
            await asyncio.sleep(CALL_S / 2)
        moves[1].cancel()
        await async_watch(cluster, WATCHED_S)
        assert all(move.result() for move in moves[2:])
        assert owners(cluster, pieces[2:]) == ['m2', 'm3']
        await cluster.async_stop()

    run(scenario())


def test_a_changed_range_does_not_affect_other_transfers() -> None:
    async def scenario() -> None:
        cluster = await async_start()
        registry = cluster.members[0].holds.registry
        own = registry.key_map.owned_by('m1')[0]
        other = registry.key_map.owned_by('m2')[0]
        transfers = [RangeTransfer((own,), 'm3'), RangeTransfer((other,), 'm3')]
        change = plan_transfers(registry, transfers)
        assert is_transferred(change.key_map, transfers[0], 'm1')
        assert change.key_map.find(other.keys.first).owner == 'm2'
        assert plan_transfers(registry, transfers[1:]) is None
        assert not is_transferred(KeyMap((), 0), transfers[0], 'm1')
        await cluster.async_stop()

    run(scenario())


def test_each_change_is_broadcast_with_its_base_map() -> None:
    """Members move keys at once, so that each change is tried several times.

    If a change were broadcast with the map of its first try as its base,
    members that know a newer map could not apply it and would all read the
    whole map.
    """

    async def scenario() -> None:
        cluster = await async_start()
        for member in cluster.members:
            member.relay.broadcasts.clear()
            own = member.maps.find('cases').owned_by(member.name)[0].keys
            keys = KeyRange(own.first, own.first + PIECE)
            target = 'm1' if member.name == 'm2' else 'm2'
            cluster.move(member, keys, target)
        await async_watch(cluster, WATCHED_S)
        broadcasts = sorted(
            (after.version, before.version)
            for member in cluster.members
            for before, after in member.relay.broadcasts
        )
        assert len(broadcasts) == len(NAMES)
        for (version, _), (_, base) in pairwise(broadcasts):
            assert base == version
        await cluster.async_stop()

    run(scenario())
