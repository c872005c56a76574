"""Pool of outgoing connections."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from types import TracebackType

from plantaingrade.addresses import InvalidAddressError, split_address
from plantaingrade.clock import Clock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.channel import Channel
from plantaingrade.http.const import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_PER_ADDRESS,
    MAX_IDLE_S,
)
from plantaingrade.http.keepalive import enable_tcp_keepalive
from plantaingrade.http.messages import Role


class ConnectFailedError(PlantaingradeError):
    """Raised when no connection could be opened, so nothing was sent."""

    advice = 'Nothing was sent; try another server.'


class Pool:
    """Keeps idle connections by address and reuses the latest first."""

    __slots__ = (
        '_clock',
        '_connect_timeout_s',
        '_idle_by_address',
        '_local_host',
        '_max_idle_s',
        '_tcp_keepalive',
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
        """Create a pool whose connections use ``local_host`` as their source.

        With ``tcp_keepalive`` the system closes connections whose peer does
        not answer keepalive probes. A connection that was idle for longer than
        ``max_idle_s`` is not reused.
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
        accepts: Callable[[Channel], bool] | None = None,
    ) -> Channel:
        """Return an idle connection, or a new one if there is none.

        Closes connections that were idle for longer than ``max_idle_s``, by
        default the limit of the pool. A network device on the path may have
        dropped their state; a new connection costs about 1 ms. With ``fresh``
        no idle connection is reused. Connections that ``accepts`` rejects stay
        idle.

        Raises:
            ConnectFailedError: no connection could be opened.
        """
        if fresh:
            self.close_idle(address)
        oldest = self._max_idle_s if max_idle_s is None else max_idle_s
        channel = self._take_idle(address, oldest, accepts)
        return channel or await self.connect(address)

    def release(self, address: str, channel: Channel) -> None:
        """Keep a connection for reuse if its last exchange is complete."""
        idle = self._idle_by_address[address]
        if len(idle) < MAX_IDLE_PER_ADDRESS and channel.prepare_reuse():
            idle.append(channel)
        else:
            channel.close()

    def close_idle(self, address: str) -> None:
        """Close all idle connections to an address."""
        for channel in self._idle_by_address.pop(address, ()):
            channel.close()

    def _take_idle(
        self,
        address: str,
        max_idle_s: float,
        accepts: Callable[[Channel], bool] | None,
    ) -> Channel | None:
        """Return the latest usable connection; close those too old."""
        idle = self._idle_by_address[address]
        for index in reversed(range(len(idle))):
            channel = idle[index]
            age = self._clock.now() - channel.last_byte_at
            if not channel.is_reusable() or age > max_idle_s:
                idle.pop(index).close()
            elif accepts is None or accepts(channel):
                return idle.pop(index)
        return None

    async def connect(self, address: str) -> Channel:
        """Open a new connection.

        Raises:
            ConnectFailedError: no connection could be opened.
        """
        try:
            host, port = split_address(address)
        except InvalidAddressError as error:
            raise ConnectFailedError('The address is not valid.') from error
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
            raise ConnectFailedError(f'Cannot connect to {address}.') from error
        self.opened += 1
        if self._tcp_keepalive:
            enable_tcp_keepalive(channel.transport)
        return channel
