"""Malformed rows of other writers among those of members."""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantaingrade.holds.const import HOLD_S, LEASE_S, MAX_LEASE_LEFT_S
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
from tests.holds.fakes import SERVICE, FakeCluster
from tests.malformed import ANY_JSON, BAD_BODIES, mutated
from tests.virtual import run

SETTLED_S = 6.0
POLL_S = 0.05
NAMES = ('m1', 'm2', 'm3')
MEMBER = Member('m9', SERVICE, 'a', '10.0.0.9:7380', 'b9')
GOOD_ROW = json.loads(encode_member_row(MemberRow(MEMBER, 900.0, 'b9.1')))
GOOD_MAP = json.loads(encode_map(split_evenly(NAMES)))
WISH = DesiredState(TargetState.DRAIN, 'c1', 'ada')
GOOD_WISH = json.loads(encode_desired_state(WISH))


def put(cluster: FakeCluster, name: RowName, body: bytes) -> None:
    """Write a row without conditions, as another writer does."""
    cluster.rows.version += 1
    cluster.rows.row_by_name[name] = Row(name, body, cluster.rows.version)


async def watch(cluster: FakeCluster, seconds: float) -> None:
    for _ in range(int(seconds / POLL_S)):
        await asyncio.sleep(POLL_S)
        assert not cluster.overlaps()


async def start_cluster() -> FakeCluster:
    cluster = FakeCluster()
    for name in NAMES:
        cluster.add(name)
    await asyncio.sleep(SETTLED_S)
    assert cluster.held_keys() == KEY_COUNT
    return cluster


@given(mutated(GOOD_ROW))
def test_a_decoded_member_row_is_valid(fields) -> None:
    try:
        row = decode_member_row('m9', json.dumps(fields).encode(), 3)
    except UnreadableLeaseError:
        return
    assert row.until_s >= 0
    assert row.until_s.__class__ is float
    assert row.accepts_keys.__class__ is bool
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
def test_a_member_row_with_wrong_types_is_rejected(name, wrong) -> None:
    """``"false"`` must not be read as true, nor ``NaN`` as a lease's end."""
    body = json.dumps({**GOOD_ROW, name: wrong}).encode()
    with pytest.raises(UnreadableLeaseError):
        decode_member_row('m9', body, 3)


@given(mutated(GOOD_MAP), st.lists(st.lists(ANY_JSON, max_size=4), max_size=3))
def test_a_decoded_map_is_valid(fields, odd) -> None:
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
def test_invalid_ranges_are_rejected(ranges) -> None:
    """Index -1 must not select the last owner.

    Nor may a range have a fence above the map's own, because fences of later
    changes would not exceed it.
    """
    fields = {'fence': 5, 'owners': ['m1', 'm2'], 'ranges': ranges}
    with pytest.raises(UnreadableMapError):
        decode_map(json.dumps(fields).encode(), 1)


@given(mutated(GOOD_WISH))
def test_a_decoded_wish_is_valid(fields) -> None:
    name = desired_state_row(SERVICE, 'm1')
    try:
        wish = decode_desired_state(Row(name, json.dumps(fields).encode(), 3))
    except UnreadableDesiredStateError:
        return
    assert wish.command_id
    assert wish.state in set(TargetState)


@pytest.mark.parametrize('body', BAD_BODIES)
def test_malformed_bytes_are_rejected(body: bytes) -> None:
    with pytest.raises(UnreadableLeaseError):
        decode_member_row('m9', body, 1)
    with pytest.raises(UnreadableMapError):
        decode_map(body, 1)
    with pytest.raises(UnreadableDesiredStateError):
        decode_desired_state(Row(desired_state_row(SERVICE, 'm1'), body, 1))


BODIES = st.sampled_from(BAD_BODIES) | mutated(GOOD_ROW).map(
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
def test_malformed_rows_do_not_hide_valid_ones(rows) -> None:
    """Another writer's rows lie between those of members, the map and wishes.

    Every valid row must be read as before, keys stay served, and no task ends.
    """

    async def scenario() -> None:
        cluster = await start_cluster()
        before = cluster.members[0].maps.find(SERVICE)
        for key, body in rows:
            put(cluster, RowName(TABLE, SERVICE, key), body)
        for member in cluster.members:
            registry = member.holds.registry
            assert await registry.async_read()
            assert set(NAMES) <= set(registry.rows.by_name)
            assert member.maps.find(SERVICE).version == before.version
        await watch(cluster, 2 * HOLD_S)
        assert cluster.held_keys() == KEY_COUNT
        for member in cluster.members:
            assert not member.task.done()
        await cluster.async_stop()

    run(scenario())


@pytest.mark.parametrize('body', [b'\xff', b'[]', b'{"until":"9"}'])
def test_a_member_whose_row_is_overwritten_keeps_its_keys(body) -> None:
    """Another writer overwrites the row of a live member.

    The member must still be able to renew and to write its row again, and
    others must not treat it as absent while its lease runs.
    """

    async def scenario() -> None:
        cluster = await start_cluster()
        put(cluster, member_row(SERVICE, 'm1'), body)
        await watch(cluster, LEASE_S + 10)
        assert cluster.held_keys() == KEY_COUNT
        assert cluster.members[1].maps.find(SERVICE).owned_by('m1')
        registry = cluster.members[0].holds.registry
        assert registry.is_joined
        await cluster.async_stop()

    run(scenario())


def test_takeovers_continue_despite_an_unreadable_row() -> None:
    """Two members are lost, and another writer overwrites the row of one.

    If that member counted as absent, the store would refuse the takeover of the
    other one's keys as well. Its own are taken over when no lease can run any
    more.
    """

    async def scenario() -> None:
        cluster = await start_cluster()
        for member in cluster.members[:2]:
            cluster.kill(member)
            member.server.is_up = False
        await asyncio.sleep(1)
        put(cluster, member_row(SERVICE, 'm1'), b'[]')
        await watch(cluster, LEASE_S + 6)
        key_map = cluster.members[2].maps.find(SERVICE)
        assert not key_map.owned_by('m2')
        await watch(cluster, MAX_LEASE_LEFT_S + 6)
        key_map = cluster.members[2].maps.find(SERVICE)
        assert key_map.owners() == {'m3'}
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


def test_no_keys_are_assigned_to_a_member_with_an_endless_lease() -> None:
    """Another writer adds a row with a lease that ends in the far future.

    It belongs to no server, so keys that a takeover assigned to it would be
    unserved.
    """

    async def scenario() -> None:
        cluster = await start_cluster()
        body = encode_member_row(MemberRow(MEMBER, 1e9, 'b9.1'))
        put(cluster, member_row(SERVICE, 'm9'), body)
        cluster.kill(cluster.members[0])
        cluster.members[0].server.is_up = False
        await watch(cluster, LEASE_S + 10)
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


def test_an_overwritten_map_causes_no_endless_retries() -> None:
    """Another writer overwrites the map, and a server restarts.

    New fences cannot be stored then, and each attempt fails at once. Attempts
    must not follow without a pause, and grants of the known map continue.
    """

    async def scenario() -> None:
        cluster = await start_cluster()
        put(cluster, map_row(SERVICE), b'nonsense')
        overwritten = cluster.rows.version
        member = cluster.members[0]
        before = member.store.commits
        cluster.restart_server(member)
        await watch(cluster, 4.0)
        assert member.store.commits - before < 40
        assert not member.task.done()
        assert member.maps.find(SERVICE).version < overwritten
        await cluster.async_stop()

    run(scenario())
