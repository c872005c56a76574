"""A new life of a server takes keys under new fences, or takes none."""

import asyncio

from standins.shared_store import Outage, StoreFaults
from tests.sidecar.harness import KEYED, Harness

# Longer than a period of grants and the limit of a change of the map.
LONG_ENOUGH_S = 3.0


def test_a_new_life_gets_no_old_fence_while_the_store_is_away() -> None:
    """Two lives of a server have had the same keys under one fence.

    A server crashes and starts again while no process reaches the store. New
    fences for its keys cannot be written, and after the time allowed for that
    the keys are granted to the new life under the fences of the life before.
    """

    async def story() -> None:
        async with Harness(72) as rig:
            nodes = [await rig.async_add(KEYED) for _ in range(2)]
            await rig.async_until_served()
            rig.store.faults = StoreFaults(Outage.SILENT)
            await nodes[0].server.async_crash()
            await asyncio.sleep(0.3)
            await rig.async_start_server(nodes[0])
            await asyncio.sleep(LONG_ENOUGH_S)
            assert not rig.record.old_fences()
            rig.store.faults = StoreFaults()
            await rig.async_until_served()
            assert not rig.record.old_fences()

    asyncio.run(story())
