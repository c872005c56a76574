"""One attempt to send a request to an upstream."""

import asyncio

from msgspec import Struct
from msgspec.structs import replace

from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.const import (
    HEADER_OUTCOME,
    HEADER_OWNER,
    HEADER_REASON,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
)
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    Event,
    InformationalResponse,
    Request,
    Response,
)
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.metrics import Metrics
from plantaingrade.outcome import (
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from plantaingrade.routing.body import RequestBody
from plantaingrade.routing.const import UNRESPONSIVE_AFTER_S
from plantaingrade.routing.entity import Head, Headers, RouteRequest


class Upstream(Struct, frozen=True):
    """Address of one attempt, and the headers added to the request."""

    address: str
    headers: Headers
    direct: bool
    fresh: bool = False


AttemptOutcome = Head | NotRun | Unknown


class UpstreamClient:
    """Sends requests on pooled connections; detects unresponsive ones."""

    __slots__ = ('_metrics', 'pool')

    def __init__(self, pool: Pool, metrics: Metrics) -> None:
        """Create a client that uses the pool."""
        self.pool = pool
        self._metrics = metrics

    async def async_send(
        self,
        upstream: Upstream,
        request: RouteRequest,
        body: RequestBody,
        left_s: float,
    ) -> AttemptOutcome:
        """Send a request; repeat it if the connection is unresponsive.

        A connection may stay unresponsive while new ones work. An idempotent
        request is repeated on a new one, with at least half of its time left;
        other requests are never sent on a connection that was idle.
        """
        if not request.is_idempotent:
            return await attempt(self.pool, upstream, request, body)
        try:
            async with asyncio.timeout(min(UNRESPONSIVE_AFTER_S, left_s / 2)):
                return await attempt(self.pool, upstream, request, body)
        except TimeoutError:
            self.on_unresponsive(upstream.address)
        if not body.is_replayable:
            return Unknown(UnknownReason.TIMEOUT)
        retry = replace(upstream, fresh=True)
        return await attempt(self.pool, retry, request, body)

    def on_unresponsive(self, address: str) -> None:
        """Close the idle connections to an address with an unresponsive one.

        A device that lost the state of one connection has often lost that of
        all, and each of them would lose another request.
        """
        self._metrics.on_event('silent connection')
        self.pool.close_idle(address)


async def attempt(
    pool: Pool,
    upstream: Upstream,
    request: RouteRequest,
    body: RequestBody,
) -> AttemptOutcome:
    """Send the request; return the response head or a typed failure."""
    try:
        channel = await pool.acquire(upstream.address, fresh=upstream.fresh)
    except ConnectFailedError:
        return NotRun(NotRunReason.CONNECT_FAILED)
    try:
        channel.send(_build_head(upstream, request))
    except ChannelClosedError:
        # The connection was closed before any byte was written.
        channel.abort()
        return NotRun(NotRunReason.CONNECT_FAILED)
    try:
        response = await _exchange(channel, body)
    except ChannelClosedError:
        channel.abort()
        return Unknown(UnknownReason.BROKEN)
    except BaseException:
        # Closing the connection passes a cancellation or a timeout on to the
        # upstream.
        channel.abort()
        raise
    return _check_request_id(request, upstream, response, channel)


def _build_head(upstream: Upstream, request: RouteRequest) -> Request:
    """Return the request head of one attempt.

    HTTP/1.0 callers may omit the host header, which HTTP/1.1 requires.
    """
    headers = (*request.headers, *upstream.headers)
    if not any(name == b'host' for name, _ in headers):
        headers = ((b'host', upstream.address.encode()), *headers)
    return Request(request.method, request.target, headers)


async def _exchange(channel: Channel, body: RequestBody) -> Response:
    sender = None
    if body.complete:
        await _send_body(channel, body)
    else:
        # An upstream may respond before it has read the whole body.
        loop = asyncio.get_running_loop()
        sender = loop.create_task(_send_body(channel, body))
    try:
        return await _read_head(channel, sender)
    finally:
        if sender is not None and not sender.done():
            sender.cancel()


async def _send_body(channel: Channel, body: RequestBody) -> None:
    async for chunk in body.chunks(channel.flush):
        channel.send(Data(chunk))
        await channel.drain()
    channel.send(EndOfMessage())


async def _read_head(
    channel: Channel,
    sender: asyncio.Task[None] | None,
) -> Response:
    while True:
        event = await _next_event(channel, sender)
        match event:
            case Response():
                return event
            case InformationalResponse():
                continue
        raise ChannelClosedError('Upstream closed before a response.')


async def _next_event(
    channel: Channel,
    sender: asyncio.Task[None] | None,
) -> Event:
    if sender is None:
        return await channel.next_event()
    reading = asyncio.ensure_future(channel.next_event())
    try:
        await asyncio.wait(
            {reading, sender}, return_when=asyncio.FIRST_COMPLETED
        )
        if sender.done() and sender.exception() is not None:
            raise sender.exception()
        return await reading
    finally:
        reading.cancel()


def _check_request_id(
    request: RouteRequest,
    upstream: Upstream,
    response: Response,
    channel: Channel,
) -> AttemptOutcome:
    headers = dict(response.headers)
    # A server may echo the request id; then it must be the right one.
    echoed = headers.get(HEADER_REQUEST_ID, request.request_id)
    if echoed != request.request_id:
        channel.abort()
        return Unknown(UnknownReason.MISMATCH)
    return Head(response, channel, upstream.address, upstream.direct)


def peer_outcome(head: Head) -> NotRun | Unknown | None:
    """Return the failure reported by another process, or None."""
    headers = dict(head.response.headers)
    reason = headers.get(HEADER_REASON, b'').decode('ascii', 'replace')
    after = headers.get(HEADER_RETRY_AFTER, b'1')
    retry_after_s = int(after) if after.isdigit() else 1
    hint = headers.get(HEADER_OWNER, b'').decode('ascii', 'replace')
    match headers.get(HEADER_OUTCOME):
        case b'not-run':
            return NotRun(_parse_reason(reason), retry_after_s, hint)
        case b'unknown':
            timeout = reason == UnknownReason.TIMEOUT
            kind = UnknownReason.TIMEOUT if timeout else UnknownReason.BROKEN
            return Unknown(kind, retry_after_s)
    return None


def _parse_reason(text: str) -> NotRunReason:
    try:
        return NotRunReason(text)
    except ValueError:
        return NotRunReason.SHED
