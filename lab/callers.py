"""Callers: when they ask, for which keys, and when they come back."""

import asyncio
import random
from bisect import bisect_right
from itertools import accumulate

from lab.deployment import Kind
from lab.tally import Fate, Tally
from lab.world import SERVED, World
from plantaingrade.const import MS_PER_S
from plantaingrade.keyspace.entity import KEY_COUNT
from plantaingrade.requests.entity import Answered, NotRun, Outcome

# Keys are asked for by patches of neighbours, the first ones most.
PATCHES = 64
SKEW = 0.5
# Part of the time left that a caller waits at most before it comes back.
MAX_PAUSE_PART = 1 / 3


class Callers:
    """All callers of a deployment."""

    def __init__(self, world: World, tally: Tally) -> None:
        """Ask the instances of a world."""
        self._world = world
        self._tally = tally
        self._random = random.Random(f'callers/{world.seed}')
        self._tasks: set[asyncio.Task] = set()
        self._weights = list(
            accumulate((patch + 0.5) ** -SKEW for patch in range(PATCHES))
        )

    async def async_run(self) -> None:
        """Ask until the end; what was counted before the warm-up is dropped."""
        deployment = self._world.deployment
        total_s = deployment.warm_s + deployment.length_s
        loop = asyncio.get_running_loop()
        began = loop.time()
        ends = began + total_s
        self._tally.counts_from = began + deployment.warm_s
        self._tally.began = began
        kinds = [each for each in deployment.kind if each.per_s]
        per_s = sum(each.per_s for each in kinds)
        weights = [each.per_s for each in kinds]
        while loop.time() < ends:
            times = self._times(loop.time() - began)
            pause_s = self._random.expovariate(per_s * times)
            await asyncio.sleep(pause_s)
            kind = self._random.choices(kinds, weights)[0]
            self._start(kind, loop.time() - began)
        await asyncio.gather(*self._tasks)

    def _times(self, at_s: float) -> float:
        return max(
            (
                each.times
                for each in self._world.deployment.burst
                if each.at_s <= at_s < each.at_s + each.for_s
            ),
            default=1.0,
        )

    def _start(self, kind: Kind, at_s: float) -> None:
        task = asyncio.create_task(self._async_ask(kind, at_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_ask(self, kind: Kind, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        deadline = began + kind.deadline_ms / MS_PER_S
        key = self._draw_key(kind, at_s)
        zone = self._random.choice(self._world.deployment.zones)
        has_room = self._world.has_room(kind.service)
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
        fate = Fate(outcome, loop.time() - began, refusals, has_room)
        self._tally.note(kind, began, fate)

    async def _async_try(
        self, kind: Kind, key: int | None, zone: str, deadline: float
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        way_s = self._world.deployment.ways.caller_ms / MS_PER_S
        instances = self._world.instances
        near = [each for each in instances if each.zone == zone]
        entry = self._random.choice(near or instances)
        await asyncio.sleep(way_s)
        now = loop.time()
        request = self._world.request(kind, now, deadline - way_s, key)
        outcome = await entry.requests.async_serve(request)
        await asyncio.sleep(way_s)
        return outcome

    async def _async_pause(self, outcome: Outcome, deadline: float) -> bool:
        """Wait before the next try; tell whether there is time for one."""
        left_s = deadline - asyncio.get_running_loop().time()
        if left_s <= 0:
            return False
        if isinstance(outcome, NotRun):
            pause_s = max(outcome.retry_after_s, 0.1)
            await asyncio.sleep(min(pause_s, left_s * MAX_PAUSE_PART))
        return True

    def _draw_key(self, kind: Kind, at_s: float) -> int | None:
        services = self._world.shared_by_service
        if kind.service not in services:
            return None
        for place, hot in enumerate(self._world.deployment.hot):
            is_on = hot.at_s <= at_s < hot.at_s + hot.for_s
            if is_on and self._random.random() < hot.share:
                first = (place + 1) * KEY_COUNT // 5
                return first + self._random.randrange(hot.keys)
        drawn = self._random.random() * self._weights[-1]
        size = KEY_COUNT // PATCHES
        patch = bisect_right(self._weights, drawn)
        return patch * size + self._random.randrange(size)


def _may_retry(kind: Kind, outcome: Outcome) -> bool:
    match outcome:
        case NotRun():
            return True
        case Answered():
            return kind.is_idempotent
    return kind.is_idempotent
