"""Serve the requests of one connection that begin before their turn."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from itertools import takewhile
from typing import Any, Protocol

from msgspec import Struct, field

from plantaingrade.http.channel import Channel
from plantaingrade.http.const import STATUS_BAD_GATEWAY
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    Part,
    Request,
    Response,
    State,
)
from plantaingrade.http.pipeline import (
    EarlyRequest,
    EarlyTotals,
    Pipeline,
    PipelineLimits,
)
from plantaingrade.supervision.jobs import start_job

# Answer to the current request if this process ends before the request does,
# which may have run.
GIVEN_UP_ANSWER = (
    Response(
        status_code=STATUS_BAD_GATEWAY, headers=((b'content-length', b'0'),)
    ),
    EndOfMessage(),
)
RequestHandler = Callable[[Request, Any], Awaitable[None]]


class ByteBudget(Protocol):
    """Bytes that a process holds for others."""

    def has_room(self) -> bool:
        """Return whether more may be held."""

    def hold(self, size: int) -> None:
        """Count bytes that are held from now on."""

    def release(self, size: int) -> None:
        """Count bytes that are not held any more."""


class ReadAheadHooks(Struct, frozen=True):
    """Decisions and counts beyond one connection.

    ``may_repeat`` returns whether a request is idempotent. ``on_withdrawn`` is
    called for each request that began early and whose answer, if it is there,
    will not be sent. ``totals`` count all connections of the server.
    """

    may_repeat: Callable[[Request], bool]
    budget: ByteBudget
    on_withdrawn: Callable[[Request], None]
    limits: PipelineLimits = PipelineLimits()
    totals: EarlyTotals = field(default_factory=EarlyTotals)


class EarlyChannel:
    """Takes the place of the connection for a request before its turn.

    It has the methods of ``Channel`` that request handlers use. The answer is
    kept in parts, since its framing depends on whether it is the last one of
    the connection.
    """

    __slots__ = ('_channel', '_message', 'answer', 'size', 'unsent_bytes')

    def __init__(self, channel: Channel, message: list[Part]) -> None:
        """Create a channel from which the rest of a message can be read."""
        self._channel = channel
        self._message = deque(message)
        self.answer: list[Part] = []
        # Bytes of the answer without its framing.
        self.size = 0
        # The answer is kept, and nothing of it waits for the caller.
        self.unsent_bytes = 0

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._channel.closed

    @property
    def remote(self) -> tuple[str, int]:
        """Return the address and port of the caller."""
        return self._channel.remote

    def is_peer_gone(self) -> bool:
        """Return whether the caller has closed or reset the connection."""
        return self._channel.is_peer_gone()

    async def next_event(
        self, before_wait: Callable[[], None] | None = None
    ) -> Part:
        """Return the next part of the message, which has arrived whole."""
        return self._message.popleft() if self._message else EndOfMessage()

    def send(self, event: Part) -> None:
        """Keep one part of the answer."""
        match event:
            case Response(headers=headers):
                self.size += sum(
                    len(name) + len(text) for name, text in headers
                )
            case Data(data=chunk):
                self.size += len(chunk)
        self.answer.append(event)

    def flush(self) -> None:
        """Keep all parts until the turn of the request."""

    async def drain(self) -> None:
        """Return at once, as the answer is kept in any case."""


class EarlyRun(EarlyRequest, eq=False, kw_only=True):
    """An early request while it is served."""

    request: Request
    channel: EarlyChannel
    task: asyncio.Task[None] | None = None


def _is_finished(early: EarlyRun) -> bool:
    task = early.task
    if task is None or not task.done() or task.cancelled():
        return False
    return task.exception() is None


class ReadAhead:
    """Begins requests of one connection early, and keeps their answers."""

    __slots__ = (
        '_channel',
        '_current',
        '_hooks',
        '_is_draining',
        '_pipeline',
        '_serve',
    )

    def __init__(
        self,
        channel: Channel,
        serve: RequestHandler,
        hooks: ReadAheadHooks,
        is_draining: Callable[[], bool],
    ) -> None:
        """Attach to the server's end of a connection."""
        self._channel = channel
        self._serve = serve
        self._hooks = hooks
        self._is_draining = is_draining
        self._pipeline = Pipeline(hooks.limits, hooks.totals)
        self._current: Request | None = None
        channel.on_later_message = self._begin_early_requests
        channel.on_closed = self.close

    @property
    def is_ready(self) -> bool:
        """Return whether the caller is there and reads its answers."""
        return not (self._channel.closed or self._channel.is_writing_paused)

    async def async_wait_writable(self, idle_s: float) -> bool:
        """Wait until the caller has read most of the answers sent to it.

        Return False if the caller has left, or has read nothing for ``idle_s``
        seconds.
        """
        channel = self._channel
        while channel.is_writing_paused and not channel.closed:
            unread = channel.transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(idle_s):
                    await channel.drain()
            except TimeoutError:
                if channel.transport.get_write_buffer_size() >= unread:
                    channel.abort()
        return not channel.closed

    def start_turn(self, request: Request) -> EarlyRun | None:
        """Make a request the current one; return its run if it has begun."""
        self._current = request
        return self._pipeline.start_turn()

    async def async_deliver(self, early: EarlyRun) -> None:
        """Send the answer of the current request once it is there."""
        self._channel.http.skip_body()
        self._begin_early_requests()
        try:
            await early.task
        finally:
            self._hooks.budget.release(early.held_bytes)
        is_last = self._pipeline.is_last_turn(is_draining=self._is_draining())
        self._channel.is_last_response = is_last
        for part in early.channel.answer:
            self._channel.send(part)

    def give_up_current(self) -> bool:
        """Fail the current request and send the finished answers behind it.

        Return False if there are none, or if its answer has begun.
        """
        finished = list(takewhile(_is_finished, self._pipeline.early))
        channel = self._channel
        channel.http.skip_body()
        is_possible = (
            channel.http.our_state is State.IDLE
            and channel.http.their_state is State.DONE
        )
        if not finished or not is_possible or channel.closed:
            return False
        for part in GIVEN_UP_ANSWER:
            channel.send(part)
        for early in finished:
            self._send_finished(early, is_last=early is finished[-1])
        return True

    def _send_finished(self, early: EarlyRun, *, is_last: bool) -> None:
        """Make a finished early request the current one and answer it."""
        channel = self._channel
        channel.http.start_next_cycle()
        self.start_turn(channel.http.next_event())
        channel.http.skip_body()
        self._hooks.budget.release(early.held_bytes)
        channel.is_last_response = is_last
        for part in early.channel.answer:
            channel.send(part)

    def close(self) -> None:
        """Begin nothing more, and withdraw all early requests."""
        self._pipeline.close()
        self._withdraw()

    def _begin_early_requests(self) -> None:
        """Begin all requests that may begin early now."""
        while self._is_open():
            message = self._channel.http.find_later_message(
                self._pipeline.depth
            )
            if message is None or not self._may_begin(message[0]):
                return
            self._begin(message)

    def _is_open(self) -> bool:
        channel = self._channel
        is_last = channel.is_last_response or self._is_draining()
        if is_last or channel.closed or channel.is_writing_paused:
            return False
        return channel.http.our_state is not State.CLOSING

    def _may_begin(self, request: Request) -> bool:
        may_repeat = self._hooks.may_repeat
        is_allowed = self._pipeline.may_begin(
            is_current_idempotent=may_repeat(self._current),
            is_idempotent=may_repeat(request),
        )
        return is_allowed and self._hooks.budget.has_room()

    def _begin(self, message: list[Part]) -> None:
        request, *rest = message
        early = EarlyRun(
            request=request, channel=EarlyChannel(self._channel, rest)
        )
        self._pipeline.begin(early)
        early.task = start_job('early-request', self._async_run(early))

    async def _async_run(self, early: EarlyRun) -> None:
        if not self._hooks.may_repeat(early.request):
            # Its route has changed since it was chosen.
            self._withdraw(early)
            if early.request is not self._current:
                return
        await self._serve(early.request, early.channel)
        size = early.channel.size
        if self._pipeline.keep_answer(early, size):
            self._hooks.budget.hold(size)

    def _withdraw(self, first: EarlyRun | None = None) -> None:
        for early in self._pipeline.withdraw(first):
            self._hooks.budget.release(early.held_bytes)
            if early is not first:
                early.task.cancel()
                self._hooks.on_withdrawn(early.request)
