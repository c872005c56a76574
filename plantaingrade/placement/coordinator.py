"""Elect the decider by a lease, and record its placement plans.

The decider is the elected leader, the only member that plans the placement.
"""

import asyncio
import random
from collections.abc import Callable

from absl import logging

from plantaingrade.clock import Clock
from plantaingrade.cloud.const import PARTITION_DECIDER
from plantaingrade.cloud.entity import (
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    Stored,
)
from plantaingrade.cloud.table import TableClient
from plantaingrade.journal.coordinator import (
    JournalCoordinator,
    JournalUnavailableError,
)
from plantaingrade.journal.entity import MemberState
from plantaingrade.leases.const import EARLIEST
from plantaingrade.placement.const import (
    DECIDER_CANDIDATES,
    DECIDER_IDLE_POLL_S,
    DECIDER_LEASE_S,
    DECIDER_POLL_S,
    DECIDER_RENEW_S,
    DECIDER_ROW,
    NO_HOLDER,
    PLAN_INTERVAL_S,
    POLL_JITTER,
)
from plantaingrade.placement.policy import plan


class DeciderCoordinator:
    """Competes for the decider's lease, which is a row of the table service.

    Two processes that both act as the decider are harmless: both append to the
    same journal, and a change that no longer applies has no effect. The lease
    only avoids duplicate work.
    """

    __slots__ = (
        '_clock',
        '_held_until',
        '_journal',
        '_may_decide',
        '_member',
        '_seen',
        '_seen_at',
        '_settled_generation',
        '_table',
    )

    def __init__(
        self,
        table: TableClient,
        journal: JournalCoordinator,
        member: str,
        clock: Clock,
        may_decide: Callable[[], bool],
    ) -> None:
        """Compete for the lease on behalf of one member.

        ``may_decide`` returns whether the member may be the decider now.
        """
        self._table = table
        self._journal = journal
        self._member = member
        self._clock = clock
        self._may_decide = may_decide
        self._held_until = EARLIEST
        self._seen: Row | None = None
        self._seen_at = EARLIEST
        self._settled_generation = 0

    @property
    def holder(self) -> str:
        """Return the holder of the lease as last read."""
        return '' if self._seen is None else self._seen.body

    def is_decider(self) -> bool:
        """Return whether this process holds the lease."""
        return self._clock.now() < self._held_until

    async def async_compete(self) -> None:
        """Renew the lease, or acquire it when its holder stops renewing it."""
        while True:
            if self.is_decider() and not self._may_decide():
                await self.async_resign()
            try:
                await self._poll()
            except (PlatformUnavailableError, PlatformOutcomeUnknownError):
                self._held_until = EARLIEST
            pause = self._pause_s() * random.uniform(*POLL_JITTER)
            await asyncio.sleep(pause)

    async def async_decide(self) -> None:
        """Plan and append changes to the journal while holding the lease."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            if not self.is_decider() or not self._may_decide():
                continue
            try:
                await self._decide_once()
            except (JournalUnavailableError, PlatformUnavailableError):
                await asyncio.sleep(1)

    async def _decide_once(self) -> None:
        # If no change is needed, none will be until the journal changes. The
        # cost of planning is linear in the number of slices.
        generation = self._journal.state.generation
        if generation == self._settled_generation:
            return
        changes = plan(self._journal.state)
        if changes:
            await self._journal.async_append(*changes)
        else:
            self._settled_generation = generation
        await self._journal.async_snapshot()

    async def async_resign(self) -> None:
        """Release the lease, so that another process can acquire it soon."""
        if not self.is_decider() or self._seen is None:
            return
        self._held_until = EARLIEST
        known = self._seen.version
        vacant = Row(PARTITION_DECIDER, DECIDER_ROW, NO_HOLDER, known + 1)
        try:
            await self._table.async_replace(vacant, known)
        except (PlatformUnavailableError, PlatformOutcomeUnknownError):
            return  # The lease expires by itself.

    def _pause_s(self) -> float:
        if self.is_decider():
            return DECIDER_RENEW_S
        members = sorted(
            member
            for member, row in self._journal.state.members.items()
            if row.state is MemberState.READY
        )
        if self._member in members[:DECIDER_CANDIDATES]:
            return DECIDER_POLL_S
        return DECIDER_IDLE_POLL_S

    async def _poll(self) -> None:
        now = self._clock.now()
        row = await self._table.async_get(PARTITION_DECIDER, DECIDER_ROW)
        if row is None:
            fresh = Row(PARTITION_DECIDER, DECIDER_ROW, self._member, 1)
            outcome = await self._table.async_put_new(fresh)
            self._record_claim(fresh, now, won=isinstance(outcome, Stored))
            return
        if self._seen is None or row.version != self._seen.version:
            self._seen = row
            self._seen_at = now
        mine = row.body == self._member
        expired = row.body == NO_HOLDER
        expired = expired or now - self._seen_at > DECIDER_LEASE_S
        if (mine or expired) and self._may_decide():
            version = row.version + 1
            claim = Row(PARTITION_DECIDER, DECIDER_ROW, self._member, version)
            outcome = await self._table.async_replace(claim, row.version)
            self._record_claim(claim, now, won=isinstance(outcome, Stored))

    def _record_claim(self, row: Row, now: float, *, won: bool) -> None:
        if not won:
            return
        if not self.is_decider():
            logging.info('This process is now the decider')
        self._seen = row
        self._seen_at = now
        self._held_until = now + DECIDER_LEASE_S
