"""Work that comes late in the grace period of a process that stops."""

import asyncio
from dataclasses import replace

import pytest

from plantaingrade.http.channel import ChannelClosedError
from standins.shared_store import Outage
from tests.sidecar.harness import KEYED, PLAIN, Harness, Node, run_scenario

DEADLINE_MS = 8000
PATH_BY_SERVICE = {KEYED: '/cases/1', PLAIN: '/letters/1'}
CUT_OFF = 0
# Work that the grace period has time for only if it begins early.
LONG_WORK_S = 3.6
FIRST_LATE_S = 1.8
LATE_PAUSE_S = 0.1
LATE_REQUESTS = 4


def route_with_long_limit(service: str) -> dict:
    return {
        'host': 'x.example',
        'prefix': '/cases/' if service == KEYED else '/letters/',
        'type': 'unsafe',
        'timeout': f'{DEADLINE_MS}ms',
        'targetLatency': '1200ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
    }


async def configure_long_limits(harness: Harness) -> None:
    harness.configure(
        2,
        keyed=route_with_long_limit(KEYED),
        plain=route_with_long_limit(PLAIN),
    )
    await harness.async_until(
        lambda: all(node.process.config_version == 2 for node in harness.nodes)
    )


def set_work(harness: Harness, work_s: float) -> None:
    for node in harness.nodes:
        node.server.plan = replace(node.server.plan, work_s=work_s)


async def stop(harness: Harness, node: Node) -> None:
    await node.process.async_shut_down()
    await harness.async_kill(node)


async def ask_status(
    harness: Harness, node: Node, path: str, request_id: str, key: int
) -> tuple[str, int]:
    """Return a request and its status, or ``CUT_OFF``; check a refusal."""
    try:
        reply = await harness.async_ask(
            node, path, request_id, key, DEADLINE_MS
        )
    except ChannelClosedError:
        return request_id, CUT_OFF
    if reply.status == 503:
        assert float(dict(reply.headers)[b'retry-after']) > 0
    return request_id, reply.status


def check_not_lost(harness: Harness, statuses: list[tuple[str, int]]) -> None:
    """Check that each request was answered, or refused without a run."""
    assert {status for _, status in statuses} <= {200, 503}
    for request_id, status in statuses:
        assert harness.record.count_runs(request_id) == (status == 200)


@pytest.mark.parametrize(('net', 'is_leaving'), [(228, False), (229, True)])
def test_owner_that_stops_begins_no_work_it_cannot_end(net, is_leaving) -> None:
    """Guards against work broken off at an owner whose keys could not move."""

    async def scenario(harness: Harness) -> None:
        await configure_long_limits(harness)
        owner, other = harness.nodes
        hold = owner.server.holds[0]
        key = hold.keys.first
        harness.store.faults.outage = Outage.SILENT
        # Until a renewal has failed, so that no keys are released any more.
        await asyncio.sleep(2.5)
        set_work(harness, 2.4)
        stops = [asyncio.create_task(stop(harness, owner))]
        await asyncio.sleep(1.3)
        if is_leaving:
            stops.append(asyncio.create_task(stop(harness, other)))
        await asyncio.sleep(1.9)
        asked = []
        for number in range(4):
            asked.append(
                asyncio.create_task(
                    ask_status(
                        harness, other, '/cases/1', f'r{number}', key + number
                    )
                )
            )
            await asyncio.sleep(0.1)
        statuses = await asyncio.gather(*asked)
        await asyncio.gather(*stops)
        check_not_lost(harness, statuses)

    run_scenario(net, (KEYED, KEYED), scenario)


@pytest.mark.parametrize(('net', 'service'), [(237, PLAIN), (238, KEYED)])
def test_process_that_stops_passes_on_no_work_it_cannot_await(
    net, service
) -> None:
    """Guards against long work cut off at the end of a calm shutdown."""

    async def scenario(harness: Harness) -> None:
        await configure_long_limits(harness)
        leaving, other = harness.nodes
        path = PATH_BY_SERVICE[service]
        hold = other.server.holds[0] if service == KEYED else None
        key = 5 if hold is None else hold.keys.first
        set_work(harness, LONG_WORK_S)
        await ask_status(harness, leaving, path, 'first', key)
        stopping = asyncio.create_task(stop(harness, leaving))
        await asyncio.sleep(FIRST_LATE_S)
        asked = []
        for number in range(LATE_REQUESTS):
            asked.append(
                asyncio.create_task(
                    ask_status(harness, leaving, path, f'r{number}', key)
                )
            )
            await asyncio.sleep(LATE_PAUSE_S)
        statuses = await asyncio.gather(*asked)
        await stopping
        check_not_lost(harness, statuses)

    run_scenario(net, (service, service), scenario)
