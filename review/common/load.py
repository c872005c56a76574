"""Clients that send requests at a steady rate, whatever the answers are."""

import asyncio
import random
from collections.abc import Callable

from review.common.cluster import Cluster, Machine

Send = Callable[[Machine, random.Random], 'asyncio.Future']


async def async_send_steadily(
    cluster: Cluster,
    machines: list[Machine],
    per_s: float,
    lasts_s: float,
    send,
) -> None:
    """Call ``send(machine)`` at each machine ``per_s`` times a second."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + lasts_s
    tasks = [
        asyncio.create_task(_async_run(machine, per_s, ends, send))
        for machine in machines
    ]
    await asyncio.gather(*tasks)


async def _async_run(machine: Machine, per_s: float, ends: float, send) -> None:
    loop = asyncio.get_running_loop()
    requests = []
    while loop.time() < ends:
        requests.append(asyncio.create_task(send(machine)))
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*requests)
