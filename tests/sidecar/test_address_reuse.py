"""Addresses that are reused by an instance of another service."""

import asyncio

from tests.sidecar.harness import KEYED, PLAIN, Harness


def test_reused_address_runs_no_requests_of_the_previous_service() -> None:
    """An instance is lost, and one of another service gets its address.

    Maps of other processes, and of its own new process, still contain the
    address as an owner of keys. No server of the other service may run a
    request for them.
    """

    async def scenario() -> None:
        async with Harness(44) as harness:
            lost = await harness.async_add(KEYED)
            other = await harness.async_add(KEYED)
            await harness.async_until_served()
            await harness.async_kill(lost)
            await lost.server.async_crash()
            harness.nodes.remove(lost)
            reused = await harness.async_add(PLAIN, host=1)
            await harness.async_until(lambda: reused.process.is_ready)
            for node in (reused, other):
                for key in range(0, 65_000, 5000):
                    await harness.async_ask(
                        node, '/read/1', f'r{key}', key, 100, 'GET'
                    )
            assert {run.service for run in harness.record.runs} <= {KEYED}

    asyncio.run(scenario())
