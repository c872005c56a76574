"""Whole processes with stand-ins for the platform."""

import asyncio

from tests.sidecar.harness import KEYED, PLAIN, Harness


def test_serves_keyed_and_plain_requests() -> None:
    async def story() -> None:
        async with Harness(31) as rig:
            for service in (KEYED, KEYED, PLAIN):
                await rig.async_add(service)
            await rig.async_until_served()
            for place in rig.nodes:
                for key in (0, 40_000, 65_535):
                    name = f'{place.settings.ip}-{key}'
                    reply = await rig.async_ask(place, '/cases/1', name, key)
                    assert reply.status == 200
                    assert reply.body == f'done {name}'.encode()
                    assert rig.record.times_run(name) == 1
                reply = await rig.async_ask(place, '/letters/1', name, 5)
                assert reply.status == 200
            assert not rig.record.two_owners
            callers = {run.caller_service for run in rig.record.runs}
            assert callers == {KEYED, PLAIN}

    asyncio.run(story())
