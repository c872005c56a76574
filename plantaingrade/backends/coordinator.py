"""Watch the backend server beside this process."""

import asyncio

from absl import logging

from plantaingrade.backends.const import (
    HEALTH_EVERY_S,
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
    """Poll health and load once for every part that needs them."""

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
        """Start without any report."""
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
            await asyncio.sleep(HEALTH_EVERY_S)

    async def async_poll(self) -> None:
        """Ask once and judge the server by the answer."""
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
        """Tell a server that checks fences how long its grants hold."""
        headers = ((HEADER_LEASE_UNTIL.decode(), f'{until:.6f}'),)
        call = Call('PUT', self.address, LEASE_PATH, headers)
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                await fetch(self._pool, call)
        except (TimeoutError, ChannelClosedError, ConnectFailedError):
            # The grants end by themselves; the health poll judges the server.
            return

    def on_report(self, report: Report) -> None:
        """Take a report in.

        A single report is not trusted after the server was down: it must report
        ready ``READY_STREAK`` times in a row.
        """
        self._misses = 0
        self.report = report
        self._streak += 1
        if self.state is BackendState.DOWN and self._streak < READY_STREAK:
            return
        self._set_state(report.state)

    def on_refused(self) -> None:
        """Note a refused connection: nobody listens there."""
        self._misses = MISSES_UNTIL_DOWN
        self.on_miss()

    def on_miss(self) -> None:
        """Note a poll without a usable answer."""
        self._streak = 0
        self._misses += 1
        if self._misses >= MISSES_UNTIL_DOWN:
            self._set_state(BackendState.DOWN)

    def _set_state(self, state: BackendState) -> None:
        if state is not self.state:
            logging.info('Backend server %s is %s', self.address, state)
            self.state = state
