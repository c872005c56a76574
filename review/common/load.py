"""Clients that send requests at a steady rate, whatever the answers are."""

import asyncio
import random
from collections.abc import Callable, Coroutine

from review.common.cluster import Cluster, Machine

Send = Callable[[Machine], Coroutine]


async def async_send_steadily(
    cluster: Cluster,
    machines: list[Machine],
    per_s: float,
    lasts_s: float,
    send: Send,
) -> None:
    """Call ``send`` for each machine ``per_s`` times a second at random."""
    cluster.record.write('load', machines=len(machines), per_s=per_s)
    loop = asyncio.get_running_loop()
    ends = loop.time() + lasts_s
    await asyncio.gather(
        *(_async_run(machine, per_s, ends, send) for machine in machines)
    )


async def _async_run(
    machine: Machine, per_s: float, ends: float, send: Send
) -> None:
    loop = asyncio.get_running_loop()
    requests = []
    while loop.time() < ends:
        requests.append(asyncio.create_task(send(machine)))
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*requests)
