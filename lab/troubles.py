"""What happens to servers while they are played."""

import asyncio
import random

from lab.world import Instance, World
from plantaingrade.backends.incarnation import IncarnationState


class Troubles:
    """The troubles of a deployment, at their times."""

    def __init__(self, world: World) -> None:
        """Trouble the servers of a world."""
        self._world = world
        self._random = random.Random(f'troubles/{world.seed}')

    async def async_run(self) -> None:
        """Play all troubles."""
        deployment = self._world.deployment
        await asyncio.gather(
            *(self._async_slow(each) for each in deployment.slow),
            *(self._async_down(each) for each in deployment.down),
        )

    async def _async_slow(self, slow) -> None:
        await asyncio.sleep(slow.at_s)
        chosen = self._draw(slow.service, slow.share)
        for instance in chosen:
            instance.slow_times = slow.times
        await asyncio.sleep(slow.for_s)
        for instance in chosen:
            instance.slow_times = 1.0

    async def _async_down(self, down) -> None:
        await asyncio.sleep(down.at_s)
        chosen = self._draw(down.service, down.share)
        for instance in chosen:
            instance.life.state = IncarnationState.DRAINING
            instance.balance.leave()
        await asyncio.sleep(down.for_s)
        for instance in chosen:
            instance.life.state = IncarnationState.READY
            instance.balance.resume()

    def _draw(self, service: str, share: float) -> list[Instance]:
        servers = [
            each
            for each in self._world.instances
            if each.service.name == service
        ]
        return self._random.sample(servers, max(1, round(share * len(servers))))
