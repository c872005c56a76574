"""Accept connections and serve the requests on them in order."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from plantaingrade.clock import Clock
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.connection import NEED_DATA
from plantaingrade.http.const import CALLER_IDLE_S
from plantaingrade.http.messages import (
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Role,
    State,
)

RequestHandler = Callable[[Request, Channel], Awaitable[None]]
Refuser = Callable[[Channel, RemoteProtocolError], None]
# The standard library's logger in place of absl's: a start is spared 10 ms of
# processor time of one core, and lines here tell of faults of the program only.
_LOGGER = logging.getLogger(__name__)


class HttpServer:
    """Listen on one address until closed."""

    __slots__ = (
        '_active_requests',
        '_channels',
        '_clock',
        '_serve_request',
        '_refuse',
        '_server',
        '_tasks',
        'idle_s',
        'leaving',
    )

    def __init__(
        self,
        clock: Clock,
        serve: RequestHandler,
        refuse: Refuser,
        idle_s: float = CALLER_IDLE_S,
    ) -> None:
        """Prepare a server whose requests go to ``serve``.

        A connection without a request for ``idle_s`` is closed.
        """
        self.idle_s = idle_s
        self._clock = clock
        self._serve_request = serve
        self._refuse = refuse
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._channels: set[Channel] = set()
        self._active_requests = 0
        self.leaving = False

    async def async_listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    @property
    def active_requests(self) -> int:
        """Return how many requests are being served."""
        return self._active_requests

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._channels)

    def end_connections(self) -> None:
        """End each connection after its next answer; still take new ones.

        Callers are told ``Connection: close`` with an answer, and the socket
        closes last, so that no request on its way meets a closed connection.
        """
        self.leaving = True

    async def async_close(self) -> None:
        """Stop accepting, and end the connections that are idle."""
        if self._server is not None:
            self._server.close()
        for channel in list(self._channels):
            channel.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self) -> Channel:
        channel = Channel(Role.SERVER, self._clock)
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        self._channels.add(channel)
        task.add_done_callback(self._note_end)
        return channel

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error('A connection failed', exc_info=task.exception())

    async def _serve(self, channel: Channel) -> None:
        try:
            while await self._serve_one(channel):
                channel.http.start_next_cycle()
        except (ChannelClosedError, LocalProtocolError):
            channel.abort()
        except asyncio.CancelledError:
            channel.abort()
        except RemoteProtocolError as error:
            self._refuse(channel, error)
        finally:
            channel.close()
            self._channels.discard(channel)

    async def _serve_one(self, channel: Channel) -> bool:
        """Serve one request; tell whether the connection can take more."""
        try:
            async with asyncio.timeout(self.idle_s):
                event = await channel.next_event()
        except TimeoutError:
            return False
        if not isinstance(event, Request):
            return False
        channel.watch(asyncio.current_task())
        channel.is_last_response = self.leaving
        self._active_requests += 1
        try:
            await self._serve_request(event, channel)
        finally:
            self._active_requests -= 1
            channel.watch(None)
        await self._skip_body(channel)
        done = channel.http.our_state is State.DONE
        return done and channel.http.their_state is State.DONE

    async def _skip_body(self, channel: Channel) -> None:
        # A refused request may have an unread body; only what has arrived
        # already is skipped, else the connection ends after the answer.
        while channel.http.their_state is State.BODY:
            event = channel.http.next_event()
            if event is NEED_DATA:
                return
