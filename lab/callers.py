"""Callers: when they send requests, for which keys, and when they retry."""

import asyncio
import random
from bisect import bisect_right
from itertools import accumulate

from lab.deployment import RequestKind
from lab.simulation import SERVED, Simulation
from lab.statistics import RequestResult, Statistics
from plantaingrade.const import MS_PER_S
from plantaingrade.keyspace.entity import KEY_COUNT
from plantaingrade.requests.entity import Answered, NotRun, Outcome

# Keys are drawn by blocks of adjacent keys, the first blocks most often.
KEY_BLOCKS = 64
SKEW = 0.5
# Largest part of the remaining time that a caller waits before a retry.
MAX_PAUSE_FRACTION = 1 / 3


class Callers:
    """Sends the requests of all callers of a deployment."""

    def __init__(self, simulation: Simulation, statistics: Statistics) -> None:
        """Create the callers of a simulation."""
        self._simulation = simulation
        self._statistics = statistics
        self._random = random.Random(f'callers/{simulation.seed}')
        self._tasks: set[asyncio.Task] = set()
        self._weights = list(
            accumulate((block + 0.5) ** -SKEW for block in range(KEY_BLOCKS))
        )

    async def async_run(self) -> None:
        """Send requests until the end; those before ``warm_s`` do not count."""
        deployment = self._simulation.deployment
        total_s = deployment.warm_s + deployment.length_s
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        ends_at = started_at + total_s
        self._statistics.counted_from = started_at + deployment.warm_s
        self._statistics.started_at = started_at
        kinds = [each for each in deployment.kind if each.per_s]
        per_s = sum(each.per_s for each in kinds)
        weights = [each.per_s for each in kinds]
        while loop.time() < ends_at:
            factor = self._burst_factor(loop.time() - started_at)
            pause_s = self._random.expovariate(per_s * factor)
            await asyncio.sleep(pause_s)
            kind = self._random.choices(kinds, weights)[0]
            self._start_request(kind, loop.time() - started_at)
        await asyncio.gather(*self._tasks)

    def _burst_factor(self, at_s: float) -> float:
        return max(
            (
                each.times
                for each in self._simulation.deployment.burst
                if each.at_s <= at_s < each.at_s + each.for_s
            ),
            default=1.0,
        )

    def _start_request(self, kind: RequestKind, at_s: float) -> None:
        task = asyncio.create_task(self._async_send(kind, at_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_send(self, kind: RequestKind, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + kind.deadline_ms / MS_PER_S
        key = self._draw_key(kind, at_s)
        zone = self._random.choice(self._simulation.deployment.zones)
        has_free_slot = self._simulation.has_free_slot(kind.service)
        refusals = 0
        outcome: Outcome | None = None
        for _ in range(kind.retries + 1):
            outcome = await self._async_try(kind, key, zone, deadline)
            if isinstance(outcome, NotRun):
                refusals += 1
            if outcome == SERVED or not _may_retry(kind, outcome):
                break
            if not await self._async_pause(outcome, deadline):
                break
        request_result = RequestResult(
            outcome, loop.time() - started_at, refusals, has_free_slot
        )
        self._statistics.record(kind, started_at, request_result)

    async def _async_try(
        self, kind: RequestKind, key: int | None, zone: str, deadline: float
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        delay_s = self._simulation.deployment.ways.caller_ms / MS_PER_S
        instances = self._simulation.instances
        near = [each for each in instances if each.zone == zone]
        entry = self._random.choice(near or instances)
        await asyncio.sleep(delay_s)
        now = loop.time()
        request = self._simulation.request(kind, now, deadline - delay_s, key)
        outcome = await entry.requests.async_serve(request)
        await asyncio.sleep(delay_s)
        return outcome

    async def _async_pause(self, outcome: Outcome, deadline: float) -> bool:
        """Wait before a retry; return False if the deadline has passed."""
        left_s = deadline - asyncio.get_running_loop().time()
        if left_s <= 0:
            return False
        if isinstance(outcome, NotRun):
            pause_s = max(outcome.retry_after_s, 0.1)
            await asyncio.sleep(min(pause_s, left_s * MAX_PAUSE_FRACTION))
        return True

    def _draw_key(self, kind: RequestKind, at_s: float) -> int | None:
        services = self._simulation.shared_by_service
        if kind.service not in services:
            return None
        for index, hot in enumerate(self._simulation.deployment.hot):
            is_on = hot.at_s <= at_s < hot.at_s + hot.for_s
            is_on = is_on and hot.kind in {'', kind.name}
            if is_on and self._random.random() < hot.share:
                first = (index + 1) * KEY_COUNT // 5
                return first + self._random.randrange(hot.keys)
        drawn = self._random.random() * self._weights[-1]
        size = KEY_COUNT // KEY_BLOCKS
        block = bisect_right(self._weights, drawn)
        return block * size + self._random.randrange(size)


def _may_retry(kind: RequestKind, outcome: Outcome) -> bool:
    match outcome:
        case NotRun():
            return True
        case Answered():
            return kind.is_idempotent
    return kind.is_idempotent
