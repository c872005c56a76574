"""One try to have a request answered by an upstream."""

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
from plantaingrade.routing.const import SILENT_AFTER_S
from plantaingrade.routing.entity import Head, Headers, RouteRequest


class Upstream(Struct, frozen=True):
    """Where one try goes, and with which headers of our own."""

    address: str
    headers: Headers
    direct: bool
    fresh: bool = False


AttemptOutcome = Head | NotRun | Unknown


class Attempts:
    """Make tries on pooled connections, and find the silent ones."""

    __slots__ = ('_metrics', 'pool')

    def __init__(self, pool: Pool, metrics: Metrics) -> None:
        """Use one pool."""
        self.pool = pool
        self._metrics = metrics

    async def async_try(
        self,
        upstream: Upstream,
        request: RouteRequest,
        body: RequestBody,
        left_s: float,
    ) -> AttemptOutcome:
        """Try once; try again if the connection keeps silent.

        A connection may be silent for good while new ones work. Idempotent work
        goes again on a fresh one, while half of its time is left at least;
        other work never takes a connection that idled.
        """
        if not request.is_idempotent:
            return await attempt(self.pool, upstream, request, body)
        try:
            async with asyncio.timeout(min(SILENT_AFTER_S, left_s / 2)):
                return await attempt(self.pool, upstream, request, body)
        except TimeoutError:
            self.distrust(upstream.address)
        if not body.is_replayable:
            return Unknown(UnknownReason.TIMEOUT)
        again = replace(upstream, fresh=True)
        return await attempt(self.pool, again, request, body)

    def distrust(self, address: str) -> None:
        """Close the idle connections beside one that kept silent.

        What lost track of one connection has often lost track of all; each
        would swallow a request of its own.
        """
        self._metrics.on_event('silent connection')
        self.pool.close_idle(address)


async def attempt(
    pool: Pool,
    upstream: Upstream,
    request: RouteRequest,
    body: RequestBody,
) -> AttemptOutcome:
    """Send the request and return the answer's head, or a typed failure."""
    try:
        channel = await pool.acquire(upstream.address, fresh=upstream.fresh)
    except ConnectFailedError:
        return NotRun(NotRunReason.CONNECT_FAILED)
    try:
        channel.send(_head_of(upstream, request))
    except ChannelClosedError:
        # The connection was known to be closed before a byte was written.
        channel.abort()
        return NotRun(NotRunReason.CONNECT_FAILED)
    try:
        response = await _exchange(channel, body)
    except ChannelClosedError:
        channel.abort()
        return Unknown(UnknownReason.BROKEN)
    except BaseException:
        # Closing passes a cancellation or a deadline on to the upstream.
        channel.abort()
        raise
    return _check(request, upstream, response, channel)


def _head_of(upstream: Upstream, request: RouteRequest) -> Request:
    """Return the head of one try.

    A caller of HTTP/1.0 need not name a host, and this request must.
    """
    headers = (*request.headers, *upstream.headers)
    if not any(name == b'host' for name, _ in headers):
        headers = ((b'host', upstream.address.encode()), *headers)
    return Request(request.method, request.target, headers)


async def _exchange(channel: Channel, body: RequestBody) -> Response:
    pump = None
    if body.complete:
        await _send_body(channel, body)
    else:
        # An upstream may answer before it has read the whole body.
        loop = asyncio.get_running_loop()
        pump = loop.create_task(_send_body(channel, body))
    try:
        return await _read_head(channel, pump)
    finally:
        if pump is not None and not pump.done():
            pump.cancel()


async def _send_body(channel: Channel, body: RequestBody) -> None:
    async for chunk in body.chunks(channel.flush):
        channel.send(Data(chunk))
        await channel.drain()
    channel.send(EndOfMessage())


async def _read_head(
    channel: Channel,
    pump: asyncio.Task[None] | None,
) -> Response:
    while True:
        event = await _next_event(channel, pump)
        match event:
            case Response():
                return event
            case InformationalResponse():
                continue
        raise ChannelClosedError('Upstream closed without an answer.')


async def _next_event(
    channel: Channel,
    pump: asyncio.Task[None] | None,
) -> Event:
    if pump is None:
        return await channel.next_event()
    reading = asyncio.ensure_future(channel.next_event())
    try:
        await asyncio.wait({reading, pump}, return_when=asyncio.FIRST_COMPLETED)
        if pump.done() and pump.exception() is not None:
            raise pump.exception()
        return await reading
    finally:
        reading.cancel()


def _check(
    request: RouteRequest,
    upstream: Upstream,
    response: Response,
    channel: Channel,
) -> AttemptOutcome:
    headers = dict(response.headers)
    # Servers that name the request they answer are held to it.
    echoed = headers.get(HEADER_REQUEST_ID, request.request_id)
    if echoed != request.request_id:
        channel.abort()
        return Unknown(UnknownReason.MISMATCH)
    return Head(response, channel, upstream.address, upstream.direct)


def peer_outcome(head: Head) -> NotRun | Unknown | None:
    """Return the failure that another process reports, if it is one."""
    headers = dict(head.response.headers)
    reason = headers.get(HEADER_REASON, b'').decode('ascii', 'replace')
    after = headers.get(HEADER_RETRY_AFTER, b'1')
    retry_after_s = int(after) if after.isdigit() else 1
    hint = headers.get(HEADER_OWNER, b'').decode('ascii', 'replace')
    match headers.get(HEADER_OUTCOME):
        case b'not-run':
            return NotRun(_reason(reason), retry_after_s, hint)
        case b'unknown':
            timeout = reason == UnknownReason.TIMEOUT
            kind = UnknownReason.TIMEOUT if timeout else UnknownReason.BROKEN
            return Unknown(kind, retry_after_s)
    return None


def _reason(text: str) -> NotRunReason:
    try:
        return NotRunReason(text)
    except ValueError:
        return NotRunReason.SHED
