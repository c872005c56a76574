"""Requests for keys of a process that has just started."""

import asyncio

from plantaingrade.holds.const import GRANT_PERIOD_S
from plantaingrade.keyspace.entity import KEY_COUNT
from tests.holds.fakes import FakeCluster, FakeServer
from tests.virtual import run

NAMES = ('m1', 'm2')
SETTLED_S = 6.0
POLL_S = 0.001
POLLED_S = 0.2


async def async_wait_for_grant(server: FakeServer) -> None:
    """Wait until the server's keys are granted anew; the next are due later."""
    before = server.holds[0].until
    while server.holds[0].until == before:
        await asyncio.sleep(POLL_S)


def test_requests_wait_for_keys_before_the_first_session() -> None:
    """A process restarts beside its server and receives requests at once.

    It knows its keys from the map some milliseconds before it has a connection
    to its server. Requests must not be refused as if the server were
    unreachable.
    """

    async def scenario() -> None:
        cluster = FakeCluster()
        member = [cluster.add(name) for name in NAMES][0]
        await asyncio.sleep(SETTLED_S)
        key = member.maps.find('cases').owned_by('m1')[0].keys.first
        cluster.kill(member)
        holds = cluster.restart(member).holds
        refused = 0
        for _ in range(int(POLLED_S / POLL_S)):
            await asyncio.sleep(POLL_S)
            refused += holds.is_overdue(key)
        assert not refused
        assert holds.is_held(key)
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


def test_keys_of_an_unreachable_server_are_refused_at_once() -> None:
    async def scenario() -> None:
        cluster = FakeCluster()
        member = [cluster.add(name) for name in NAMES][0]
        await asyncio.sleep(SETTLED_S)
        key = member.maps.find('cases').owned_by('m1')[0].keys.first
        await async_wait_for_grant(member.server)
        await asyncio.sleep(GRANT_PERIOD_S - POLLED_S / 2)
        member.server.is_up = False
        await asyncio.sleep(POLLED_S)
        assert member.holds.is_overdue(key)
        await cluster.async_stop()

    run(scenario())
