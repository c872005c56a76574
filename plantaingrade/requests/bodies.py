"""Buffer request bodies and unread answers within one memory budget."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress

from msgspec import Struct

from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Data
from plantaingrade.requests.const import (
    BODY_WAIT_S,
    MAX_BODIES_BYTES,
    UNREAD_ANSWER_S,
)
from plantaingrade.requests.errors import (
    BodyTooLongError,
    BufferBudgetExceededError,
)
from plantaingrade.requests.held_bytes import Account, HeldBytes, Room, Side

# Bodies that wait for room have arrived in part. They may use this share of the
# budget beyond it.
MAX_WAITING_SHARE = 0.5
NO_ACCOUNT = Account(Side.CALLERS, '')


def account_of(side: Side, channel: Channel) -> Account:
    """Return the account of the peer of a connection."""
    return Account(side, *channel.remote)


class Waiter(Struct, eq=False):
    """Bytes that wait for room; ``granted`` is done once they are counted."""

    size: int
    account: Account
    granted: asyncio.Future[None]
    # Whether the bytes are in memory already.
    has_arrived: bool

    @classmethod
    def create(
        cls, size: int, account: Account, *, has_arrived: bool
    ) -> 'Waiter':
        """Return a waiter of the running event loop."""
        granted = asyncio.get_running_loop().create_future()
        return cls(size, account, granted, has_arrived)


class BufferBudget:
    """Limits the bytes that this process holds for callers and peers."""

    __slots__ = ('_waiters', 'held')

    def __init__(self, limit: int = MAX_BODIES_BYTES) -> None:
        """Start with nothing buffered; ``limit`` is in bytes."""
        self.held = HeldBytes(limit)
        self._waiters: dict[Waiter, None] = {}

    @property
    def limit(self) -> int:
        """Return how many bytes may be held."""
        return self.held.limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self.held.limit = limit

    @property
    def used_bytes(self) -> int:
        """Return how many bytes are held."""
        return self.held.used_bytes

    def has_room(self) -> bool:
        """Return whether the budget is not used up."""
        return self.held.used_bytes < self.held.limit

    def hold(self, size: int, account: Account = NO_ACCOUNT) -> None:
        """Count bytes that are held from now on, whether there is room."""
        self.held.add(account, size)

    def release(self, size: int, account: Account = NO_ACCOUNT) -> None:
        """Count bytes as no longer held; lets readers that wait go on."""
        self.held.remove(account, size)
        for waiter in self._waiters:
            is_free = not waiter.granted.done()
            if is_free and self._has_room_for(waiter.size, waiter.account):
                self.hold(waiter.size, waiter.account)
                waiter.granted.set_result(None)

    @contextmanager
    def holding(self, size: int, account: Account) -> Iterator[None]:
        """Count bytes as held while the context runs."""
        self.hold(size, account)
        try:
            yield
        finally:
            self.release(size, account)

    async def async_reserve(self, size: int, account: Account) -> None:
        """Wait until an account may have ``size`` more bytes held, and count.

        Whoever waits doesn't read, so its peer has to stop sending.

        Raises:
            BufferBudgetExceededError: there was no room for ``BODY_WAIT_S``, or
                too much waits already.
        """
        if self._has_room_for(size, account):
            self.hold(size, account)
            return
        waiting = sum(
            waiter.size for waiter in self._waiters if waiter.has_arrived
        )
        if waiting + size > self.limit * MAX_WAITING_SHARE:
            raise BufferBudgetExceededError('Too many bodies wait for memory.')
        waiter = Waiter.create(size, account, has_arrived=True)
        await self._async_wait(waiter, BODY_WAIT_S)

    async def async_reserve_ahead(self, size: int, account: Account) -> None:
        """Wait for room for bytes that have not arrived; count them as held.

        Whoever waits holds nothing, so there is no limit of time.

        Raises:
            BufferBudgetExceededError: there never is as much room.
        """
        if self.held.room_for(account, size) is Room.NEVER:
            raise BufferBudgetExceededError('Body exceeds the buffer budget.')
        if self._has_room_for(size, account):
            self.hold(size, account)
            return
        waiter = Waiter.create(size, account, has_arrived=False)
        await self._async_wait(waiter, None)

    @asynccontextmanager
    async def read_body(
        self,
        channel: Channel,
        max_bytes: int | None,
        account: Account = NO_ACCOUNT,
        declared: int = 0,
    ) -> AsyncIterator[bytes]:
        """Read and yield a whole body; release its share of the budget on exit.

        Bytes count against the budget as they arrive. While there is no room
        no more are read, and in the end the request is refused, before the
        platform kills the process for its memory use. ``declared`` is the
        length that its sender declared, if any.

        Raises:
            BodyTooLongError: the body exceeds ``max_bytes``.
            BufferBudgetExceededError: the budget has no room for the body.
        """
        if self.held.room_for(account, declared) is Room.NEVER:
            raise BufferBudgetExceededError('Body exceeds the buffer budget.')
        chunks: list[bytes] = []
        try:
            async for chunk in _chunks(channel, max_bytes):
                await self.async_reserve(len(chunk), account)
                chunks.append(chunk)
            # Its answer needs room as well.
            await self.async_reserve(0, account)
            yield b''.join(chunks)
        finally:
            self.release(sum(map(len, chunks)), account)

    async def async_flush(self, channel: Channel, account: Account) -> None:
        """Wait until the peer has read the answer; count what is unsent.

        While it reads, it holds no slot of a server: only memory and its
        connection. A peer that takes nothing for ``UNREAD_ANSWER_S`` is cut
        off.
        """
        unsent = channel.unsent_bytes
        while unsent:
            with self.holding(unsent, account):
                await _async_wait_sent(channel)
            left = channel.unsent_bytes
            if left >= unsent:
                channel.abort()
                return
            unsent = left

    def _has_room_for(self, size: int, account: Account) -> bool:
        return self.held.room_for(account, max(1, size)) is Room.FREE

    async def _async_wait(self, waiter: Waiter, wait_s: float | None) -> None:
        self._waiters[waiter] = None
        try:
            async with asyncio.timeout(wait_s):
                await asyncio.shield(waiter.granted)
        except TimeoutError as error:
            if not waiter.granted.done():
                raise BufferBudgetExceededError('No memory in time.') from error
        except asyncio.CancelledError:
            if waiter.granted.done():
                self.release(waiter.size, waiter.account)
            raise
        finally:
            self._waiters.pop(waiter)


async def _chunks(
    channel: Channel, max_bytes: int | None
) -> AsyncIterator[bytes]:
    size = 0
    while True:
        event = await channel.next_event()
        if not isinstance(event, Data):
            return
        chunk = bytes(event.data)
        size += len(chunk)
        if max_bytes is not None and size > max_bytes:
            raise BodyTooLongError('Request body exceeds the size limit.')
        yield chunk


async def _async_wait_sent(channel: Channel) -> None:
    """Wait until no bytes are unsent, or for at most ``UNREAD_ANSWER_S``."""
    # With a limit of zero the transport reports when all is sent.
    channel.transport.set_write_buffer_limits(high=0)
    with suppress(TimeoutError):
        async with asyncio.timeout(UNREAD_ANSWER_S):
            await channel.drain()
