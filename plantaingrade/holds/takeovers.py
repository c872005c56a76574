"""Make the first map; later take over the keys of lost members."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import partial

from plantaingrade.clock import Clock
from plantaingrade.holds.changes import CommitResult
from plantaingrade.holds.const import (
    BOOTSTRAP_WAIT_S,
    RETURN_GRACE_S,
    SCAN_PERIOD_S,
    SCAN_SPREAD,
)
from plantaingrade.holds.doubts import Doubts
from plantaingrade.holds.plans import plan_first_map, plan_takeover
from plantaingrade.holds.registry import Planner, Registry

Commit = Callable[[Planner], Awaitable[CommitResult]]


class Takeovers:
    """Look at the rows of a service from time to time."""

    __slots__ = (
        '_clock',
        '_commit',
        '_doubts',
        '_random',
        '_registry',
        '_store_ok_since',
    )

    def __init__(
        self, registry: Registry, doubts: Doubts, commit: Commit, clock: Clock
    ) -> None:
        """Look on behalf of one member."""
        self._registry = registry
        self._doubts = doubts
        self._commit = commit
        self._clock = clock
        self._store_ok_since = 0.0
        self._random = random.Random(registry.member.name)

    def note_store(self, *, is_ok: bool) -> None:
        """Note whether the store has answered a call."""
        if not is_ok:
            self._store_ok_since = float('inf')
        elif self._store_ok_since == float('inf'):
            self._store_ok_since = self._clock.now()

    async def async_run(self) -> None:
        """Look until cancelled."""
        await asyncio.sleep(BOOTSTRAP_WAIT_S)
        while True:
            if self._registry.is_joined:
                await self._async_scan()
            await asyncio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Return the time until the next look; a first map is needed soon."""
        registry = self._registry
        has_map = bool(registry.key_map.version)
        members = len(registry.rows.by_name) if has_map else 1
        spread = self._random.uniform(*SCAN_SPREAD)
        return SCAN_PERIOD_S * max(1, members) * spread

    async def _async_scan(self) -> None:
        is_read = await self._registry.async_read()
        self.note_store(is_ok=is_read)
        if not is_read:
            return
        if not self._registry.key_map.version:
            await self._commit(plan_first_map)
            return
        if self._clock.now() - self._store_ok_since < RETURN_GRACE_S:
            return
        given_up = await self._doubts.async_given_up()
        await self._commit(partial(plan_takeover, given_up=given_up))
