"""Connections that provably lead to one and the same process."""

import asyncio
from collections import deque
from collections.abc import Callable
from itertools import count
from types import TracebackType

from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import Call, Reply, exchange
from plantaingrade.http.pool import ConnectFailedError, Pool

# Connections of one session. One order at a time takes a millisecond; a server
# that is nearly full takes 0.2 s, and 40 orders a second then need eight.
MAX_CHANNELS = 8


class SessionEndedError(PlantaingradeError):
    """Report that no connection of a session is left; nothing was sent."""

    advice = 'Open another session; it may lead to another process.'


class Session:
    """Some connections to one address that end at the same process.

    A connection never outlasts the process that accepted it. A further
    connection joins once a connection of the session has answered what was sent
    after the further one was made: the process was there all the while, and so
    nobody else listened at its address. A process that has started there since
    is never spoken to as if it were the old one.

    This takes for granted that one process listens at the address until it
    ends, and that its listening socket ends with it.

    A server may end a connection after each answer. So nothing is sent without
    another connection at hand, idle or made just before, which the answer lets
    join.
    """

    __slots__ = (
        '_address',
        '_candidates',
        '_free',
        '_idle',
        '_is_closed',
        '_members',
        '_on_over',
        '_opening',
        '_pool',
        '_steps',
        'number',
    )

    def __init__(
        self,
        number: int,
        pool: Pool,
        address: str,
        first: Channel,
        on_over: Callable[[], None],
    ) -> None:
        """Begin with one connection; ``on_over`` is called after the last."""
        self.number = number
        self._is_closed = False
        self._on_over = on_over
        self._pool = pool
        self._address = address
        # Numbers connections made and requests sent in their order.
        self._steps = count()
        self._members: set[Channel] = set()
        self._idle: set[Channel] = set()
        self._candidates: deque[tuple[int, Channel]] = deque()
        self._opening: asyncio.Task[None] | None = None
        # Connections that carry nothing, for those who wait for one; nothing
        # in place of a connection tells that none is left.
        self._free: asyncio.Queue[Channel | None] = asyncio.Queue()
        self._join(first)

    @property
    def is_open(self) -> bool:
        """Tell whether a connection is left."""
        return any(not channel.closed for channel in self._members)

    def close(self) -> None:
        """Close every connection, those in use once they carry nothing."""
        self._is_closed = True
        if self._opening is not None:
            self._opening.cancel()
        for _, candidate in self._candidates:
            candidate.close()
        self._candidates.clear()
        while not self._free.empty():
            channel = self._free.get_nowait()
            if channel is not None:
                self._lose(channel)
        self._wake_next_if_over()

    def turn(self) -> 'Turn':
        """Return the use of one connection for one request."""
        return Turn(self)

    async def async_take(self) -> Channel:
        """Wait for a connection that carries nothing, and for a further one.

        Raises:
            SessionEndedError: none is left.
        """
        channel = await self._async_next()
        try:
            await self._async_have_another()
        except BaseException:
            self.release(channel)
            raise
        return channel

    async def async_exchange(self, channel: Channel, call: Call) -> Reply:
        """Send a request and return its whole answer.

        Raises:
            ChannelClosedError: the connection broke; the outcome is unknown.
        """
        step = next(self._steps)
        reply = await exchange(channel, call)
        self._admit(step)
        return reply

    def release(self, channel: Channel) -> None:
        """Keep a connection for the next request, or leave it behind."""
        if not self._is_closed and channel.renew():
            self._set_free(channel)
        else:
            self._lose(channel)

    async def _async_next(self) -> Channel:
        while True:
            self._wake_next_if_over()
            if self._free.empty():
                self._open_another()
            channel = await self._free.get()
            if channel is None:
                self._free.put_nowait(None)
                raise SessionEndedError('No connection of the session is left.')
            self._idle.discard(channel)
            if channel.is_reusable():
                return channel
            self._lose(channel)

    async def _async_have_another(self) -> None:
        has_idle = any(not channel.closed for channel in self._idle)
        if self._candidates or has_idle:
            return
        self._open_another()
        if self._opening is not None:
            await asyncio.wait((self._opening,))

    def _open_another(self) -> None:
        is_opening = self._opening is not None and not self._opening.done()
        if is_opening or self._is_closed or len(self._members) >= MAX_CHANNELS:
            return
        loop = asyncio.get_running_loop()
        self._opening = loop.create_task(self._async_open_another())

    async def _async_open_another(self) -> None:
        try:
            channel = await self._pool.connect(self._address)
        except ConnectFailedError:
            return
        self._candidates.append((next(self._steps), channel))

    def _admit(self, answered_step: int) -> None:
        """Let connections join that were made before this request was sent."""
        while self._candidates and self._candidates[0][0] < answered_step:
            _, channel = self._candidates.popleft()
            self._join(channel)

    def _join(self, channel: Channel) -> None:
        self._members.add(channel)
        channel.on_end = self._on_end
        self._set_free(channel)

    def _set_free(self, channel: Channel) -> None:
        self._idle.add(channel)
        self._free.put_nowait(channel)

    def _lose(self, channel: Channel) -> None:
        channel.close()
        self._idle.discard(channel)
        self._members.discard(channel)
        self._wake_next_if_over()
        self._on_end()

    def _on_end(self) -> None:
        if not self.is_open and not self._is_closed:
            self._on_over()

    def _wake_next_if_over(self) -> None:
        if not self._members and self._free.empty():
            self._free.put_nowait(None)


class Turn:
    """Use of one connection of a session for one request.

    Others wait for their turns meanwhile: a connection carries one request
    at a time.
    """

    __slots__ = ('_channel', '_session')

    def __init__(self, session: Session) -> None:
        """Wait for nothing yet."""
        self._session = session
        self._channel: Channel | None = None

    async def __aenter__(self) -> 'Turn':
        """Wait for a connection.

        Raises:
            SessionEndedError: none is left.
        """
        self._channel = await self._session.async_take()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Give the connection back; one that failed is broken off."""
        channel = self._channel
        if channel is None:
            return
        if error is not None:
            channel.abort()
        self._session.release(channel)

    def drop(self) -> None:
        """Break the connection off: a late answer would meet the next one."""
        if self._channel is not None:
            self._channel.abort()

    async def async_fetch(self, call: Call) -> Reply:
        """Send a request and return its whole answer.

        Raises:
            ChannelClosedError: the connection broke; the outcome is unknown.
        """
        channel = self._channel
        if channel is None:
            raise ChannelClosedError('No connection was taken.')
        return await self._session.async_exchange(channel, call)


class Sessions:
    """Open sessions to one address, one after the other."""

    __slots__ = ('_address', '_numbers', '_pool', '_session', 'on_over')

    def __init__(self, pool: Pool, address: str) -> None:
        """Open nothing yet; ``on_over`` is called when a session is over."""
        self.on_over: Callable[[], None] = _nothing
        self._pool = pool
        self._address = address
        self._numbers = count(1)
        self._session: Session | None = None

    @property
    def number(self) -> int:
        """Return the number of the session in force, 0 if there is none."""
        session = self._session
        if session is None or not session.is_open:
            return 0
        return session.number

    async def async_open(self) -> int:
        """Open a session unless one is in force; return its number.

        Raises:
            ConnectFailedError: nobody listens, or answers, at the address.
        """
        if self.number:
            return self.number
        self.close()
        first = await self._pool.connect(self._address)
        number = next(self._numbers)
        self._session = Session(
            number, self._pool, self._address, first, self.on_over
        )
        return number

    def turn(self, number: int) -> Turn:
        """Return the use of a connection of one session.

        Raises:
            SessionEndedError: another session is in force, or none.
        """
        session = self._session
        if session is None or session.number != number:
            raise SessionEndedError('The session is over.')
        return session.turn()

    def close(self) -> None:
        """End the session in force."""
        if self._session is not None:
            self._session.close()
            self._session = None


def _nothing() -> None:
    """Stand for nobody who wants to be told."""
