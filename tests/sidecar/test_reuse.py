"""Addresses that pass to another service."""

import asyncio

from tests.sidecar.harness import KEYED, PLAIN, Harness


def test_an_address_of_another_service_runs_nothing_for_the_old_one() -> None:
    """An instance is lost, and its address goes to one of another service.

    Others still have it in their maps as an owner of keys, and so has its own
    new process. No server of the other service may run a request for them.
    """

    async def story() -> None:
        async with Harness(44) as rig:
            lost = await rig.async_add(KEYED)
            other = await rig.async_add(KEYED)
            await rig.async_until_served()
            await rig.async_kill(lost)
            await lost.server.async_crash()
            rig.nodes.remove(lost)
            reused = await rig.async_add(PLAIN, host=1)
            await rig.async_until(lambda: reused.process.is_ready)
            for place in (reused, other):
                for key in range(0, 65_000, 5000):
                    await rig.async_ask(
                        place, '/read/1', f'r{key}', key, 100, 'GET'
                    )
            assert {run.service for run in rig.record.runs} <= {KEYED}

    asyncio.run(story())
