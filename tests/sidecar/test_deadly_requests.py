"""A request that crashes every server that begins to run it."""

import asyncio

from tests.sidecar.harness import PLAIN, Node, Harness

PATH = '/letters/deadly'
# Crashes after which the platform counts each further one.
PATIENCE = 3


async def async_heal(rig: Harness) -> int:
    """Start crashed servers again; return how many there were."""
    crashed = [place for place in rig.nodes if not place.server.is_up]
    for place in crashed:
        await rig.async_start_server(place)
    await rig.async_until(lambda: all(map(is_known, crashed)))
    return len(crashed)


def is_known(place: Node) -> bool:
    """Tell whether the process goes by the present life of its server."""
    life = place.process._life
    return life.accepts_work and life.instance == place.server.life.instance


def test_a_deadly_request_stops_reaching_servers() -> None:
    """A caller sends a request that crashes its server, again and again.

    Each try took another server away, with all that ran there, for as long
    as the caller went on. It is refused after the third crash at the latest,
    at every instance, and other requests are served.
    """

    async def story() -> None:
        async with Harness(101) as rig:
            for _ in range(3):
                await rig.async_add(PLAIN)
            await rig.async_until(
                lambda: all(place.process.is_ready for place in rig.nodes)
            )
            crashes = 0
            for attempt in range(12):
                place = rig.nodes[attempt % 3]
                reply = await rig.async_ask(place, PATH, f'd{attempt}', 1, 300)
                assert reply.status in {502, 503, 504}
                crashes += await async_heal(rig)
            assert 0 < crashes <= PATIENCE
            assert reply.status == 503
            reply = await rig.async_ask(rig.nodes[0], '/letters/1', 'ok', 1)
            assert reply.status == 200

    asyncio.run(story())
