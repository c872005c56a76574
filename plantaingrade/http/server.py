"""HTTP/1.1 server that handles the requests of each connection in order."""

import asyncio
from collections.abc import Callable

from plantaingrade.clock import Clock
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.const import CALLER_IDLE_S
from plantaingrade.http.messages import (
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Role,
    State,
)
from plantaingrade.http.read_ahead import (
    ReadAhead,
    ReadAheadHooks,
    RequestHandler,
)
from plantaingrade.supervision.jobs import start_job

ProtocolErrorHandler = Callable[[Channel, RemoteProtocolError], None]


class HttpServer:
    """HTTP/1.1 server on one address."""

    __slots__ = (
        '_channels',
        '_clock',
        '_is_closing',
        '_on_protocol_error',
        '_read_ahead_hooks',
        '_serve_request',
        '_server',
        '_serving',
        '_tasks',
        'idle_s',
        'is_draining',
    )

    def __init__(
        self,
        clock: Clock,
        serve: RequestHandler,
        on_protocol_error: ProtocolErrorHandler,
        idle_s: float = CALLER_IDLE_S,
        read_ahead: ReadAheadHooks | None = None,
    ) -> None:
        """Create a server that passes requests to ``serve``.

        A connection that receives no request for ``idle_s`` is closed. After a
        message that cannot be parsed ``on_protocol_error`` is called and the
        connection is closed. With ``read_ahead`` idempotent requests begin
        before those ahead of them on their connection are answered.
        """
        self._read_ahead_hooks = read_ahead
        self.idle_s = idle_s
        self._clock = clock
        self._serve_request = serve
        self._on_protocol_error = on_protocol_error
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._channels: set[Channel] = set()
        # Connections with a request in progress.
        self._serving: set[Channel] = set()
        self._is_closing = False
        self.is_draining = False

    async def async_listen(self, host: str, port: int) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    @property
    def active_requests(self) -> int:
        """Return the number of requests in progress."""
        hooks = self._read_ahead_hooks
        early = 0 if hooks is None else hooks.totals.requests
        return len(self._serving) + early

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._channels)

    def end_connections(self) -> None:
        """Close each connection after its next response; still accept new ones.

        Responses carry ``Connection: close``, and the listening socket stays
        open until ``async_close``, so that no request under way is lost.
        """
        self.is_draining = True

    async def async_close(self) -> None:
        """Stop accepting, close all connections and cancel their requests."""
        self._is_closing = True
        if self._server is not None:
            self._server.close()
        for channel in list(self._channels):
            if channel not in self._serving:
                channel.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self) -> Channel:
        channel = Channel(Role.SERVER, self._clock)
        task = start_job('connection', self._serve(channel))
        self._tasks.add(task)
        self._channels.add(channel)
        task.add_done_callback(self._tasks.discard)
        return channel

    def _make_read_ahead(self, channel: Channel) -> ReadAhead | None:
        if self._read_ahead_hooks is None:
            return None
        return ReadAhead(
            channel,
            self._serve_request,
            self._read_ahead_hooks,
            lambda: self.is_draining,
        )

    async def _serve(self, channel: Channel) -> None:
        ahead = self._make_read_ahead(channel)
        try:
            while await self._serve_one(channel, ahead):
                channel.http.start_next_cycle()
        except (ChannelClosedError, LocalProtocolError):
            channel.abort()
        except asyncio.CancelledError:
            self._on_cancelled(channel, ahead)
        except RemoteProtocolError as error:
            self._on_protocol_error(channel, error)
        finally:
            self._close(channel, ahead)

    def _on_cancelled(self, channel: Channel, ahead: ReadAhead | None) -> None:
        """End a connection whose caller or this process leaves.

        Finished answers must not be lost behind a request that takes longer
        than this process may still run.
        """
        if self._is_closing and ahead is not None and ahead.give_up_current():
            return
        channel.abort()

    def _close(self, channel: Channel, ahead: ReadAhead | None) -> None:
        if ahead is not None:
            ahead.close()
        channel.close()
        self._channels.discard(channel)

    async def _serve_one(
        self, channel: Channel, ahead: ReadAhead | None
    ) -> bool:
        """Serve one request, and return whether another one may follow."""
        try:
            async with asyncio.timeout(self.idle_s):
                event = await channel.next_event()
        except TimeoutError:
            return False
        if not isinstance(event, Request):
            return False
        if ahead is not None and not ahead.is_ready:
            if not await ahead.async_wait_writable(self.idle_s):
                return False
        channel.cancel_on_close(asyncio.current_task())
        self._serving.add(channel)
        try:
            await self._serve_turn(event, channel, ahead)
        finally:
            self._serving.discard(channel)
            channel.cancel_on_close(None)
        # A rejected request may have an unread body. Only bytes that have
        # already arrived are skipped; if more are due, the connection is
        # closed after the response.
        channel.http.skip_body()
        done = channel.http.our_state is State.DONE
        return done and channel.http.their_state is State.DONE

    async def _serve_turn(
        self, request: Request, channel: Channel, ahead: ReadAhead | None
    ) -> None:
        early = None if ahead is None else ahead.start_turn(request)
        if early is not None:
            await ahead.async_deliver(early)
            return
        channel.is_last_response = self.is_draining
        await self._serve_request(request, channel)
