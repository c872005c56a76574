"""Servers that answered nothing for a while, and are sound again."""

import asyncio
from dataclasses import replace

from tests.sidecar.harness import PLAIN, Harness, run_scenario

DEADLINE_MS = 600
PAUSE_S = 0.1
ROUNDS = 12
AT_ONCE = 4
HANG_WORK_S = 0.25
HANG_S = 3.0
HANG_TIMES = 30
HANG_CALLERS = 6
HANG_DEADLINE_MS = 1500
CALM_S = 4.0


def test_class_of_work_is_not_refused_for_good() -> None:
    """Guards against an estimate that no sample can correct any more."""

    async def scenario(harness: Harness) -> None:
        async def async_ask(number: int) -> int:
            await asyncio.sleep(PAUSE_S)
            reply = await harness.async_ask(
                node, '/letters/1', f'r{number}', 5, DEADLINE_MS
            )
            return reply.status

        node = harness.nodes[0]
        assert await async_ask(0) == 200
        node.server.faults.is_silent = True
        for begin in range(1, ROUNDS * AT_ONCE, AT_ONCE):
            asked = map(async_ask, range(begin, begin + AT_ONCE))
            lost = await asyncio.gather(*asked)
        assert 503 in lost
        node.server.faults.is_silent = False
        found = [await async_ask(number) for number in range(100, 160)]
        assert set(found[-10:]) == {200}

    run_scenario(226, (PLAIN,), scenario)


def test_requests_that_hang_do_not_make_a_class_seem_long() -> None:
    """Guards against refusals by a sound server after some requests hung."""

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        node.server.plan = replace(node.server.plan, work_s=HANG_WORK_S)
        clock = harness.clock
        ends_at = clock.now() + HANG_S + CALM_S
        calm_at = ends_at - CALM_S + HANG_DEADLINE_MS / 1000
        calm: list[int] = []

        async def async_call(caller: int) -> None:
            number = 0
            while clock.now() < ends_at:
                number += 1
                began = clock.now()
                reply = await harness.async_ask(
                    node,
                    '/letters/1',
                    f'r{caller}-{number}',
                    5,
                    HANG_DEADLINE_MS,
                )
                if began >= calm_at:
                    calm.append(reply.status)
                await asyncio.sleep(PAUSE_S / 2)

        callers = [
            asyncio.create_task(async_call(caller))
            for caller in range(HANG_CALLERS)
        ]
        for _ in range(HANG_TIMES):
            await asyncio.sleep(HANG_S / HANG_TIMES)
            node.server.faults.lose_answers = 1
        node.server.faults.lose_answers = 0
        await asyncio.gather(*callers)
        assert set(calm) == {200}

    run_scenario(232, (PLAIN,), scenario)
