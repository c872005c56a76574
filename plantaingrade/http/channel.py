"""One HTTP/1.1 connection, either side."""

import asyncio
import struct
from collections.abc import Callable
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_LINGER,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)
from typing import Any

from msgspec.structs import replace

from plantaingrade.clock import Clock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.connection import NEED_DATA, Connection
from plantaingrade.http.const import MAX_HEAD_BYTES, MAX_UNREAD_BYTES
from plantaingrade.http.messages import (
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Response,
    Role,
    State,
)
from plantaingrade.http.writer import CLOSE_HEADER

MAX_UNSENT_CHUNKS = 4
# Probes of a silent connection, in whole seconds as the system takes them; a
# dead one is found within three seconds.
PROBE_S = 1
PROBE_COUNT = 2
NO_LINGER = struct.pack('ii', 1, 0)


class ChannelClosedError(PlantaingradeError):
    """Report that the peer closed the connection or broke the protocol."""

    advice = 'The request can be sent again if it is idempotent.'


class Channel(asyncio.Protocol):
    """Join a transport with a connection's state, with back-pressure."""

    __slots__ = (
        '_broken',
        '_busy_task',
        '_clock',
        '_paused',
        '_unread',
        '_unsent',
        '_wakeup',
        '_writable',
        'closed',
        'http',
        'is_last_response',
        'last_byte_at',
        'on_end',
        'transport',
    )

    def __init__(self, role: Role, clock: Clock) -> None:
        """Prepare a connection in the role of client or server."""
        self.http = Connection(role, MAX_HEAD_BYTES)
        self.transport: Any = None
        self.closed = False
        self.is_last_response = False
        self._broken = False
        self._clock = clock
        self.last_byte_at = clock.now()
        self._unread = 0
        self._unsent: list[bytes] = []
        self._paused = False
        self._wakeup: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._busy_task: asyncio.Task[Any] | None = None
        # Called when the peer has ended the connection.
        self.on_end: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Read bytes, and pause the peer when too many wait."""
        self.last_byte_at = self._clock.now()
        self._unread += len(data)
        if not self.closed:
            self.http.receive(data)
        if self._unread > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the peer sends no more."""
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        # Only an orderly end is passed on: after a reset an answer that ends
        # with the connection would look whole.
        self._broken = exc is not None and not self.closed
        self._end()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def pause_writing(self) -> None:
        """Make writers wait for a slow reader."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def watch(self, task: asyncio.Task[Any] | None) -> None:
        """Cancel this task when the peer hangs up."""
        self._busy_task = task

    async def next_event(
        self,
        before_wait: Callable[[], None] | None = None,
    ) -> Any:
        """Return the next part of the peer's message.

        What reads from one connection to write to another passes the other's
        ``flush``, so that nothing lies here unsent while the first is silent.

        Raises:
            ChannelClosedError: the peer broke off or broke the protocol.
            RemoteProtocolError: only in the server's role.
        """
        while True:
            event = self._parse()
            if event is not NEED_DATA:
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
        """Write one part of a message.

        Raises:
            ChannelClosedError: the connection is gone.
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
        """Hand what was sent to the transport, in one write.

        A head, a short body and the end of a message thus cost one system
        call instead of three.
        """
        if self._unsent and not self.transport.is_closing():
            self.transport.write(b''.join(self._unsent))
        self._unsent.clear()

    async def drain(self) -> None:
        """Wait until a slow reader has caught up."""
        if len(self._unsent) > MAX_UNSENT_CHUNKS:
            self.flush()
        if self._writable is not None:
            await self._writable

    def expect_another_answer(self) -> None:
        """Read on for the own answer after one that was not."""
        self.http.expect_another_answer()

    def has_unread_input(self) -> bool:
        """Tell whether bytes of a further message wait."""
        return self.http.has_unread

    def probe(self) -> None:
        """Have the system probe the connection while it is silent.

        A connection that was forgotten between its ends would be waited on for
        ever.
        """
        connected = self.transport.get_extra_info('socket')
        connected.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        connected.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, PROBE_S)
        connected.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, PROBE_S)
        connected.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT)

    def is_reusable(self) -> bool:
        """Tell whether another request may be sent.

        Bytes that came while nothing was asked for belong to no request, so
        a connection that has any is of no use.
        """
        return not self.closed and not self.has_unread_input()

    def renew(self) -> bool:
        """Make ready for another request; tell whether that is possible.

        It is after a whole answer, or if nothing was sent.
        """
        if self.http.our_state is not State.IDLE:
            try:
                self.http.start_next_cycle()
            except LocalProtocolError:
                return False
        return self.is_reusable()

    def close(self) -> None:
        """Close after what is written has gone out."""
        if self.transport is not None:
            self.flush()
            self.transport.close()
        self.closed = True

    def abort(self) -> None:
        """Break the connection off, so that no half answer looks whole.

        With no linger time the system sends a reset: an orderly end would make
        a fragment of unknown length look whole to a caller of HTTP/1.0.
        """
        self.closed = True
        if self.transport is None:
            return
        connected = self.transport.get_extra_info('socket')
        if connected is not None and not self.transport.is_closing():
            connected.setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
        self.transport.abort()

    def _parse(self) -> Any:
        try:
            return self.http.next_event()
        except RemoteProtocolError as error:
            if self.http.role is Role.SERVER:
                raise
            raise ChannelClosedError('Answer broken off.') from error

    def _end(self) -> None:
        if self.closed:
            self._wake()
            return
        self.closed = True
        if not self._broken:
            self.http.receive(b'')
        if self._busy_task is not None:
            self._busy_task.cancel()
        self._wake()
        if self.on_end is not None:
            self.on_end()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)
