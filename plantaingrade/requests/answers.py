"""Read answers of servers and of other processes within a memory budget.

A faulty server may send an answer without end. What is read of it counts
against the bytes that the process may hold, like the bodies of callers. Each
answer has an account of its own, so that a large one is read whole beside some
without end.
"""

from types import TracebackType

from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Data, Response
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.held_bytes import Account, Side


class CountedAnswer:
    """Counts the bytes of one answer while the context runs."""

    __slots__ = ('_account', '_budget', '_counted', 'arrived')

    def __init__(self, budget: BufferBudget, channel: Channel) -> None:
        """Count nothing yet of what arrives on a connection."""
        host, port = channel.transport.get_extra_info('sockname')[:2]
        self._account = Account(Side.ANSWERS, f'{host}:{port}')
        self._budget = budget
        self._counted = 0
        # Bytes of the body that have arrived.
        self.arrived = 0

    def __enter__(self) -> 'CountedAnswer':
        """Return the reader."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Count nothing any more; the answer is passed on at once."""
        self._release()

    async def async_read(self, channel: Channel, head: Response) -> bytes:
        """Return the body that follows a head; drop one read before.

        Room for a body of known length is taken before it is read, so that
        several large ones follow each other.

        Raises:
            BufferBudgetExceededError: there is no room for the body.
            ChannelClosedError: the connection broke.
        """
        self._release()
        self.arrived = 0
        chunks: list[bytes] = []
        while True:
            event = await channel.next_event()
            if not isinstance(event, Data):
                return b''.join(chunks)
            chunk = bytes(event.data)
            if not chunks:
                await self._async_reserve_declared(head)
            self.arrived += len(chunk)
            await self._async_reserve_arrived()
            chunks.append(chunk)

    async def _async_reserve_declared(self, head: Response) -> None:
        length = dict(head.headers).get(b'content-length', b'')
        if not length.isdigit():
            return
        size = int(length)
        await self._budget.async_reserve_ahead(size, self._account)
        self._counted = size

    async def _async_reserve_arrived(self) -> None:
        missing = self.arrived - self._counted
        if missing <= 0:
            return
        await self._budget.async_reserve(missing, self._account)
        self._counted += missing

    def _release(self) -> None:
        self._budget.release(self._counted, self._account)
        self._counted = 0
