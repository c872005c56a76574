"""A new incarnation of a server gets keys under new fences or none."""

import asyncio

from standins.shared_store import Outage, StoreFaults
from tests.sidecar.harness import KEYED, Harness

# Longer than an interval of grants and the time limit of a map change.
LONG_ENOUGH_S = 3.0


def test_new_incarnation_gets_no_old_fence_during_a_store_outage() -> None:
    """A server crashes and restarts while no process reaches the store.

    New fences for its keys cannot be written. If the keys are granted under the
    old fences after the time limit for that, two incarnations have had the same
    keys under one fence.
    """

    async def scenario() -> None:
        async with Harness(72) as harness:
            nodes = [await harness.async_add(KEYED) for _ in range(2)]
            await harness.async_until_served()
            harness.store.faults = StoreFaults(Outage.SILENT)
            await nodes[0].server.async_crash()
            await asyncio.sleep(0.3)
            await harness.async_start_server(nodes[0])
            await asyncio.sleep(LONG_ENOUGH_S)
            assert not harness.record.find_stale_fences()
            harness.store.faults = StoreFaults()
            await harness.async_until_served()
            assert not harness.record.find_stale_fences()

    asyncio.run(scenario())
