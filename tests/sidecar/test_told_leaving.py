"""Whole processes beside servers that say in their answers that they leave."""

import asyncio

import pytest

from tests.sidecar.harness import KEYED, PLAIN, Harness, Node, run_scenario
from tests.sidecar.test_named_limit import async_load

# The platform's time from the answer until nothing may reach the server.
DRAIN_S = 2.0
ASKED = 60
PATH_BY_SERVICE = {KEYED: '/cases/1', PLAIN: '/letters/1'}


async def async_tell(harness: Harness, leaving: Node, entry: Node) -> float:
    """Let a server tell that it leaves; return when an entry was told."""
    leaving.server.notices.is_leaving = True
    path = PATH_BY_SERVICE[leaving.plan.service]
    replies = await asyncio.gather(
        *(
            harness.async_ask(entry, path, f'told{number}', number * 997)
            for number in range(ASKED)
        )
    )
    assert any(b'server-leaving' in reply.headers for reply in replies)
    return harness.clock.now()


def arrived_since(node: Node, since: float) -> int:
    return sum(each >= since for each in node.server.arrivals)


@pytest.mark.parametrize(('net', 'service'), [(211, KEYED), (212, PLAIN)])
def test_server_that_told_leaving_gets_nothing_after_its_drain(
    net, service
) -> None:
    """A server that reports no drain gets work until it ends."""

    async def scenario(harness: Harness) -> None:
        leaving, _, other = harness.nodes
        told_at = await async_tell(harness, leaving, other)
        statuses = await async_load(
            harness, other, PATH_BY_SERVICE[service], DRAIN_S + 2
        )
        assert not arrived_since(leaving, told_at + DRAIN_S)
        assert statuses[200] >= 0.9 * sum(statuses.values())

    run_scenario(net, (service, service, KEYED), scenario)


def test_restarted_process_keeps_to_what_its_server_told() -> None:
    """A process starts again, sees a ready heartbeat, and sends once more."""

    async def scenario(harness: Harness) -> None:
        leaving, other = harness.nodes
        told_at = await async_tell(harness, leaving, other)
        load = asyncio.create_task(
            async_load(harness, other, PATH_BY_SERVICE[PLAIN], DRAIN_S + 3)
        )
        leaving.server.faults.is_health_silent = True
        for _ in range(2):
            await harness.async_kill(leaving)
            await asyncio.sleep(0.1)
            await harness.async_start(leaving)
            await asyncio.sleep(DRAIN_S)
        await load
        assert not arrived_since(leaving, told_at + DRAIN_S)

    run_scenario(213, (PLAIN, KEYED), scenario)


def test_next_incarnation_gets_work_again() -> None:
    """What a server told ends with it, also at the processes that were told."""

    async def scenario(harness: Harness) -> None:
        leaving, other = harness.nodes
        await async_tell(harness, leaving, other)
        await leaving.server.async_crash()
        await harness.async_start_server(leaving)
        await harness.async_until(lambda: leaving.process._tracker.accepts_work)
        await async_load(harness, other, PATH_BY_SERVICE[PLAIN], 2.0)
        assert arrived_since(leaving, 0)

    run_scenario(214, (PLAIN, KEYED), scenario)
