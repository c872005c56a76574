"""Body of a caller's request, forwarded as it arrives."""

from collections.abc import AsyncIterator, Callable

from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    InformationalResponse,
)
from plantaingrade.routing.const import MAX_REPLAY_BYTES


class RequestBody:
    """Streams a body, and keeps it for another attempt if it is small."""

    __slots__ = ('_channel', '_size', '_stored_chunks', 'complete')

    def __init__(self, channel: Channel) -> None:
        """Create a body that is read from the caller's connection."""
        self._channel = channel
        self._stored_chunks: list[bytes] = []
        self._size = 0
        self.complete = False

    @property
    def is_replayable(self) -> bool:
        """Return whether all data read so far can be sent again."""
        return self._size <= MAX_REPLAY_BYTES

    async def chunks(
        self,
        before_wait: Callable[[], None],
    ) -> AsyncIterator[bytes]:
        """Yield the chunks read before, then those still to arrive."""
        for stored in tuple(self._stored_chunks):
            yield stored
        while not self.complete:
            chunk = await self._read(before_wait)
            if chunk:
                yield chunk

    async def _read(self, before_wait: Callable[[], None]) -> bytes:
        conn = self._channel.http
        if conn.awaits_continue:
            response = InformationalResponse(status_code=100, headers=[])
            self._channel.send(response)
        match await self._channel.next_event(before_wait):
            case Data() as event:
                return self._store(bytes(event.data))
            case EndOfMessage():
                self.complete = True
                return b''
        raise ChannelClosedError('Caller closed the connection.')

    def _store(self, chunk: bytes) -> bytes:
        self._size += len(chunk)
        if self.is_replayable:
            self._stored_chunks.append(chunk)
        else:
            self._stored_chunks.clear()
        return chunk
