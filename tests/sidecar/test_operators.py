"""Statements of operators, sent to whole processes."""

import asyncio
import json

from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import Pool
from tests.sidecar.harness import KEYED, PLAIN, Harness


async def send_statement(
    harness: Harness, node, text: str, command: str = ''
) -> tuple:
    headers = (('x-command-id', command), ('x-operator', 'test'))
    call = Call(
        'POST',
        node.settings.listeners.peers,
        '/-/statement',
        headers if command else (),
        text.encode(),
    )
    with Pool(harness.clock) as pool:
        reply = await fetch(pool, call)
    return reply.status, json.loads(reply.body)


def run_scenario(net: int, services, scenario) -> None:
    async def run() -> None:
        async with Harness(net) as harness:
            for service in services:
                await harness.async_add(service)
            await harness.async_until_served()
            await scenario(harness)
            assert not harness.record.two_owners

    asyncio.run(run())


def test_queries_return_owners_servers_slices_and_config() -> None:
    async def scenario(harness: Harness) -> None:
        first, second = harness.nodes
        status, owner = await send_statement(
            harness, second, f'owner of 5 in {KEYED}'
        )
        assert status == 200
        assert owner['first'] <= 5 <= owner['last']
        assert owner['fence'] > 0
        # Only the process of a server knows its current incarnation.
        node = next(
            each
            for each in harness.nodes
            if owner['owner'].endswith(each.settings.ip)
        )
        await harness.async_until(
            lambda: node.process._tracker.current.born_ms is not None
        )
        _, owner = await send_statement(harness, node, f'owner of 5 in {KEYED}')
        assert owner['instance'] == node.server.incarnation.instance
        assert owner['born_ms'] == node.server.incarnation.started_at_ms
        _, servers = await send_statement(
            harness, first, f'show servers of {KEYED}'
        )
        assert len(servers) == 2
        assert sum(each['keys'] for each in servers) == 65_536
        _, ranges = await send_statement(
            harness, first, f'show slices of {KEYED}'
        )
        assert ranges[0]['first'] == 0
        _, config = await send_statement(harness, first, 'show config')
        assert config['version'] == 1

    run_scenario(81, (KEYED, KEYED), scenario)


def test_invalid_statements_are_refused_with_an_error() -> None:
    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        for text in ('', 'drop everything', 'owner of'):
            status, answer = await send_statement(harness, node, text)
            assert status == 400
            assert answer['error']
        status, _ = await send_statement(harness, node, 'drain nobody')
        assert status == 400
        status, answer = await send_statement(
            harness, node, 'drain nobody', 'c1'
        )
        assert status == 409
        assert answer['outcome'] == 'refused'
        _, answer = await send_statement(
            harness, node, f'owner of 70000 in {KEYED}'
        )
        assert answer['error']

    run_scenario(82, (KEYED,), scenario)


def test_any_process_accepts_a_move_of_keys() -> None:
    async def scenario(harness: Harness) -> None:
        first, second = harness.nodes
        host = second.settings.ip
        text = f'move keys 3 to 40000 of {KEYED} to {host}'
        status, answer = await send_statement(harness, second, text, 'c1')
        assert status == 200, answer
        for node in harness.nodes:
            _, owner = await send_statement(
                harness, node, f'owner of 20 in {KEYED}'
            )
            assert owner['owner'] == f'{KEYED}@{host}'
        reply = await harness.async_ask(first, '/cases/1', 'r1', 20)
        assert reply.status == 200
        assert harness.record.runs[-1].instance == second.server.instance

    run_scenario(83, (KEYED, KEYED), scenario)


def test_drained_server_gets_no_work_after_a_process_restart() -> None:
    """An operator drains a server; its process is killed and restarts.

    The request is stored, so the restarted process applies it too.
    """

    async def scenario(harness: Harness) -> None:
        first, second = harness.nodes[:2]
        host = first.settings.ip
        status, answer = await send_statement(
            harness, second, f'drain {host}', 'c1'
        )
        assert status == 200, answer
        _, again = await send_statement(harness, second, f'drain {host}', 'c1')
        assert again['outcome'] == 'alreadydone'
        await harness.async_until(lambda: not first.process.holds.owns_keys)
        await harness.async_kill(first)
        await harness.async_start(first)
        await harness.async_until(lambda: first.process.is_ready)
        before = len(harness.record.runs)
        for key in range(0, 65_000, 9000):
            reply = await harness.async_ask(second, '/cases/1', f'k{key}', key)
            assert reply.status == 200
        instances = {run.instance for run in harness.record.runs[before:]}
        assert first.server.instance not in instances
        _, answer = await send_statement(harness, first, f'resume {host}', 'c2')
        assert answer['outcome'] == 'accepted'

    run_scenario(84, (KEYED, KEYED, PLAIN), scenario)


def test_retired_server_without_keys_gets_no_requests() -> None:
    async def scenario(harness: Harness) -> None:
        plain = [
            node for node in harness.nodes if node.settings.service == PLAIN
        ]
        host = plain[0].settings.ip
        await send_statement(harness, harness.nodes[0], f'retire {host}', 'c1')
        for number in range(12):
            reply = await harness.async_ask(
                plain[0], '/letters/1', f'{number}', 5
            )
            assert reply.status == 200
        instances = {run.instance for run in harness.record.runs}
        assert plain[0].server.instance not in instances

    run_scenario(85, (KEYED, PLAIN, PLAIN), scenario)


def test_malformed_move_requests_are_refused() -> None:
    """Another program, or another version, posts a body without a key range.

    An exception would close the connection without an answer.
    """

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        bodies = (
            b'\xff',
            b'[]',
            b'{}',
            b'{"first":"0","last":9,"to":"x"}',
            b'{"first":true,"last":9,"to":"x"}',
            b'{"first":9,"last":0,"to":"x"}',
            b'{"first":0,"last":65536,"to":"x"}',
            b'{"first":0,"last":9,"to":null}',
        )
        for body in bodies:
            call = Call(
                'POST', node.settings.listeners.peers, '/-/move', (), body
            )
            with Pool(harness.clock) as pool:
                reply = await fetch(pool, call)
            assert reply.status == 400

    run_scenario(147, (KEYED,), scenario)
