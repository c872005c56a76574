"""Shut down a process without failing requests."""

import asyncio
from collections.abc import Callable

from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.peers.coordinator import PeerCoordinator
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.sidecar.const import (
    FINISH_S,
    GRACE_RESERVE_S,
    HANDOVER_LIMIT_S,
    LINGER_S,
    SHUTDOWN_POLL_S,
)
from plantaingrade.sidecar.endpoints import CallerEndpoint
from plantaingrade.supervision.jobs import start_job


class GracefulShutdown:
    """Transfers all keys, then refuses requests, then awaits running ones.

    Each step has its own time limit, even if the previous step failed: the
    platform kills the process at the end of the grace period, in the middle of
    any request that still runs.
    """

    __slots__ = (
        '_balance',
        '_busy',
        '_callers',
        '_clock',
        '_holds',
        '_limit_s',
        '_log',
        '_peers',
        '_server_path',
    )

    def __init__(
        self,
        holds: HoldCoordinator,
        balance: BalanceCoordinator,
        peers: PeerCoordinator,
        server_path: ServerPath,
        callers: CallerEndpoint,
        stop_grace_s: float,
        busy: Callable[[], int],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Use these parts; ``busy`` returns the number of running requests."""
        self._holds = holds
        self._balance = balance
        self._peers = peers
        self._server_path = server_path
        self._callers = callers
        self._limit_s = stop_grace_s - GRACE_RESERVE_S
        self._busy = busy
        self._clock = clock
        self._log = log

    async def async_run(self) -> None:
        """Run all steps within the platform's grace period."""
        began = self._clock.now()
        self._start_leaving(began)
        await self._async_wait(began + HANDOVER_LIMIT_S, self._owns_no_keys)
        removal = self._start_removal()
        await self._async_wait(began + LINGER_S, _never)
        self._close_to_callers()
        await self._async_finish(began + self._limit_s)
        if removal is not None:
            removal.cancel()
        self._log.write('stopped', busy=self._busy())

    def _start_leaving(self, began: float) -> None:
        self._log.write('leaving', owns_keys=self._holds.owns_keys)
        self._server_path.end.plan(began + LINGER_S, began + self._limit_s)
        self._balance.leave()

    def _close_to_callers(self) -> None:
        """Accept no more requests of callers, nor work that may not end."""
        self._callers.is_closed = True
        self._server_path.on_end_near()

    def _start_removal(self) -> asyncio.Task[None] | None:
        """Start to remove this member's row if it owns no keys any more."""
        if self._holds.owns_keys:
            return None
        self._stop_serving_peers()
        return start_job('row-removal', self._async_remove())

    async def _async_remove(self) -> None:
        """Remove the row, which is of one of the two kinds of member."""
        await self._holds.registry.async_leave()
        await self._peers.async_deregister()

    async def _async_finish(self, end: float) -> None:
        """Serve keys still owned, then wait for running requests."""
        await self._async_wait(end - FINISH_S, self._owns_no_keys)
        self._stop_serving_peers()
        await self._async_wait(end, lambda: not self._busy())

    def _owns_no_keys(self) -> bool:
        return not self._holds.owns_keys

    def _stop_serving_peers(self) -> None:
        if not self._server_path.is_closed:
            self._server_path.is_closed = True
            self._peers.say_goodbye()

    async def _async_wait(
        self, ends: float, is_done: Callable[[], bool]
    ) -> None:
        while self._clock.now() < ends and not is_done():
            await asyncio.sleep(SHUTDOWN_POLL_S)


def _never() -> bool:
    return False
