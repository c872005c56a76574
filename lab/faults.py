"""Faults of servers during a simulation."""

import asyncio
import random

from lab.deployment import Service
from lab.simulation import Instance, Simulation
from plantaingrade.backends.incarnation import IncarnationState
from plantaingrade.const import MS_PER_S


class FaultInjector:
    """Slows down and takes down servers at the times of a deployment."""

    def __init__(self, simulation: Simulation) -> None:
        """Create an injector for the servers of a simulation."""
        self._simulation = simulation
        self._random = random.Random(f'troubles/{simulation.seed}')

    async def async_run(self) -> None:
        """Execute all faults."""
        deployment = self._simulation.deployment
        await asyncio.gather(
            *(self._async_slow(each) for each in deployment.slow),
            *(self._async_down(each) for each in deployment.down),
            *(self._async_add_noise(each) for each in deployment.service),
        )

    async def _async_add_noise(self, service: Service) -> None:
        """Draw the servers whose work takes longer after each interval."""
        noise = service.noise
        if noise is None:
            return
        while True:
            for instance in self._simulation.instances:
                if instance.service is service:
                    is_slow = self._random.random() < noise.share
                    instance.noise = noise.times if is_slow else 1.0
            await asyncio.sleep(noise.every_ms / MS_PER_S)

    async def _async_slow(self, slow) -> None:
        await asyncio.sleep(slow.at_s)
        chosen = self._draw(slow.service, slow.share)
        for instance in chosen:
            instance.slowdown = slow.times
        await asyncio.sleep(slow.for_s)
        for instance in chosen:
            instance.slowdown = 1.0

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
            for each in self._simulation.instances
            if each.service.name == service
        ]
        return self._random.sample(servers, max(1, round(share * len(servers))))
