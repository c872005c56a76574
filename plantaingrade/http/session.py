"""Connections that are proven to lead to the same process."""

import asyncio
from collections import deque
from collections.abc import Callable
from itertools import count
from types import TracebackType

from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import Call, Reply, exchange
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.supervision.jobs import start_job

# Maximum number of connections of a session. An order takes a millisecond, but
# 0.2 s on a server that is nearly full: 40 orders per second then need eight.
MAX_CHANNELS = 8


class SessionEndedError(PlantaingradeError):
    """Raised when a session has no connection left, so nothing was sent."""

    advice = 'Open another session; it may lead to another process.'


class Session:
    """Connections to one address that lead to the same process.

    A connection never outlives the process that accepted it. A new connection
    is first a candidate. It joins the session once a connection of the session
    has returned the response to a request that was sent after the candidate was
    opened: the process was running when the candidate connected, so no other
    process can have accepted it. A process that was started later at the same
    address is therefore never mistaken for the old one.

    This assumes that one process listens at the address until it exits, and
    that its listening socket is closed with it.

    A server may close a connection after each response. So a request is sent
    only if there is another connection, idle or just opened, which can join the
    session with the response.
    """

    __slots__ = (
        '_address',
        '_candidates',
        '_channels',
        '_free_channels',
        '_idle',
        '_is_closed',
        '_on_ended',
        '_open_task',
        '_pool',
        '_sequence',
        'number',
    )

    def __init__(
        self,
        number: int,
        pool: Pool,
        address: str,
        first: Channel,
        on_ended: Callable[[], None],
    ) -> None:
        """Start a session with its first connection.

        ``on_ended`` is called when the last connection is closed.
        """
        self.number = number
        self._is_closed = False
        self._on_ended = on_ended
        self._pool = pool
        self._address = address
        # Orders the connections opened and the requests sent.
        self._sequence = count()
        self._channels: set[Channel] = set()
        self._idle: set[Channel] = set()
        self._candidates: deque[tuple[int, Channel]] = deque()
        self._open_task: asyncio.Task[None] | None = None
        # Idle connections for waiting requests. None instead of a connection
        # means that no connection is left.
        self._free_channels: asyncio.Queue[Channel | None] = asyncio.Queue()
        self._add_channel(first)

    @property
    def is_open(self) -> bool:
        """Return whether a connection is left."""
        return any(not channel.closed for channel in self._channels)

    def close(self) -> None:
        """Close all connections, those in use after their response."""
        self._is_closed = True
        if self._open_task is not None:
            self._open_task.cancel()
        for _, candidate in self._candidates:
            candidate.close()
        self._candidates.clear()
        while not self._free_channels.empty():
            channel = self._free_channels.get_nowait()
            if channel is not None:
                self._discard(channel)
        self._wake_next_if_ended()

    def checkout(self) -> 'Checkout':
        """Return a context manager for one request on one connection."""
        return Checkout(self)

    async def async_acquire(self) -> Channel:
        """Wait for an idle connection, and for another one to be available.

        Raises:
            SessionEndedError: the session has no connection left.
        """
        channel = await self._async_next_free()
        try:
            await self._async_ensure_spare()
        except BaseException:
            self.release(channel)
            raise
        return channel

    async def async_exchange(self, channel: Channel, call: Call) -> Reply:
        """Send a request and return its complete response.

        Raises:
            ChannelClosedError: the connection broke, the outcome is unknown.
        """
        step = next(self._sequence)
        reply = await exchange(channel, call)
        self._admit_candidates(step)
        return reply

    def release(self, channel: Channel) -> None:
        """Keep a connection for the next request, or close it."""
        if not self._is_closed and channel.prepare_reuse():
            self._set_free(channel)
        else:
            self._discard(channel)

    async def _async_next_free(self) -> Channel:
        while True:
            self._wake_next_if_ended()
            if self._free_channels.empty():
                self._open_spare()
            channel = await self._free_channels.get()
            if channel is None:
                self._free_channels.put_nowait(None)
                raise SessionEndedError('The session has no connection left.')
            self._idle.discard(channel)
            if channel.is_reusable():
                return channel
            self._discard(channel)

    async def _async_ensure_spare(self) -> None:
        has_idle = any(not channel.closed for channel in self._idle)
        if self._candidates or has_idle:
            return
        self._open_spare()
        if self._open_task is not None:
            await asyncio.wait((self._open_task,))

    def _open_spare(self) -> None:
        is_opening = self._open_task is not None and not self._open_task.done()
        if is_opening or self._is_closed or len(self._channels) >= MAX_CHANNELS:
            return
        self._open_task = start_job(
            'spare-connection', self._async_open_spare()
        )

    async def _async_open_spare(self) -> None:
        try:
            channel = await self._pool.connect(self._address)
        except ConnectFailedError:
            return
        self._candidates.append((next(self._sequence), channel))

    def _admit_candidates(self, answered_step: int) -> None:
        """Add the candidates that were opened before the answered request."""
        while self._candidates and self._candidates[0][0] < answered_step:
            _, channel = self._candidates.popleft()
            self._add_channel(channel)

    def _add_channel(self, channel: Channel) -> None:
        self._channels.add(channel)
        channel.on_closed = self._on_channel_closed
        self._set_free(channel)

    def _set_free(self, channel: Channel) -> None:
        self._idle.add(channel)
        self._free_channels.put_nowait(channel)

    def _discard(self, channel: Channel) -> None:
        channel.close()
        self._idle.discard(channel)
        self._channels.discard(channel)
        self._wake_next_if_ended()
        self._on_channel_closed()

    def _on_channel_closed(self) -> None:
        if not self.is_open and not self._is_closed:
            self._on_ended()

    def _wake_next_if_ended(self) -> None:
        if not self._channels and self._free_channels.empty():
            self._free_channels.put_nowait(None)


class Checkout:
    """Exclusive use of one connection of a session for one request."""

    __slots__ = ('_channel', '_session')

    def __init__(self, session: Session) -> None:
        """Create a context manager that has no connection yet."""
        self._session = session
        self._channel: Channel | None = None

    async def __aenter__(self) -> 'Checkout':
        """Wait for a connection.

        Raises:
            SessionEndedError: the session has no connection left.
        """
        self._channel = await self._session.async_acquire()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the connection, and abort it first after an error."""
        channel = self._channel
        if channel is None:
            return
        if error is not None:
            channel.abort()
        self._session.release(channel)

    def drop(self) -> None:
        """Abort the connection.

        A late response would be taken for that of the next request.
        """
        if self._channel is not None:
            self._channel.abort()

    async def async_fetch(self, call: Call) -> Reply:
        """Send a request and return its complete response.

        Raises:
            ChannelClosedError: the connection broke, the outcome is unknown.
        """
        channel = self._channel
        if channel is None:
            raise ChannelClosedError('No connection was checked out.')
        return await self._session.async_exchange(channel, call)


class Sessions:
    """Opens sessions to one address, one at a time."""

    __slots__ = ('_address', '_numbers', '_pool', '_session', 'on_ended')

    def __init__(self, pool: Pool, address: str) -> None:
        """Open no session yet; ``on_ended`` is called when a session ends."""
        self.on_ended: Callable[[], None] = _ignore
        self._pool = pool
        self._address = address
        self._numbers = count(1)
        self._session: Session | None = None

    @property
    def number(self) -> int:
        """Return the number of the current session, 0 if there is none."""
        session = self._session
        if session is None or not session.is_open:
            return 0
        return session.number

    async def async_open(self) -> int:
        """Open a session unless there is one, and return its number.

        Raises:
            ConnectFailedError: no connection to the address could be opened.
        """
        if self.number:
            return self.number
        self.close()
        first = await self._pool.connect(self._address)
        number = next(self._numbers)
        self._session = Session(
            number, self._pool, self._address, first, self.on_ended
        )
        return number

    def checkout(self, number: int) -> Checkout:
        """Return a context manager for one request in a session.

        Raises:
            SessionEndedError: the session is not the current one.
        """
        session = self._session
        if session is None or session.number != number:
            raise SessionEndedError('The session has ended.')
        return session.checkout()

    def close(self) -> None:
        """End the current session."""
        if self._session is not None:
            self._session.close()
            self._session = None


def _ignore() -> None:
    """Do nothing, as the default callback."""
