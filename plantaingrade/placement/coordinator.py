"""Hold the decider's lease and carry the placement out."""

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
    DECIDER_LEASE_S,
    DECIDER_LOOK_S,
    DECIDER_LOOK_SELDOM_S,
    DECIDER_RENEW_S,
    DECIDER_ROW,
    LOOK_SPREAD,
    NOBODY,
    PLAN_EVERY_S,
)
from plantaingrade.placement.policy import plan


class DeciderCoordinator:
    """Compete for the decider's lease, a row of the table service.

    Two processes that both hold themselves for the decider do no harm: each
    record is appended to one journal, and a change that no longer fits has no
    effect. The lease only keeps them from doing the same work twice.
    """

    __slots__ = (
        '_clock',
        '_held_until',
        '_journal',
        '_may_decide',
        '_member',
        '_seen',
        '_seen_at',
        '_settled_at',
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
        """Compete on behalf of one member."""
        self._table = table
        self._journal = journal
        self._member = member
        self._clock = clock
        self._may_decide = may_decide
        self._held_until = EARLIEST
        self._seen: Row | None = None
        self._seen_at = EARLIEST
        self._settled_at = 0

    @property
    def holder(self) -> str:
        """Return the decider as last seen."""
        return '' if self._seen is None else self._seen.body

    def is_decider(self) -> bool:
        """Tell whether this process holds the lease."""
        return self._clock.now() < self._held_until

    async def async_compete(self) -> None:
        """Renew the lease, or take it when its holder stops renewing."""
        while True:
            if self.is_decider() and not self._may_decide():
                await self.async_resign()
            try:
                await self._look()
            except (PlatformUnavailableError, PlatformOutcomeUnknownError):
                self._held_until = EARLIEST
            pause = self._pause_s() * random.uniform(*LOOK_SPREAD)
            await asyncio.sleep(pause)

    async def async_decide(self) -> None:
        """Plan and append while holding the lease."""
        while True:
            await asyncio.sleep(PLAN_EVERY_S)
            if not self.is_decider() or not self._may_decide():
                continue
            try:
                await self._decide_once()
            except (JournalUnavailableError, PlatformUnavailableError):
                await asyncio.sleep(1)

    async def _decide_once(self) -> None:
        # Nothing to do stays so until the journal moves on; planning costs
        # in proportion to the number of slices.
        generation = self._journal.state.generation
        if generation == self._settled_at:
            return
        changes = plan(self._journal.state)
        if changes:
            await self._journal.async_append(*changes)
        else:
            self._settled_at = generation
        await self._journal.async_snapshot()

    async def async_resign(self) -> None:
        """Give the lease back, so that another process decides soon."""
        if not self.is_decider() or self._seen is None:
            return
        self._held_until = EARLIEST
        known = self._seen.version
        vacant = Row(PARTITION_DECIDER, DECIDER_ROW, NOBODY, known + 1)
        try:
            await self._table.async_replace(vacant, known)
        except (PlatformUnavailableError, PlatformOutcomeUnknownError):
            return  # The lease ends by itself.

    def _pause_s(self) -> float:
        if self.is_decider():
            return DECIDER_RENEW_S
        members = sorted(
            member
            for member, row in self._journal.state.members.items()
            if row.state is MemberState.READY
        )
        if self._member in members[:DECIDER_CANDIDATES]:
            return DECIDER_LOOK_S
        return DECIDER_LOOK_SELDOM_S

    async def _look(self) -> None:
        now = self._clock.now()
        row = await self._table.async_get(PARTITION_DECIDER, DECIDER_ROW)
        if row is None:
            fresh = Row(PARTITION_DECIDER, DECIDER_ROW, self._member, 1)
            outcome = await self._table.async_put_new(fresh)
            self._note(fresh, now, won=isinstance(outcome, Stored))
            return
        if self._seen is None or row.version != self._seen.version:
            self._seen = row
            self._seen_at = now
        mine = row.body == self._member
        expired = row.body == NOBODY
        expired = expired or now - self._seen_at > DECIDER_LEASE_S
        if (mine or expired) and self._may_decide():
            version = row.version + 1
            claim = Row(PARTITION_DECIDER, DECIDER_ROW, self._member, version)
            outcome = await self._table.async_replace(claim, row.version)
            self._note(claim, now, won=isinstance(outcome, Stored))

    def _note(self, row: Row, now: float, *, won: bool) -> None:
        if not won:
            return
        if not self.is_decider():
            logging.info('This process is the decider now')
        self._seen = row
        self._seen_at = now
        self._held_until = now + DECIDER_LEASE_S
