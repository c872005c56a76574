"""Read bodies of requests whole, within bounds on memory."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Data
from plantaingrade.requests.const import MAX_BODIES_BYTES
from plantaingrade.requests.errors import (
    BodyTooLongError,
    BufferBudgetExceededError,
)


class BufferBudget:
    """Bytes of bodies that are in memory now."""

    __slots__ = ('_limit', 'taken')

    def __init__(self, limit: int = MAX_BODIES_BYTES) -> None:
        """Start empty."""
        self._limit = limit
        self.taken = 0

    @asynccontextmanager
    async def read_body(
        self, channel: Channel, max_bytes: int | None
    ) -> AsyncIterator[bytes]:
        """Yield a whole body, and give its room back in the end.

        Room is taken as bytes arrive; who finds none is refused, before the
        platform ends the process for its memory.

        Raises:
            BodyTooLongError: the body is above the limit for one.
            BufferBudgetExceededError: the bodies in memory leave no room.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            while True:
                event = await channel.next_event()
                if not isinstance(event, Data):
                    break
                chunk = bytes(event.data)
                size += len(chunk)
                self.taken += len(chunk)
                self._check(size, max_bytes)
                chunks.append(chunk)
            yield b''.join(chunks)
        finally:
            self.taken -= size

    def _check(self, size: int, max_bytes: int | None) -> None:
        if max_bytes is not None and size > max_bytes:
            raise BodyTooLongError('Body too long.')
        if self.taken > self._limit:
            raise BufferBudgetExceededError('No room for another body.')
