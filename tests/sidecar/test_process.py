"""Requests with and without keys through whole processes."""

import asyncio

from tests.sidecar.harness import KEYED, PLAIN, Harness


def test_serves_keyed_and_plain_requests() -> None:
    async def scenario() -> None:
        async with Harness(31) as harness:
            for service in (KEYED, KEYED, PLAIN):
                await harness.async_add(service)
            await harness.async_until_served()
            for node in harness.nodes:
                for key in (0, 40_000, 65_535):
                    name = f'{node.settings.ip}-{key}'
                    reply = await harness.async_ask(node, '/cases/1', name, key)
                    assert reply.status == 200
                    assert reply.body == f'done {name}'.encode()
                    assert harness.record.count_runs(name) == 1
                reply = await harness.async_ask(node, '/letters/1', name, 5)
                assert reply.status == 200
            assert not harness.record.two_owners
            callers = {run.caller_service for run in harness.record.runs}
            assert callers == {KEYED, PLAIN}

    asyncio.run(scenario())
