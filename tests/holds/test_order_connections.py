"""Keys stay held however a server handles the connections of its orders."""

import asyncio

import pytest

from tests.holds.connections import (
    OrderEndpoint,
    connect,
    held_share,
    interleave_ranges,
)
from tests.holds.fakes import SERVICE, FakeCluster
from tests.virtual import run

SETTLED_S = 6.0
WATCHED_S = 10.0
MIN_HELD = 0.95
# At most one change of the map per server in five seconds.
MAX_CHANGES = 2
# Maximum orders per second and range to a server that rejects them.
MAX_ORDERS = 3
REJECTED_S = 3


async def start(
    ranges: int, close_share: float = 0.0
) -> tuple[FakeCluster, OrderEndpoint]:
    cluster = FakeCluster()
    endpoint = connect(cluster.add('m1'))
    endpoint.close_share = close_share
    cluster.add('m2')
    await asyncio.sleep(SETTLED_S)
    await interleave_ranges(cluster, ranges)
    await asyncio.sleep(SETTLED_S)
    return cluster, endpoint


@pytest.mark.parametrize('ranges', [1, 4, 40])
def test_a_server_that_closes_after_each_answer_keeps_its_keys(ranges) -> None:
    """A server answers every order with ``Connection: close``.

    If each answer ended the session, the keys would get new fences each second,
    and of all ranges only the first would be granted before the session is
    over.
    """

    async def scenario() -> tuple[float, int]:
        cluster, _ = await start(ranges, close_share=1.0)
        member = cluster.members[0]
        fence = member.maps.find(SERVICE).fence
        share = await held_share(member, WATCHED_S)
        changes = member.maps.find(SERVICE).fence - fence
        await cluster.async_stop()
        return share, changes

    share, changes = run(scenario())
    assert share >= MIN_HELD
    assert changes <= MAX_CHANGES


def test_a_server_that_closes_occasionally_keeps_its_keys() -> None:
    """One response in ten has ``Connection: close``; there are 40 ranges.

    Both connections of the session may close before another has joined. If that
    ended the session, all ranges would be unheld until they have new fences.
    """

    async def scenario() -> tuple[float, int]:
        cluster, endpoint = await start(40)
        endpoint.close_share = 0.1
        member = cluster.members[0]
        fence = member.maps.find(SERVICE).fence
        share = await held_share(member, WATCHED_S)
        changes = member.maps.find(SERVICE).fence - fence
        await cluster.async_stop()
        return share, changes

    share, changes = run(scenario())
    assert share >= MIN_HELD
    assert changes <= MAX_CHANGES


def test_a_closed_connection_costs_no_keys_during_a_store_outage() -> None:
    """A server closes each connection after its answer during an outage.

    New fences are not possible without the store. If they were needed, nothing
    would be granted, and the keys would be unheld after three seconds.
    """

    async def scenario() -> float:
        cluster, _ = await start(1, close_share=1.0)
        for member in cluster.members:
            member.store.is_unavailable = True
        share = await held_share(cluster.members[0], 9.0)
        await cluster.async_stop()
        return share

    assert run(scenario()) >= MIN_HELD


@pytest.mark.parametrize('status', [400, 503])
@pytest.mark.parametrize('ranges', [1, 40])
def test_rejected_grants_are_not_sent_again_at_once(ranges, status) -> None:
    """A server rejects every grant at once, with 400 or 503.

    Retried every 0.1 s by a timer per range, the grants would keep the process
    and its server busy: 10 orders a second for one range, 2,000 for 40.
    """

    async def scenario() -> int:
        cluster, endpoint = await start(ranges)
        endpoint.status = status
        before = endpoint.grants
        await asyncio.sleep(REJECTED_S)
        sent = endpoint.grants - before
        await cluster.async_stop()
        return sent

    assert run(scenario()) <= MAX_ORDERS * REJECTED_S * ranges


@pytest.mark.parametrize('order_s', [0.1, 0.2])
def test_slow_orders_renew_the_last_range_as_well(order_s) -> None:
    """A server that is nearly full takes 0.1 s for a grant; 40 ranges.

    A session has two connections, so 20 grants fit into a second. If each round
    began with the first range, the last ones would never be granted.
    """

    async def scenario() -> float:
        cluster, endpoint = await start(40)
        endpoint.order_s = order_s
        await asyncio.sleep(4.0)
        share = await held_share(cluster.members[0], WATCHED_S)
        await cluster.async_stop()
        return share

    assert run(scenario()) >= MIN_HELD


@pytest.mark.parametrize('silent_s', [0.5, 2.0, 5.0])
def test_keys_of_a_temporarily_silent_server_are_transferred(silent_s) -> None:
    """A server was silent for a while when its keys are transferred.

    Unanswered grants end the session, and the next one needs new fences. If
    ranges in a transfer got them too, the transfer would find another fence
    than the one released, and fail each time.
    """

    async def scenario() -> list[bool]:
        cluster = FakeCluster()
        source, _ = (cluster.add(name) for name in ('m1', 'm2'))
        await asyncio.sleep(SETTLED_S)
        source.server.is_silent = True
        await asyncio.sleep(silent_s)
        outcomes = []
        for _ in range(3):
            owned = source.maps.find(SERVICE).owned_by('m1')
            keys = [each.keys for each in owned]
            outcomes.append(await source.holds.async_transfer(keys, 'm2'))
            await asyncio.sleep(0.25)
        await cluster.async_stop()
        return outcomes

    assert any(run(scenario()))


@pytest.mark.parametrize('is_unavailable', [False, True])
def test_a_new_incarnation_holds_nothing_before_its_first_grant(
    is_unavailable,
) -> None:
    """A server restarts and its first heartbeat has arrived.

    If the holds of the earlier incarnation still counted, requests would be
    sent to the new one and refused, instead of waiting some milliseconds for
    its grant.
    """

    async def scenario() -> float:
        cluster = FakeCluster()
        member, _ = (cluster.add(name) for name in ('m1', 'm2'))
        await asyncio.sleep(SETTLED_S)
        key = member.maps.find(SERVICE).owned_by('m1')[0].keys.first
        for each in cluster.members:
            each.store.is_unavailable = is_unavailable
        cluster.restart_server(member)
        wrong_s = 0.0
        for _ in range(300):
            now = asyncio.get_running_loop().time()
            is_there = any(key in hold.keys for hold in member.server.held(now))
            wrong_s += 0.01 * (member.holds.is_held(key) and not is_there)
            await asyncio.sleep(0.01)
        await cluster.async_stop()
        return wrong_s

    assert run(scenario()) == 0
