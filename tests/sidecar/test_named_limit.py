"""Whole processes beside servers that name a rate limit in their answers."""

import asyncio
from collections import Counter

from standins.notices import max_in_window, tolerated
from tests.sidecar.harness import KEYED, PLAIN, Harness, Node, run_scenario

LIMIT_PER_S = 10.0
ASKED_PER_S = 60.0
LOAD_S = 5.0
LEARNED_S = 0.5


async def async_load(
    harness: Harness, node: Node, path: str, seconds: float, name: str = 'r'
) -> Counter[int]:
    """Ask at a constant rate; return how many answers had each status."""
    asked = int(seconds * ASKED_PER_S)
    tasks = []
    for number in range(asked):
        request = harness.async_ask(
            node, path, f'{name}{number}', number * 997 % 65_536, 500
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1 / ASKED_PER_S)
    replies = await asyncio.gather(*tasks, return_exceptions=True)
    return Counter(
        0 if isinstance(reply, BaseException) else reply.status
        for reply in replies
    )


def count_most(node: Node, since: float) -> int:
    """Return the most requests in any window since a point in time."""
    server = node.server
    return max_in_window([each for each in server.arrivals if each >= since])


def test_server_gets_no_more_than_the_limit_that_it_named() -> None:
    """A server in need names a limit and goes on getting its whole load."""

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        node.server.notices.limit = str(LIMIT_PER_S)
        await harness.async_ask(node, '/cases/1', 'first', 5)
        told_at = harness.clock.now() + LEARNED_S
        statuses = await async_load(harness, node, '/cases/1', LOAD_S)
        assert count_most(node, told_at) <= tolerated(LIMIT_PER_S)
        assert set(statuses) <= {200, 503}
        assert statuses[200] >= 0.8 * LIMIT_PER_S * LOAD_S

    run_scenario(201, (KEYED,), scenario)


def test_restarted_process_keeps_the_limit_that_its_server_named() -> None:
    """A process starts again and sends as if its server named no limit."""

    async def scenario(harness: Harness) -> None:
        limited, other = harness.nodes
        limited.server.notices.limit = str(LIMIT_PER_S)
        for number in range(8):
            await harness.async_ask(
                other, '/cases/1', f'first{number}', number * 8000
            )
        told_at = harness.clock.now() + LEARNED_S
        load = asyncio.create_task(
            async_load(harness, other, '/cases/1', LOAD_S + 2)
        )
        for _ in range(2):
            await asyncio.sleep(2.0)
            await harness.async_kill(limited)
            await asyncio.sleep(0.1)
            await harness.async_start(limited)
        await load
        assert count_most(limited, told_at) <= tolerated(LIMIT_PER_S)

    run_scenario(202, (KEYED, KEYED), scenario)


def test_limited_server_without_keys_leaves_work_to_the_others() -> None:
    """Requests are refused although another server has room for them."""

    async def scenario(harness: Harness) -> None:
        limited = harness.nodes[0]
        limited.server.notices.limit = '4'
        for number in range(8):
            await harness.async_ask(
                limited, '/letters/1', f'first{number}', number
            )
        told_at = harness.clock.now() + LEARNED_S
        statuses = await async_load(harness, limited, '/letters/1', LOAD_S)
        assert count_most(limited, told_at) <= tolerated(4)
        assert statuses[200] >= 0.98 * ASKED_PER_S * LOAD_S

    run_scenario(203, (PLAIN, PLAIN), scenario)


def test_limit_of_zero_starves_no_renewal_of_grants() -> None:
    """Grants wait behind requests for the limit, and all keys are lost."""

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        node.server.notices.limit = '0'
        await harness.async_ask(node, '/cases/1', 'first', 5)
        told_at = harness.clock.now() + LEARNED_S
        held_until = min(hold.until for hold in node.server.holds)
        statuses = await async_load(harness, node, '/cases/1', 3.0)
        assert count_most(node, told_at) <= tolerated(0)
        assert set(statuses) <= {200, 503}
        assert harness.is_every_key_held()
        assert min(hold.until for hold in node.server.holds) > held_until

    run_scenario(204, (KEYED,), scenario)
