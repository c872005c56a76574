"""A request that crashes every server that starts to run it."""

import asyncio

from tests.sidecar.harness import PLAIN, Harness, Node

PATH = '/letters/deadly'
# Crashes that the platform tolerates; it counts each further one.
MAX_CRASHES = 3


async def async_restart_crashed(harness: Harness) -> int:
    """Restart crashed servers; return how many there were."""
    crashed = [node for node in harness.nodes if not node.server.is_up]
    for node in crashed:
        await harness.async_start_server(node)
    await harness.async_until(lambda: all(map(is_known, crashed)))
    return len(crashed)


def is_known(node: Node) -> bool:
    """Return whether the process tracks the current incarnation."""
    tracker = node.process._tracker
    return (
        tracker.accepts_work
        and tracker.instance == node.server.incarnation.instance
    )


def test_crashing_request_is_refused_after_some_crashes() -> None:
    """A caller keeps sending a request that crashes its server.

    Each attempt would crash another server, with all its running requests. The
    request is refused after the third crash at the latest, at every instance,
    and other requests are served.
    """

    async def scenario() -> None:
        async with Harness(101) as harness:
            for _ in range(3):
                await harness.async_add(PLAIN)
            await harness.async_until(
                lambda: all(node.process.is_ready for node in harness.nodes)
            )
            crashes = 0
            for attempt in range(12):
                node = harness.nodes[attempt % 3]
                reply = await harness.async_ask(
                    node, PATH, f'd{attempt}', 1, 300
                )
                assert reply.status in {502, 503, 504}
                crashes += await async_restart_crashed(harness)
            assert 0 < crashes <= MAX_CRASHES
            assert reply.status == 503
            reply = await harness.async_ask(
                harness.nodes[0], '/letters/1', 'ok', 1
            )
            assert reply.status == 200

    asyncio.run(scenario())
