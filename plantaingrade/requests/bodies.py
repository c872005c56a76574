"""Buffer whole request bodies within a memory budget."""

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
    """Tracks the bytes of request bodies that are buffered at the moment."""

    __slots__ = ('_limit', 'used_bytes')

    def __init__(self, limit: int = MAX_BODIES_BYTES) -> None:
        """Start with nothing buffered."""
        self._limit = limit
        self.used_bytes = 0

    def has_room(self) -> bool:
        """Return whether the budget is not used up."""
        return self.used_bytes < self._limit

    def hold(self, size: int) -> None:
        """Count bytes that are held besides bodies."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Count bytes of ``hold`` that are not held any more."""
        self.used_bytes -= size

    @asynccontextmanager
    async def read_body(
        self, channel: Channel, max_bytes: int | None
    ) -> AsyncIterator[bytes]:
        """Read and yield a whole body; release its share of the budget on exit.

        Bytes count against the budget as they arrive. A request that exceeds
        it is refused, before the platform kills the process for its memory
        use.

        Raises:
            BodyTooLongError: the body exceeds ``max_bytes``.
            BufferBudgetExceededError: all buffered bodies exceed the budget.
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
                self.used_bytes += len(chunk)
                self._check(size, max_bytes)
                chunks.append(chunk)
            yield b''.join(chunks)
        finally:
            self.used_bytes -= size

    def _check(self, size: int, max_bytes: int | None) -> None:
        if max_bytes is not None and size > max_bytes:
            raise BodyTooLongError('Request body exceeds the size limit.')
        if self.used_bytes > self._limit:
            raise BufferBudgetExceededError('Buffer budget used up.')
