"""Rows of other writers among those of members."""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantaingrade.holds.const import HOLD_S, LEASE_S, UNREADABLE_S
from plantaingrade.holds.lease import (
    MemberRow,
    UnreadableLeaseError,
    decode_member_row,
    encode_member_row,
)
from plantaingrade.holds.rows import TABLE, map_row, member_row
from plantaingrade.keyspace.assign import is_complete, split_evenly
from plantaingrade.keyspace.codec import (
    UnreadableMapError,
    decode_map,
    encode_map,
)
from plantaingrade.keyspace.entity import KEY_COUNT
from plantaingrade.operators.desired_state import (
    DesiredState,
    TargetState,
    UnreadableDesiredStateError,
    decode_desired_state,
    desired_state_row,
    encode_desired_state,
)
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import Row, RowName
from tests.holds.fakes import SERVICE, World
from tests.strangers import ANY_JSON, BAD_BODIES, changed
from tests.virtual import run

SETTLED_S = 6.0
LOOK_S = 0.05
NAMES = ('m1', 'm2', 'm3')
MEMBER = Member('m9', SERVICE, 'a', '10.0.0.9:7380', 'b9')
GOOD_ROW = json.loads(encode_member_row(MemberRow(MEMBER, 900.0, 'b9.1')))
GOOD_MAP = json.loads(encode_map(split_evenly(NAMES)))
WISH = DesiredState(TargetState.DRAIN, 'c1', 'ada')
GOOD_WISH = json.loads(encode_desired_state(WISH))


def put(world: World, name: RowName, body: bytes) -> None:
    """Write a row as another writer does, past every condition."""
    world.rows.version += 1
    world.rows.row_by_name[name] = Row(name, body, world.rows.version)


async def watch(world: World, seconds: float) -> None:
    for _ in range(int(seconds / LOOK_S)):
        await asyncio.sleep(LOOK_S)
        assert not world.overlaps()


async def settled() -> World:
    world = World()
    for name in NAMES:
        world.add(name)
    await asyncio.sleep(SETTLED_S)
    assert world.held_keys() == KEY_COUNT
    return world


@given(changed(GOOD_ROW))
def test_no_member_row_does_harm(fields) -> None:
    try:
        row = decode_member_row('m9', json.dumps(fields).encode(), 3)
    except UnreadableLeaseError:
        return
    assert row.until_s >= 0
    assert row.until_s.__class__ is float
    assert row.takes_keys.__class__ is bool
    assert row.member.boot


@pytest.mark.parametrize(
    ('name', 'wrong'),
    [
        ('until', '900'),
        ('until', True),
        ('until', float('nan')),
        ('until', float('inf')),
        ('until', -1),
        ('takes', 'false'),
        ('takes', 0),
        ('zone', None),
        ('address', 5),
        ('boot', ['b']),
    ],
)
def test_a_member_row_of_other_types_is_not_taken(name, wrong) -> None:
    """``"false"`` was taken for true, and ``NaN`` for the end of a lease."""
    body = json.dumps({**GOOD_ROW, name: wrong}).encode()
    with pytest.raises(UnreadableLeaseError):
        decode_member_row('m9', body, 3)


@given(changed(GOOD_MAP), st.lists(st.lists(ANY_JSON, max_size=4), max_size=3))
def test_no_map_does_harm(fields, odd) -> None:
    if isinstance(fields.get('ranges'), list):
        fields = {**fields, 'ranges': fields['ranges'] + odd}
    try:
        key_map = decode_map(json.dumps(fields).encode(), 3)
    except UnreadableMapError:
        return
    assert is_complete(key_map)
    for each in key_map.assignments:
        assert 0 <= each.fence <= key_map.fence
        assert len(each.keys) > 0


@pytest.mark.parametrize(
    'ranges',
    [
        [[0, -1, 1]],
        [[0, True, 1]],
        [[0, 0, 9]],
        [[0, 0, 1], [0, 1, 1]],
        [[0, 0, 1], [9, 0, 1], [5, 1, 1]],
        [[0, 0, 1.0]],
        [[False, 0, 1]],
        [[0, 0]],
        [],
    ],
)
def test_ranges_that_are_none_are_not_taken(ranges) -> None:
    """The place -1 was taken for the last owner, and a fence above the map's
    own for one that later changes are above of.
    """
    fields = {'fence': 5, 'owners': ['m1', 'm2'], 'ranges': ranges}
    with pytest.raises(UnreadableMapError):
        decode_map(json.dumps(fields).encode(), 1)


@given(changed(GOOD_WISH))
def test_no_wish_does_harm(fields) -> None:
    name = desired_state_row(SERVICE, 'm1')
    try:
        wish = decode_desired_state(Row(name, json.dumps(fields).encode(), 3))
    except UnreadableDesiredStateError:
        return
    assert wish.command_id
    assert wish.state in set(TargetState)


@pytest.mark.parametrize('body', BAD_BODIES)
def test_bytes_that_are_no_row(body: bytes) -> None:
    with pytest.raises(UnreadableLeaseError):
        decode_member_row('m9', body, 1)
    with pytest.raises(UnreadableMapError):
        decode_map(body, 1)
    with pytest.raises(UnreadableDesiredStateError):
        decode_desired_state(Row(desired_state_row(SERVICE, 'm1'), body, 1))


BODIES = st.sampled_from(BAD_BODIES) | changed(GOOD_ROW).map(
    lambda fields: json.dumps(fields).encode()
)
KEYS = st.sampled_from(
    (
        'member/',
        'member/m1/x',
        'member/\x00',
        'member/zz',
        'map/',
        'maps',
        'a',
        'wish/',
        'wish/m1',
        'zz',
    )
)


@settings(max_examples=25, deadline=None)
@given(st.lists(st.tuples(KEYS, BODIES), min_size=1, max_size=6))
def test_bad_rows_between_good_ones_hide_none(rows) -> None:
    """Another writer's rows lie between those of members, map and wishes.

    Every good row is read as before, the keys stay served, and no task ends.
    """

    async def story() -> None:
        world = await settled()
        before = world.places[0].maps.find(SERVICE)
        for key, body in rows:
            put(world, RowName(TABLE, SERVICE, key), body)
        for place in world.places:
            registry = place.holds.registry
            assert await registry.async_read()
            assert set(NAMES) <= set(registry.rows.by_name)
            assert place.maps.find(SERVICE).version == before.version
        await watch(world, 2 * HOLD_S)
        assert world.held_keys() == KEY_COUNT
        for place in world.places:
            assert not place.task.done()
        await world.async_stop()

    run(story())


@pytest.mark.parametrize('body', [b'\xff', b'[]', b'{"until":"9"}'])
def test_a_member_whose_row_is_overwritten_keeps_its_keys(body) -> None:
    """Another writer overwrites the row of a member that lives.

    The member could never renew or join again, since its row was there and
    could not be read. The others took it for absent, though its lease ran.
    It writes its row again, and nobody takes its keys.
    """

    async def story() -> None:
        world = await settled()
        put(world, member_row(SERVICE, 'm1'), body)
        await watch(world, LEASE_S + 10)
        assert world.held_keys() == KEY_COUNT
        assert world.places[1].maps.find(SERVICE).owned_by('m1')
        registry = world.places[0].holds.registry
        assert registry.is_joined
        await world.async_stop()

    run(story())


def test_takeovers_go_on_beside_a_row_that_cannot_be_read() -> None:
    """Two members are lost; the row of one is overwritten by another writer.

    It passed for absent, the store refused the change that expected no row,
    and the keys of the other one were not taken over either. Its own are
    taken over when no lease can run any more.
    """

    async def story() -> None:
        world = await settled()
        for place in world.places[:2]:
            world.kill(place)
            place.server.is_up = False
        await asyncio.sleep(1)
        put(world, member_row(SERVICE, 'm1'), b'[]')
        await watch(world, LEASE_S + 6)
        key_map = world.places[2].maps.find(SERVICE)
        assert not key_map.owned_by('m2')
        await watch(world, UNREADABLE_S + 6)
        key_map = world.places[2].maps.find(SERVICE)
        assert key_map.owners() == {'m3'}
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


def test_no_keys_go_to_a_member_with_an_endless_lease() -> None:
    """Another writer puts a row there whose lease ends in a far future.

    It names no server, and takeovers gave it keys that nobody served then.
    """

    async def story() -> None:
        world = await settled()
        body = encode_member_row(MemberRow(MEMBER, 1e9, 'b9.1'))
        put(world, member_row(SERVICE, 'm9'), body)
        world.kill(world.places[0])
        world.places[0].server.is_up = False
        await watch(world, LEASE_S + 10)
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


def test_a_map_that_is_overwritten_makes_nobody_call_without_end() -> None:
    """Another writer overwrites the map, and a server begins a new life.

    New fences cannot be taken then. Each try failed at once for one row, and
    the next followed without a pause. Grants of the map as it was go on.
    """

    async def story() -> None:
        world = await settled()
        put(world, map_row(SERVICE), b'nonsense')
        overwritten = world.rows.version
        place = world.places[0]
        before = place.store.commits
        world.renew_server(place)
        await watch(world, 4.0)
        assert place.store.commits - before < 40
        assert not place.task.done()
        assert place.maps.find(SERVICE).version < overwritten
        await world.async_stop()

    run(story())
