"""Create the first map, and later take over the keys of lost members."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import partial

from plantaingrade.clock import Clock
from plantaingrade.holds.changes import CommitResult
from plantaingrade.holds.const import (
    BOOTSTRAP_WAIT_S,
    FIRST_MAP_SPREAD_S,
    SCAN_JITTER,
    SCAN_PERIOD_S,
    STORE_RECOVERY_GRACE_S,
)
from plantaingrade.holds.plans import plan_first_map, plan_takeover
from plantaingrade.holds.registry import Planner, Registry
from plantaingrade.holds.suspects import SuspectExpiry

Commit = Callable[[Planner], Awaitable[CommitResult]]


class Takeovers:
    """Scans the rows of a service periodically."""

    __slots__ = (
        '_clock',
        '_commit',
        '_random',
        '_registry',
        '_store_ok_since',
        '_suspects',
    )

    def __init__(
        self,
        registry: Registry,
        suspects: SuspectExpiry,
        commit: Commit,
        clock: Clock,
    ) -> None:
        """Scan on behalf of one member."""
        self._registry = registry
        self._suspects = suspects
        self._commit = commit
        self._clock = clock
        self._store_ok_since = 0.0
        self._random = random.Random(registry.member.name)

    def on_store_result(self, *, is_ok: bool) -> None:
        """Record whether the store has answered a call."""
        if not is_ok:
            self._store_ok_since = float('inf')
        elif self._store_ok_since == float('inf'):
            self._store_ok_since = self._clock.now()

    async def async_run(self) -> None:
        """Scan until cancelled."""
        await asyncio.sleep(BOOTSTRAP_WAIT_S)
        await self._async_create_first_map()
        await asyncio.sleep(self._random.uniform(0, self._scan_period_s()))
        while True:
            if self._registry.is_joined:
                await self._async_scan()
            jitter = self._random.uniform(*SCAN_JITTER)
            await asyncio.sleep(self._scan_period_s() * jitter)

    async def _async_create_first_map(self) -> None:
        """Scan until there is a map.

        Members that start together take turns at random, so that most of them
        receive the map of the first one instead of trying to create it.
        """
        while not self._has_map():
            await asyncio.sleep(self._random.uniform(0, FIRST_MAP_SPREAD_S))
            if self._registry.is_joined and not self._has_map():
                await self._async_scan()
            if not self._has_map():
                jitter = self._random.uniform(*SCAN_JITTER)
                await asyncio.sleep(SCAN_PERIOD_S * jitter)

    def _has_map(self) -> bool:
        return bool(self._registry.key_map.version)

    def _scan_period_s(self) -> float:
        """Return the period at which all members together scan each second."""
        registry = self._registry
        return SCAN_PERIOD_S * max(
            1, registry.rows.count_with(registry.key_map)
        )

    async def _async_scan(self) -> None:
        is_read = await self._registry.async_read()
        self.on_store_result(is_ok=is_read)
        if not is_read:
            return
        if not self._registry.key_map.version:
            await self._commit(plan_first_map)
            return
        if self._clock.now() - self._store_ok_since < STORE_RECOVERY_GRACE_S:
            return
        expired = await self._suspects.async_expired()
        await self._commit(partial(plan_takeover, expired=expired))
