"""Servers that send answers without end, through whole processes."""

import asyncio

import pytest

from plantaingrade.http.client import BodyWithoutEndError, Call, fetch
from plantaingrade.http.pool import Pool
from standins.endless import Endless
from tests.sidecar.harness import KEYED, PLAIN, Harness, run_scenario

LARGE_BYTES = 3_000_000


async def async_ask_everywhere(harness: Harness) -> set[int]:
    """Send three requests to each process; return the statuses."""
    replies = await asyncio.gather(
        *(
            harness.async_ask(node, '/letters/1', f'r{number}', 5, 3000)
            for number, node in enumerate(harness.nodes * 3)
        )
    )
    return {reply.status for reply in replies}


@pytest.mark.parametrize(
    ('net', 'kind'),
    [
        (217, Endless.HEADER),
        (218, Endless.HEADERS),
        (219, Endless.GARBAGE),
        (220, Endless.CHUNKS),
        (221, Endless.UNTIL_CLOSE),
    ],
)
def test_answer_without_end_takes_a_share_of_the_memory(net, kind) -> None:
    """Guards against processes that are killed for their memory."""

    async def scenario(harness: Harness) -> None:
        server = harness.nodes[1].server
        server.endless.kind = kind
        statuses = await async_ask_everywhere(harness)
        assert server.endless.sent
        assert statuses <= {502, 504}
        for node in harness.nodes:
            held = node.process.instance_bytes.budget.held
            assert held.peak_bytes <= held.limit
        server.endless.kind = Endless.NONE
        server.faults.answer_bytes = LARGE_BYTES
        reply = await harness.async_ask(
            harness.nodes[0], '/letters/1', 'last', 5, 5000
        )
        assert reply.status == 200
        assert len(reply.body) == LARGE_BYTES
        for node in harness.nodes:
            assert node.process.instance_bytes.budget.used_bytes == 0

    run_scenario(net, (KEYED, PLAIN), scenario)


@pytest.mark.parametrize(
    ('net', 'kind'),
    [
        (233, Endless.INTERIM),
        (234, Endless.TRAILER),
        (235, Endless.TRAILERS),
        (236, Endless.EXTENSION),
    ],
)
def test_bytes_that_are_no_part_of_an_answer_end_it_at_once(net, kind) -> None:
    """Guards against slots, and memory, that are taken until the time limit."""

    async def scenario(harness: Harness) -> None:
        server = harness.nodes[1].server
        server.endless.kind = kind
        statuses = await async_ask_everywhere(harness)
        assert statuses == {502}
        server.endless.kind = Endless.NONE
        reply = await harness.async_ask(
            harness.nodes[0], '/letters/1', 'last', 5
        )
        assert reply.status == 200

    run_scenario(net, (KEYED, PLAIN), scenario)


def test_small_call_ends_at_its_limit() -> None:
    """Guards against an order whose answer takes all memory."""

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        node.server.endless.kind = Endless.CHUNKS
        call = Call('GET', node.plan.address, '/x', max_reply_bytes=65_536)
        with Pool(harness.clock) as pool, pytest.raises(BodyWithoutEndError):
            await fetch(pool, call)

    run_scenario(222, (PLAIN,), scenario)


def test_server_is_used_at_once_after_answers_without_end() -> None:
    """Guards against refusals of work that only seems to take long."""

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]

        async def async_ask(number: int) -> int:
            reply = await harness.async_ask(
                node, '/letters/1', f'r{number}', 5, 600
            )
            return reply.status

        node.server.endless.kind = Endless.UNTIL_CLOSE
        statuses = [await async_ask(number) for number in range(12)]
        assert set(statuses) <= {502, 504}
        node.server.endless.kind = Endless.NONE
        found = await asyncio.gather(*map(async_ask, range(100, 108)))
        assert set(found) == {200}

    run_scenario(223, (PLAIN,), scenario)
