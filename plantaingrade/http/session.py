"""Connections that provably lead to one and the same process."""

import asyncio
from collections import deque
from itertools import count
from types import TracebackType

from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import Call, Reply, exchange
from plantaingrade.http.pool import ConnectFailedError, Pool

# Connections of one session: it outlives the loss of one of them.
CHANNELS = 2


class SessionEndedError(PlantaingradeError):
    """Report that no connection of a session is left; nothing was sent."""

    advice = 'Open another session; it may lead to another process.'


class Session:
    """Some connections to one address that end at the same process.

    Failure: a server crashes, and another process starts at its address. Who
    then connects anew, or takes any connection from a pool, speaks to the
    new process as if it were the old one. It shows as words for the old one
    (an order, a fence) that the new one takes. A connection never outlasts
    the process that accepted it, so within one connection this cannot
    happen. A further connection joins once a connection of the session has
    answered what was sent after the further one was made: the process was
    there all the while, and so nobody else listened at its address.
    """

    __slots__ = (
        '_address',
        '_candidates',
        '_free',
        '_is_closed',
        '_members',
        '_opening',
        '_pool',
        '_steps',
        'number',
    )

    def __init__(
        self, number: int, pool: Pool, address: str, first: Channel
    ) -> None:
        """Begin with one connection."""
        self.number = number
        self._is_closed = False
        self._pool = pool
        self._address = address
        self._steps = count()
        self._members = {first}
        self._candidates: deque[tuple[int, Channel]] = deque()
        self._opening: asyncio.Task[None] | None = None
        self._free: asyncio.Queue[Channel | None] = asyncio.Queue()
        self._free.put_nowait(first)

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
        """Wait for a connection that carries nothing.

        Raises:
            SessionEndedError: none is left.
        """
        while True:
            self._wake_next_if_over()
            channel = await self._free.get()
            if channel is None:
                self._free.put_nowait(None)
                raise SessionEndedError('No connection of the session is left.')
            if channel.is_reusable():
                return channel
            self._lose(channel)

    async def async_exchange(self, channel: Channel, call: Call) -> Reply:
        """Send a request and return its whole answer.

        Raises:
            ChannelClosedError: the connection broke; the outcome is unknown.
        """
        step = next(self._steps)
        reply = await exchange(channel, call)
        self._admit(step)
        return reply

    def give_back(self, channel: Channel) -> None:
        """Keep a connection for the next request, or leave it behind."""
        if not self._is_closed and channel.renew():
            self._free.put_nowait(channel)
        else:
            self._lose(channel)
        self._open_spare()

    def _admit(self, answered_step: int) -> None:
        """Let connections join that were made before this request was sent."""
        while self._candidates and self._candidates[0][0] < answered_step:
            _, channel = self._candidates.popleft()
            self._members.add(channel)
            self._free.put_nowait(channel)

    def _lose(self, channel: Channel) -> None:
        channel.close()
        self._members.discard(channel)
        self._wake_next_if_over()

    def _wake_next_if_over(self) -> None:
        if not self._members and self._free.empty():
            self._free.put_nowait(None)

    def _open_spare(self) -> None:
        is_opening = self._opening is not None and not self._opening.done()
        have = len(self._members) + len(self._candidates)
        is_wanted = bool(self._members) and have < CHANNELS
        if is_wanted and not is_opening and not self._is_closed:
            loop = asyncio.get_running_loop()
            self._opening = loop.create_task(self._async_open_spare())

    async def _async_open_spare(self) -> None:
        try:
            channel = await self._pool.connect(self._address)
        except ConnectFailedError:
            return
        self._candidates.append((next(self._steps), channel))


class Turn:
    """Use of one connection of a session for one request."""

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
        self._session.give_back(channel)

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

    __slots__ = ('_address', '_numbers', '_pool', '_session')

    def __init__(self, pool: Pool, address: str) -> None:
        """Open nothing yet."""
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
        self._session = Session(number, self._pool, self._address, first)
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
