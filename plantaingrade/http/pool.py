"""Outgoing connections, reused with care."""

import asyncio
from collections import defaultdict
from types import TracebackType

from plantaingrade.clock import Clock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.channel import Channel
from plantaingrade.http.const import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_S,
    MAX_IDLE_PER_ADDRESS,
)
from plantaingrade.http.messages import Role


class ConnectFailedError(PlantaingradeError):
    """Report that no connection was made, so nothing was sent."""

    advice = 'Nothing was sent; try another server.'


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class Pool:
    """Keep idle connections by address, newest used first."""

    __slots__ = (
        '_clock',
        '_connect_timeout_s',
        '_idle_by_address',
        '_tcp_keepalive',
        '_local_host',
        '_max_idle_s',
        'opened',
    )

    def __init__(
        self,
        clock: Clock,
        local_host: str | None = None,
        *,
        tcp_keepalive: bool = False,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle_s: float = MAX_IDLE_S,
    ) -> None:
        """Prepare a pool whose connections start from one local address.

        Connections that are probed end by themselves when the other end has
        been silent to probes. One that idled for longer than ``max_idle_s`` is
        not used again.
        """
        self._max_idle_s = max_idle_s
        self._tcp_keepalive = tcp_keepalive
        self._connect_timeout_s = connect_timeout_s
        self._clock = clock
        self._local_host = local_host
        self._idle_by_address: dict[str, list[Channel]] = defaultdict(list)
        self.opened = 0

    def __enter__(self) -> 'Pool':
        """Return the pool."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close every idle connection."""
        self.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            self.close_idle(address)

    async def acquire(
        self,
        address: str,
        *,
        fresh: bool = False,
        max_idle_s: float | None = None,
    ) -> Channel:
        """Return a connection on which nothing is in flight.

        One that idled for longer than ``max_idle_s`` is passed over.

        A connection that was silent for longer than the pool trusts one may be
        forgotten by a device between the ends; a new one costs about 1 ms.

        Raises:
            ConnectFailedError: no connection could be made.
        """
        idle = self._idle_by_address[address]
        oldest = self._max_idle_s if max_idle_s is None else max_idle_s
        while idle:
            channel = idle.pop()
            age = self._clock.now() - channel.last_byte_at
            if channel.is_reusable() and not fresh and age <= oldest:
                return channel
            channel.close()
        return await self.connect(address)

    def release(self, address: str, channel: Channel) -> None:
        """Keep a connection whose request and answer are both complete."""
        idle = self._idle_by_address[address]
        if len(idle) < MAX_IDLE_PER_ADDRESS and channel.renew():
            idle.append(channel)
        else:
            channel.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for channel in self._idle_by_address.pop(address, ()):
            channel.close()

    async def connect(self, address: str) -> Channel:
        """Make a new connection.

        Raises:
            ConnectFailedError: no connection could be made.
        """
        host, port = split_address(address)
        local = (self._local_host, 0) if self._local_host else None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, channel = await loop.create_connection(
                    lambda: Channel(Role.CLIENT, self._clock),
                    host,
                    port,
                    local_addr=local,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailedError(f'No connection to {address}.') from error
        self.opened += 1
        if self._tcp_keepalive:
            channel.probe()
        return channel
