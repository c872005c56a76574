"""Keys stay held whatever a server does with the connections of its orders."""

import asyncio

import pytest

from tests.holds.connections import (
    OrderedServer,
    connect,
    held_share,
    interleave,
)
from tests.holds.fakes import SERVICE, FakeCluster
from tests.virtual import run

SETTLED_S = 6.0
WATCHED_S = 10.0
MIN_HELD = 0.95
# A change of the map in five seconds and server, at most.
MAX_CHANGES = 2
# Orders a second and range, at most, to a server that rejects them.
MAX_ORDERS = 3
REJECTED_S = 3


async def start(
    ranges: int, close_share: float = 0.0
) -> tuple[FakeCluster, OrderedServer]:
    world = FakeCluster()
    ordered = connect(world.add('m1'))
    ordered.close_share = close_share
    world.add('m2')
    await asyncio.sleep(SETTLED_S)
    await interleave(world, ranges)
    await asyncio.sleep(SETTLED_S)
    return world, ordered


@pytest.mark.parametrize('ranges', [1, 4, 40])
def test_a_server_that_closes_after_each_answer_keeps_its_keys(ranges) -> None:
    """A server answers every order with ``Connection: close``.

    Each answer ends the session, so each second the keys get new fences, and
    of all ranges only the first is granted before the session is over. Users
    are refused for all other keys though their server works.
    """

    async def story() -> tuple[float, int]:
        world, _ = await start(ranges, close_share=1.0)
        place = world.members[0]
        fence = place.maps.find(SERVICE).fence
        share = await held_share(place, WATCHED_S)
        changes = place.maps.find(SERVICE).fence - fence
        await world.async_stop()
        return share, changes

    share, changes = run(story())
    assert share >= MIN_HELD
    assert changes <= MAX_CHANGES


def test_a_server_that_closes_now_and_then_keeps_its_keys() -> None:
    """One answer in ten bears ``Connection: close``; there are 40 ranges.

    Both connections of the session close before a further one has joined.
    All ranges get new fences and are held by nobody until they are granted
    anew, again and again.
    """

    async def story() -> tuple[float, int]:
        world, ordered = await start(40)
        ordered.close_share = 0.1
        place = world.members[0]
        fence = place.maps.find(SERVICE).fence
        share = await held_share(place, WATCHED_S)
        changes = place.maps.find(SERVICE).fence - fence
        await world.async_stop()
        return share, changes

    share, changes = run(story())
    assert share >= MIN_HELD
    assert changes <= MAX_CHANGES


def test_a_closed_connection_costs_no_keys_while_the_store_is_away() -> None:
    """A server closes each connection after its answer; the store is away.

    New fences cannot be had, so nothing is granted any more, and the keys
    are held by nobody after three seconds of an outage that holds outlast.
    """

    async def story() -> float:
        world, _ = await start(1, close_share=1.0)
        for place in world.members:
            place.store.is_away = True
        share = await held_share(world.members[0], 9.0)
        await world.async_stop()
        return share

    assert run(story()) >= MIN_HELD


@pytest.mark.parametrize('status', [400, 503])
@pytest.mark.parametrize('ranges', [1, 40])
def test_rejected_grants_are_not_sent_again_at_once(ranges, status) -> None:
    """A server rejects every grant at once, with 400 or 503.

    Each rejection has all ranges looked at again 0.1 s later, each range by a
    timer of its own, without a pause that grows: the process and its server
    spend their time on orders (10 a second for one range, 2,000 for 40).
    """

    async def story() -> int:
        world, ordered = await start(ranges)
        ordered.status = status
        before = ordered.grants
        await asyncio.sleep(REJECTED_S)
        sent = ordered.grants - before
        await world.async_stop()
        return sent

    assert run(story()) <= MAX_ORDERS * REJECTED_S * ranges


@pytest.mark.parametrize('order_s', [0.1, 0.2])
def test_slow_orders_renew_the_last_range_as_well(order_s) -> None:
    """A server that is nearly full takes 0.1 s for a grant; 40 ranges.

    A session has two connections, so 20 grants pass in a second. The others
    give up, and the next round begins with the first range again: the last
    ones are never granted, and their callers are refused for good.
    """

    async def story() -> float:
        world, ordered = await start(40)
        ordered.order_s = order_s
        await asyncio.sleep(4.0)
        share = await held_share(world.members[0], WATCHED_S)
        await world.async_stop()
        return share

    assert run(story()) >= MIN_HELD


@pytest.mark.parametrize('silent_s', [0.5, 2.0, 5.0])
def test_keys_of_a_server_silent_for_a_while_pass_on(silent_s) -> None:
    """A server has been silent for a while when its keys are given away.

    The grants without answer end the session, and the next session gives all
    keys new fences, those too that are being given away. The transfer finds
    another fence than it released, and is given up; so is the next one.
    """

    async def story() -> list[bool]:
        world = FakeCluster()
        source, _ = (world.add(name) for name in ('m1', 'm2'))
        await asyncio.sleep(SETTLED_S)
        source.server.is_silent = True
        await asyncio.sleep(silent_s)
        outcomes = []
        for _ in range(3):
            owned = source.maps.find(SERVICE).owned_by('m1')
            keys = [each.keys for each in owned]
            outcomes.append(await source.holds.async_transfer(keys, 'm2'))
            await asyncio.sleep(0.25)
        await world.async_stop()
        return outcomes

    assert any(run(story()))


@pytest.mark.parametrize('is_away', [False, True])
def test_a_new_life_that_named_itself_holds_nothing_yet(is_away) -> None:
    """A server starts again and its first heartbeat is here.

    The holds of the life before still count, until new fences are there.
    Callers' requests go to the new life, which holds no keys and turns each
    one away, in place of waiting some milliseconds for its grant.
    """

    async def story() -> float:
        world = FakeCluster()
        place, _ = (world.add(name) for name in ('m1', 'm2'))
        await asyncio.sleep(SETTLED_S)
        key = place.maps.find(SERVICE).owned_by('m1')[0].keys.first
        for each in world.members:
            each.store.is_away = is_away
        world.renew_server(place)
        wrong_s = 0.0
        for _ in range(300):
            now = asyncio.get_running_loop().time()
            is_there = any(key in hold.keys for hold in place.server.held(now))
            wrong_s += 0.01 * (place.holds.is_held(key) and not is_there)
            await asyncio.sleep(0.01)
        await world.async_stop()
        return wrong_s

    assert run(story()) == 0
