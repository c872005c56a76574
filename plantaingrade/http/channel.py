"""An HTTP/1.1 connection over an asyncio transport, for either role."""

import asyncio
import struct
from collections.abc import Callable
from socket import (
    IPPROTO_TCP,
    SO_LINGER,
    SOL_SOCKET,
    TCP_INFO,
)
from typing import Any

from msgspec.structs import replace

from plantaingrade.clock import Clock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.connection import NEED_DATA, Connection
from plantaingrade.http.const import (
    MAX_HEAD_BYTES,
    MAX_READ_AHEAD_BYTES,
    MAX_UNREAD_BYTES,
)
from plantaingrade.http.messages import (
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Response,
    Role,
    State,
)
from plantaingrade.http.unparsed import UnparsedBytes
from plantaingrade.http.writer import CLOSE_HEADER

MAX_UNSENT_CHUNKS = 4
# The first byte of the system's information on a connection is its state.
TCP_ESTABLISHED = 1
NO_REMOTE = ('', 0)
NO_LINGER = struct.pack('ii', 1, 0)


class ChannelClosedError(PlantaingradeError):
    """Raised when the peer closed the connection or broke the protocol."""

    advice = 'The request can be sent again if it is idempotent.'


class Channel(asyncio.Protocol):
    """Connects a transport with the protocol state, with flow control."""

    __slots__ = (
        '_broken',
        '_clock',
        '_paused',
        '_request_task',
        '_unparsed',
        '_unread',
        '_unsent',
        '_wakeup',
        '_writable',
        'closed',
        'http',
        'is_last_response',
        'last_byte_at',
        'on_closed',
        'on_later_message',
        'refused_ids',
        'remote',
        'transport',
    )

    def __init__(self, role: Role, clock: Clock) -> None:
        """Create a connection in the role of client or server."""
        self.http = Connection(role, MAX_HEAD_BYTES)
        self.transport: Any = None
        # Address and port of the peer.
        self.remote = NO_REMOTE
        self.closed = False
        self.is_last_response = False
        self._broken = False
        self._clock = clock
        self.last_byte_at = clock.now()
        # Hashes of the ids of requests that the peer refused: a second copy of
        # its refusal may follow.
        self.refused_ids: set[int] = set()
        self._unread = 0
        self._unparsed = UnparsedBytes(self.http)
        self._unsent: list[bytes] = []
        self._paused = False
        self._wakeup: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._request_task: asyncio.Task[Any] | None = None
        # Called when the connection was closed by the peer or broke.
        self.on_closed: Callable[[], None] | None = None
        # Called when parts of a request after the current one have arrived.
        self.on_later_message: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport
        peer = transport.get_extra_info('peername') or NO_REMOTE
        self.remote = peer[:2]

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse bytes, and pause reading while too many are unread."""
        self.last_byte_at = self._clock.now()
        self._unread += len(data)
        if not self.closed:
            self._unparsed.receive(data, self.last_byte_at)
        limit = MAX_UNREAD_BYTES
        if self.on_later_message is not None and self.http.has_later_message:
            limit = MAX_READ_AHEAD_BYTES
            self.on_later_message()
        if self._unread > limit and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Handle the end of what the peer sends."""
        self._mark_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection."""
        # Only an orderly close is passed to the parser. After a reset, a
        # response that ends at the close would look complete.
        self._broken = exc is not None and not self.closed
        self._mark_closed()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def pause_writing(self) -> None:
        """Make writers wait while the peer reads slowly."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume the writers."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def cancel_on_close(self, task: asyncio.Task[Any] | None) -> None:
        """Cancel this task when the peer closes the connection."""
        self._request_task = task

    async def next_event(
        self,
        before_wait: Callable[[], None] | None = None,
    ) -> Any:
        """Return the next part of the peer's message.

        Calls ``before_wait`` before it waits for more bytes. Code that copies
        from one connection to another passes the other's ``flush``, so that no
        data stays unsent while the first connection is silent.

        Raises:
            ChannelClosedError: the peer closed the connection or, in the role
                of client, sent an invalid message.
            RemoteProtocolError: the peer sent an invalid message, in the role
                of server.
        """
        while True:
            event = self._parse()
            if event is not NEED_DATA:
                if isinstance(event, EndOfMessage):
                    self._check_later_message()
                return event
            if self.closed:
                raise ChannelClosedError('Connection closed by the peer.')
            self.flush()
            if before_wait is not None:
                before_wait()
            self._unread = 0
            if self._paused:
                self._paused = False
                self.transport.resume_reading()
            self._wakeup = asyncio.get_running_loop().create_future()
            await self._wakeup

    def send(self, event: Any) -> None:
        """Send one part of a message.

        Parts are buffered until the end of the message, ``flush`` or
        ``next_event``.

        Raises:
            ChannelClosedError: the connection is closed.
        """
        if self.closed or self.transport.is_closing():
            raise ChannelClosedError('Connection closed by the peer.')
        if self.is_last_response and isinstance(event, Response):
            event = replace(event, headers=(*event.headers, CLOSE_HEADER))
        raw = self.http.send(event)
        if raw:
            self._unsent.append(raw)
        if isinstance(event, EndOfMessage | InformationalResponse):
            self.flush()

    def flush(self) -> None:
        """Write all buffered parts to the transport in one call.

        The head, a short body and the end of a message take one system call
        instead of three.
        """
        if self._unsent and not self.transport.is_closing():
            self.transport.write(b''.join(self._unsent))
        self._unsent.clear()

    @property
    def is_writing_paused(self) -> bool:
        """Return whether the peer reads more slowly than is written."""
        return self._writable is not None

    async def drain(self) -> None:
        """Wait until the transport accepts more data from a slow peer."""
        if len(self._unsent) > MAX_UNSENT_CHUNKS:
            self.flush()
        if self._writable is not None:
            # A waiter that gives up must not cancel the future of the others.
            await asyncio.wait((self._writable,))

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes the system has not taken over yet."""
        if self.closed or self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()

    def expect_another_response(self) -> None:
        """Read another response after one that belongs to another request."""
        self.http.expect_another_response()

    def is_peer_gone(self) -> bool:
        """Return whether the peer has closed or reset the connection.

        This process may not have read that yet: a busy process finds a request
        and the end of its connection at the same time.
        """
        if self.closed or self.transport.is_closing():
            return True
        sock = self.transport.get_extra_info('socket')
        return sock.getsockopt(IPPROTO_TCP, TCP_INFO, 1)[0] != TCP_ESTABLISHED

    def has_unread_input(self) -> bool:
        """Return whether bytes of a further message have arrived."""
        return self.http.has_unread

    def is_reusable(self) -> bool:
        """Return whether another request may be sent.

        Bytes that arrived without a request belong to no response, so a
        connection that has received any is not reusable.
        """
        return not self.closed and not self.has_unread_input()

    def prepare_reuse(self) -> bool:
        """Prepare for another request, and return whether that is possible.

        It is possible after a complete response, or if nothing was sent.
        """
        if self.http.our_state is not State.IDLE:
            try:
                self.http.start_next_cycle()
            except LocalProtocolError:
                return False
        return self.is_reusable()

    def close(self) -> None:
        """Flush buffered data and close the connection."""
        if self.transport is not None:
            self.flush()
            self.transport.close()
        self.closed = True

    def abort(self) -> None:
        """Reset the connection, so that no partial response looks complete.

        A linger time of zero makes the system send a reset. After an orderly
        close, an HTTP/1.0 caller would take a partial response of unknown
        length as complete.
        """
        self.closed = True
        if self.transport is None:
            return
        sock = self.transport.get_extra_info('socket')
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
        self.transport.abort()

    def _parse(self) -> Any:
        try:
            event = self.http.next_event()
            if event is NEED_DATA and self._unparsed.parse_more():
                event = self.http.next_event()
            return event
        except RemoteProtocolError as error:
            if self.http.role is Role.SERVER:
                raise
            raise ChannelClosedError(
                'Invalid or incomplete response.'
            ) from error

    def _check_later_message(self) -> None:
        if self.on_later_message is None:
            return
        self._unparsed.parse_more()
        if self.http.has_later_message:
            self.on_later_message()

    def _mark_closed(self) -> None:
        if self.closed:
            self._wake()
            return
        self.closed = True
        if not self._broken:
            self.http.receive(b'')
        if self._request_task is not None:
            self._request_task.cancel()
        self._wake()
        if self.on_closed is not None:
            self.on_closed()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)
