"""Background loops of one incarnation."""

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
from plantaingrade.node.components import Components
from plantaingrade.node.const import SUPERVISE_EVERY_S, TICK_S, WITNESS_EVERY_S

SERVING = frozenset((BackendState.READY, BackendState.OVERLOADED))
UNAVAILABLE = frozenset((BackendState.DOWN, BackendState.DRAINING))


class Loops:
    """Run the periodic work of one incarnation until it is stopped.

    ``lease_lost`` is set when this incarnation can never hold a lease again.
    """

    __slots__ = ('_components', '_tasks', 'lease_lost')

    def __init__(self, components: Components) -> None:
        """Prepare without starting a loop."""
        self._components = components
        self._tasks: list[asyncio.Task[Any]] = []
        self.lease_lost = asyncio.Event()

    def start_lease_loop(self) -> None:
        """Start the loop that has to run before the announcement."""
        self._start(self._tick_forever())

    def start_member_loops(self) -> None:
        """Start the loops of an announced member."""
        components = self._components
        self._start(self._supervise_forever())
        self._start(self._witness_forever())
        self._start(components.backend.async_run())
        self._start(components.membership.async_run())
        self._start(components.journal.async_follow())
        self._start(components.decider.async_compete())
        self._start(components.decider.async_decide())
        if components.row.checks_fence:
            self._start(self._extend_forever())

    async def async_stop(self) -> None:
        """Cancel every loop and wait until it has ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def async_try_append(self, *changes: Change) -> ChangeOutcome | None:
        """Append a record and return its first outcome.

        Returns None if the journal is unavailable.
        """
        try:
            outcomes = await self._components.journal.async_append(*changes)
        except JournalUnavailableError:
            return None
        return outcomes[0]

    async def _tick_forever(self) -> None:
        components = self._components
        while True:
            components.leases.tick()
            components.ownership.tick()
            for owner in components.ownership.outdated_proofs():
                components.leases.reopen_poll(owner)
            await asyncio.sleep(TICK_S)

    async def _supervise_forever(self) -> None:
        while True:
            await asyncio.sleep(SUPERVISE_EVERY_S)
            if self._components.is_lost():
                member = self._components.row.member
                logging.warning('Lease of %s is lost permanently', member)
                self.lease_lost.set()
                return
            changes = self._components.ownership.pending_changes()
            if changes:
                await self.async_try_append(*changes)
            await self._sync_backend_state()

    async def _sync_backend_state(self) -> None:
        row = self._components.own_row()
        if row is None or self._components.leaving:
            return
        serving = self._components.backend.state in SERVING
        unavailable = self._components.backend.state in UNAVAILABLE
        if serving:
            self._components.ownership.handover.cancel_leave()
        elif unavailable:
            self._components.ownership.handover.leave()
        # A process without a lease is not ready: if it reaches no witness, it
        # cannot serve slices.
        leases = self._components.leases
        if row.state is MemberState.STARTING and serving and leases.is_held():
            await self._set_state(MemberState.READY, row.state)
        not_ready = unavailable or leases.is_isolated()
        if row.state is MemberState.READY and not_ready:
            await self._set_state(MemberState.STARTING, row.state)

    async def _set_state(self, new: MemberState, old: MemberState) -> None:
        change = StateSet(self._components.row.member, new, old)
        await self.async_try_append(change)

    async def _witness_forever(self) -> None:
        while True:
            await asyncio.sleep(WITNESS_EVERY_S)
            change = self._components.leases.next_witness_change()
            if change is not None:
                await self.async_try_append(change)

    async def _extend_forever(self) -> None:
        components = self._components
        while True:
            await asyncio.sleep(RENEW_EVERY_S)
            if components.ownership.in_flight.total():
                await components.backend.async_extend(
                    components.leases.expires_at()
                )

    def _start(self, loop: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(loop)
        task.add_done_callback(_exit_on_failure)
        self._tasks.append(task)


def _exit_on_failure(task: asyncio.Task[Any]) -> None:
    # End the whole process if one loop fails. It would otherwise go on serving
    # with a lease or a map that is no longer updated.
    if not task.cancelled() and task.exception() is not None:
        logging.error(
            'A background loop failed, the process exits',
            exc_info=task.exception(),
        )
        os._exit(1)  # noqa: SLF001
