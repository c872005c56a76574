"""Monitor the backend server of this process."""

import asyncio

from absl import logging

from plantaingrade.backends.const import (
    HEALTH_INTERVAL_S,
    HEALTH_TIMEOUT_S,
    LEASE_PATH,
    MISSES_UNTIL_DOWN,
    READY_STREAK,
)
from plantaingrade.backends.dialects import read_report
from plantaingrade.backends.entity import BackendState, Dialect, Report
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.const import HEADER_LEASE_UNTIL
from plantaingrade.http.pool import ConnectFailedError, Pool


class BackendCoordinator:
    """Polls health and load of the backend server for all other parts."""

    __slots__ = (
        '_dialect',
        '_misses',
        '_pool',
        '_streak',
        'address',
        'report',
        'state',
    )

    def __init__(self, pool: Pool, address: str, dialect: Dialect) -> None:
        """Start without a report."""
        self._pool = pool
        self.address = address
        self._dialect = dialect
        self._misses = 0
        self._streak = 0
        self.report: Report | None = None
        self.state = BackendState.STARTING

    @property
    def dialect(self) -> Dialect:
        """Return the dialect of the backend server."""
        return self._dialect

    async def async_run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.async_poll()
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def async_poll(self) -> None:
        """Poll the server once and update its state."""
        call = Call('GET', self.address, self._dialect.path)
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                reply = await fetch(self._pool, call)
            self.on_report(read_report(self._dialect, reply.body))
        except ConnectFailedError:
            self.on_refused()
        except (TimeoutError, ChannelClosedError, ValueError):
            self.on_miss()

    async def async_extend(self, until: float) -> None:
        """Send the end of the lease to a server that checks fences."""
        headers = ((HEADER_LEASE_UNTIL.decode(), f'{until:.6f}'),)
        call = Call('PUT', self.address, LEASE_PATH, headers)
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                await fetch(self._pool, call)
        except (TimeoutError, ChannelClosedError, ConnectFailedError):
            # The grants expire on their own, and the health poll detects a
            # failed server.
            return

    def on_report(self, report: Report) -> None:
        """Apply a report.

        A server that was down leaves that state only after ``READY_STREAK``
        reports in a row, as it may have been frozen and not be usable yet.
        """
        self._misses = 0
        self.report = report
        self._streak += 1
        if self.state is BackendState.DOWN and self._streak < READY_STREAK:
            return
        self._set_state(report.state)

    def on_refused(self) -> None:
        """Mark the server as down, as nothing listens at its address."""
        self._misses = MISSES_UNTIL_DOWN
        self.on_miss()

    def on_miss(self) -> None:
        """Count a poll without a valid answer."""
        self._streak = 0
        self._misses += 1
        if self._misses >= MISSES_UNTIL_DOWN:
            self._set_state(BackendState.DOWN)

    def _set_state(self, state: BackendState) -> None:
        if state is not self.state:
            logging.info('Backend server %s is %s', self.address, state)
            self.state = state
