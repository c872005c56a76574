"""Servers whose answers have a status that HTTP does not know."""

import asyncio

import pytest

from tests.sidecar.harness import PLAIN, Harness, run_scenario

STATUSES = (b'000', b'099', b'600', b'999')
DEADLINE_MS = 1500


@pytest.mark.parametrize(('net', 'length'), [(230, 0), (231, 5)])
def test_answer_with_an_invalid_status_reaches_nobody(net, length) -> None:
    """Guards against a faulty status told to a caller, or waited on."""

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        faults = node.server.faults

        async def async_ask(number: int) -> int:
            reply = await harness.async_ask(
                node, '/letters/1', f'r{number}', 5, DEADLINE_MS
            )
            return reply.status

        assert await async_ask(0) == 200
        faults.answer_bytes = length
        for begin, status in enumerate(STATUSES, start=1):
            faults.status = status
            asked = map(async_ask, range(begin * 10, begin * 10 + 4))
            assert set(await asyncio.gather(*asked)) == {502}
        faults.status = b''
        found = [await async_ask(number) for number in range(100, 110)]
        assert set(found) == {200}

    run_scenario(net, (PLAIN,), scenario)
