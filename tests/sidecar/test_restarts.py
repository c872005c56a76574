"""Servers that restart with the same id, and malformed heartbeats."""

import asyncio
import json

from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import Pool
from standins.incarnation import Incarnation
from standins.shared_store import Outage
from tests.sidecar.harness import KEYED, PLAIN, Harness, Node

RESTART_PAUSE_S = 0.3
SHORT_PAUSE_S = 0.02
OUTAGE_S = 3.5
STEPPED_BACK_MS = 4000
USED_AGAIN_LIMIT_S = 2.0


async def async_send_report(
    harness: Harness, node: Node, instance: str, body: bytes
) -> Reply:
    """Send a body to the address for heartbeats of a server."""
    pool = Pool(harness.clock)
    call = Call(
        'PUT',
        node.settings.listeners.reports,
        f'/v1/instances/{instance}',
        (),
        body,
    )
    try:
        return await fetch(pool, call)
    finally:
        pool.close()


async def async_restart(harness: Harness, node: Node, pause_s: float) -> None:
    """Crash a server, restart it with its id, and await its heartbeat."""
    await node.server.async_crash()
    await asyncio.sleep(pause_s)
    await harness.async_start_server(
        node, node.server.incarnation.next_incarnation()
    )
    await harness.async_until(lambda: is_known(node))


def heartbeat(node: Node, **changes: object) -> bytes:
    fields = {
        'service': node.plan.service,
        'address': node.plan.address,
        'zone': node.plan.zone,
        'version': 'v1',
        'capacity': 4,
        'state': 'ready',
        'coldRemaining': '0ms',
        'sequence': 10_000,
        'born': node.server.incarnation.started_at_ms,
    }
    return json.dumps({**fields, **changes}).encode()


def current_incarnation(node: Node):
    return node.process._tracker.current


def is_known(node: Node) -> bool:
    return (
        current_incarnation(node).born_ms
        == node.server.incarnation.started_at_ms
    )


def fences(node: Node) -> set[int]:
    return {hold.fence for hold in node.server.holds}


def test_restart_with_the_same_id_gets_new_fences() -> None:
    """A server crashes and restarts with its id between two lease renewals.

    The new incarnation holds nothing, and its sequence starts at 1. If its
    heartbeats are ignored until the old sequence is reached, it may be granted
    keys under the old fences.
    """

    async def scenario() -> None:
        async with Harness(141) as harness:
            node = await harness.async_add(KEYED)
            await harness.async_add(KEYED)
            await harness.async_until_served()
            # Some heartbeats, so that the next sequence starts lower.
            await asyncio.sleep(2)
            for _ in range(2):
                before = fences(node)
                instance = node.server.instance
                await async_restart(harness, node, RESTART_PAUSE_S)
                await harness.async_until_served()
                assert current_incarnation(node).instance == instance
                assert min(fences(node)) > max(before)
            assert not harness.record.two_owners

    asyncio.run(scenario())


def test_restart_after_draining_is_used_again() -> None:
    """A server drains, ends, and restarts with the same id.

    The drained incarnation stays ended, and the new one gets work at once.
    Without its start time it would count as draining for good.
    """

    async def scenario() -> None:
        async with Harness(142) as harness:
            node = await harness.async_add(PLAIN)
            await harness.async_add(KEYED)
            await harness.async_until(lambda: node.process.is_ready)
            await asyncio.sleep(1)
            assert await node.server.async_drain()
            await node.server.async_crash()
            await asyncio.sleep(SHORT_PAUSE_S)
            await harness.async_start_server(
                node, node.server.incarnation.next_incarnation()
            )
            await harness.async_until(
                lambda: node.process._tracker.accepts_work
            )
            reply = await harness.async_ask(node, '/letters/1', 'after', 5)
            assert reply.status == 200

    asyncio.run(scenario())


def test_foreign_and_malformed_heartbeats_are_rejected() -> None:
    """Another program sends heartbeats to the process of a server.

    Some name another service or address, some are malformed. Each is refused
    and counted, and the server keeps its state.
    """

    async def scenario() -> None:
        async with Harness(143) as harness:
            node = await harness.async_add(KEYED)
            await harness.async_until_served()
            incarnation = current_incarnation(node)
            bodies = (
                heartbeat(node, state='draining', service=PLAIN),
                heartbeat(node, state='draining', address='127.0.0.1:1'),
                heartbeat(node, state='draining', sequence='9'),
                heartbeat(node, state='draining', born='soon'),
                heartbeat(node, state='draining', capacity=True),
                heartbeat(node, state='gone'),
                b'\xff',
                b'[' * 50_000,
            )
            for body in bodies:
                reply = await async_send_report(
                    harness, node, node.server.instance, body
                )
                assert reply.status == 400
            reply = await async_send_report(
                harness, node, 'i%0d%0a', heartbeat(node)
            )
            assert reply.status == 400
            assert current_incarnation(node) == incarnation
            assert node.process._tracker.accepts_work
            counted = node.process._metrics.to_text().decode()
            line = next(
                line
                for line in counted.splitlines()
                if 'kind="report-rejected"' in line
            )
            assert float(line.split()[-1]) == len(bodies) + 1
            reply = await harness.async_ask(node, '/cases/1', 'r1', 9)
            assert reply.status == 200

    asyncio.run(scenario())


def test_late_heartbeat_of_previous_incarnation_is_ignored() -> None:
    """A network partition delays a heartbeat that reports a drain.

    The server has crashed and restarted with its id when it arrives.
    """

    async def scenario() -> None:
        async with Harness(144) as harness:
            node = await harness.async_add(KEYED)
            await harness.async_until_served()
            old = node.server
            late = heartbeat(node, state='draining')
            await async_restart(harness, node, SHORT_PAUSE_S)
            reply = await async_send_report(harness, node, old.instance, late)
            assert reply.status == 200
            assert node.process._tracker.accepts_work
            await harness.async_until_served()

    asyncio.run(scenario())


def test_process_shutting_down_acquires_no_keys_after_a_restart() -> None:
    """A server restarts while its process shuts down.

    If the process acquired keys for the new incarnation, nobody would serve
    them after the process has ended.
    """

    async def scenario() -> None:
        async with Harness(145) as harness:
            node = await harness.async_add(KEYED)
            await harness.async_add(KEYED)
            await harness.async_until_served()
            leaving = asyncio.create_task(node.process.async_shut_down())
            await asyncio.sleep(SHORT_PAUSE_S)
            await async_restart(harness, node, SHORT_PAUSE_S)
            assert not node.process.holds.registry.accepts_keys
            await leaving
            assert not node.process.holds.owns_keys

    asyncio.run(scenario())


def test_connections_are_closed_with_their_incarnation() -> None:
    """A machine loses power and restarts, with its server under the same id.

    Pooled connections look open, as nobody closed them. Work that must not run
    twice would be sent on one and lost, and its caller could not be told that
    it had not run.
    """

    async def scenario() -> None:
        async with Harness(146) as harness:
            node = await harness.async_add(PLAIN)
            await harness.async_add(KEYED)
            await harness.async_until(lambda: node.process.is_ready)
            await harness.async_until(lambda: is_known(node))
            await harness.async_ask(node, '/letters/1', 'before', 5)
            idle = node.process._pools.server._idle_by_address
            assert idle[node.plan.address]
            incarnation = node.server.incarnation.next_incarnation()
            body = heartbeat(node, born=incarnation.started_at_ms, sequence=1)
            await async_send_report(harness, node, incarnation.instance, body)
            assert (
                current_incarnation(node).born_ms == incarnation.started_at_ms
            )
            assert not idle[node.plan.address]

    asyncio.run(scenario())


def test_restart_during_a_store_outage_waits_for_new_fences() -> None:
    """The store does not answer, and a server restarts with its id.

    Its keys get no new fences until the store answers. Until then requests are
    refused and the old fences are not granted again.
    """

    async def scenario() -> None:
        async with Harness(148) as harness:
            node = await harness.async_add(KEYED)
            await harness.async_add(KEYED)
            await harness.async_until_served()
            await harness.async_until(lambda: is_known(node))
            harness.store.faults.outage = Outage.SILENT
            await async_restart(harness, node, SHORT_PAUSE_S)
            await asyncio.sleep(OUTAGE_S)
            assert not node.server.holds
            harness.store.faults.outage = Outage.NONE
            await harness.async_until_served()
            assert not harness.record.two_owners
            assert not harness.record.find_stale_fences()

    asyncio.run(scenario())


def test_id_at_another_address_keeps_no_keys() -> None:
    """A server restarts with its id at the address of another instance.

    There it holds the keys of that instance. Its own keys get new owners or
    wait for a server at the old address.
    """

    async def scenario() -> None:
        async with Harness(149) as harness:
            first = await harness.async_add(KEYED)
            second = await harness.async_add(KEYED)
            await harness.async_until_served()
            moved = first.server.incarnation.next_incarnation()
            await first.server.async_crash()
            await second.server.async_crash()
            await harness.async_start_server(second, moved)
            await harness.async_until(lambda: is_known(second))
            body = heartbeat(second)
            reply = await async_send_report(
                harness, first, moved.instance, body
            )
            assert reply.status == 400
            await harness.async_start_server(first)
            await harness.async_until_served()
            assert not harness.record.two_owners
            assert not harness.record.find_stale_fences()

    asyncio.run(scenario())


def test_server_whose_clock_stepped_back_is_used_within_two_seconds() -> None:
    """A server drains, its clock steps back by seconds, and it restarts with
    its id and a start time before that of the drained incarnation.

    If it counted as that incarnation or an earlier one, it would never get work
    again.
    """

    async def scenario() -> None:
        async with Harness(150) as harness:
            node = await harness.async_add(PLAIN)
            await harness.async_add(KEYED)
            await harness.async_until(lambda: node.process.is_ready)
            await harness.async_until(lambda: is_known(node))
            assert await node.server.async_drain()
            before = node.server.incarnation
            await node.server.async_crash()
            born = before.started_at_ms - STEPPED_BACK_MS
            began = harness.clock.now()
            await harness.async_start_server(
                node, Incarnation(before.instance, born)
            )
            await harness.async_until(lambda: is_known(node))
            assert harness.clock.now() - began < USED_AGAIN_LIMIT_S
            assert node.process._tracker.accepts_work
            reply = await harness.async_ask(node, '/letters/1', 'after', 5)
            assert reply.status == 200

    asyncio.run(scenario())
