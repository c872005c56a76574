"""The loops that keep one incarnation going."""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any

from absl import logging

from plantaingrade.backends.entity import BackendState
from plantaingrade.journal.coordinator import JournalUnavailableError
from plantaingrade.journal.entity import (
    Change,
    ChangeOutcome,
    MemberState,
    StateSet,
)
from plantaingrade.leases.const import RENEW_EVERY_S
from plantaingrade.node.const import SUPERVISE_EVERY_S, TICK_S, WITNESS_EVERY_S
from plantaingrade.node.parts import Parts

SERVING = frozenset((BackendState.READY, BackendState.OVERLOADED))
GONE = frozenset((BackendState.DOWN, BackendState.DRAINING))


class Loops:
    """Run the systems of one incarnation until cancelled."""

    __slots__ = ('_parts', '_tasks', 'lost')

    def __init__(self, parts: Parts) -> None:
        """Start nothing yet."""
        self._parts = parts
        self._tasks: list[asyncio.Task[Any]] = []
        self.lost = asyncio.Event()

    def start_leases(self) -> None:
        """Run what must run before this member is announced."""
        self._start(self._tick_forever())

    def start_rest(self) -> None:
        """Run what an announced member does."""
        parts = self._parts
        self._start(self._supervise_forever())
        self._start(self._witness_forever())
        self._start(parts.backend.async_run())
        self._start(parts.membership.async_run())
        self._start(parts.journal.async_follow())
        self._start(parts.decider.async_compete())
        self._start(parts.decider.async_decide())
        if parts.row.checks_fence:
            self._start(self._extend_forever())

    async def async_stop(self) -> None:
        """Cancel every loop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def async_try_append(self, *changes: Change) -> ChangeOutcome | None:
        """Append a record; return its first outcome, or nothing."""
        try:
            outcomes = await self._parts.journal.async_append(*changes)
        except JournalUnavailableError:
            return None
        return outcomes[0]

    async def _tick_forever(self) -> None:
        parts = self._parts
        while True:
            parts.leases.tick()
            parts.ownership.tick()
            for owner in parts.ownership.outdated_proofs():
                parts.leases.reopen_poll(owner)
            await asyncio.sleep(TICK_S)

    async def _supervise_forever(self) -> None:
        while True:
            await asyncio.sleep(SUPERVISE_EVERY_S)
            if self._parts.is_lost():
                member = self._parts.row.member
                logging.warning('Lease of %s is lost for good', member)
                self.lost.set()
                return
            changes = self._parts.ownership.pending_changes()
            if changes:
                await self.async_try_append(*changes)
            await self._follow_backend()

    async def _follow_backend(self) -> None:
        row = self._parts.own_row()
        if row is None or self._parts.leaving:
            return
        serving = self._parts.backend.state in SERVING
        gone = self._parts.backend.state in GONE
        if serving:
            self._parts.ownership.handover.cancel_leave()
        elif gone:
            self._parts.ownership.handover.leave()
        # Only a process that holds a lease is ready: one that reaches no
        # witness cannot serve slices.
        leases = self._parts.leases
        if row.state is MemberState.STARTING and serving and leases.is_held():
            await self._set_state(MemberState.READY, row.state)
        unfit = gone or leases.is_isolated()
        if row.state is MemberState.READY and unfit:
            await self._set_state(MemberState.STARTING, row.state)

    async def _set_state(self, new: MemberState, old: MemberState) -> None:
        change = StateSet(self._parts.row.member, new, old)
        await self.async_try_append(change)

    async def _witness_forever(self) -> None:
        while True:
            await asyncio.sleep(WITNESS_EVERY_S)
            change = self._parts.leases.next_witness_change()
            if change is not None:
                await self.async_try_append(change)

    async def _extend_forever(self) -> None:
        parts = self._parts
        while True:
            await asyncio.sleep(RENEW_EVERY_S)
            if parts.ownership.in_flight.total():
                await parts.backend.async_extend(parts.leases.expires_at())

    def _start(self, loop: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(loop)
        task.add_done_callback(_report_crash)
        self._tasks.append(task)


def _report_crash(task: asyncio.Task[Any]) -> None:
    # The whole process ends with one of its loops: half alive it would serve
    # while its lease or its view of the map no longer moves.
    if not task.cancelled() and task.exception() is not None:
        logging.error('A loop failed', exc_info=task.exception())
        os._exit(1)  # noqa: SLF001
