"""HTTP client for small requests whose responses are read into memory."""

from msgspec import Struct

from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.const import MAX_SMALL_BODY_BYTES
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    Pairs,
    Request,
    Response,
)
from plantaingrade.http.pool import Pool


class BodyWithoutEndError(ChannelClosedError):
    """Raised when a body exceeds its limit; the connection is of no use."""

    advice = 'The peer may send without end; use another connection.'


class Reply(Struct, frozen=True):
    """Complete response to a small request.

    ``pairs`` are the headers as sent, including those of the same name.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    pairs: Pairs = ()


class Call(Struct, frozen=True):
    """A small request.

    ``host`` is the value of the ``Host`` header, by default the address.
    ``max_reply_bytes`` limits the body of the response.
    """

    method: str
    address: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    host: str = ''
    max_reply_bytes: int = MAX_SMALL_BODY_BYTES


async def fetch(pool: Pool, call: Call, *, fresh: bool = False) -> Reply:
    """Send a request and return its complete response.

    Raises:
        ConnectFailedError: nothing was sent.
        ChannelClosedError: the connection broke, the outcome is unknown.
    """
    channel = await pool.acquire(call.address, fresh=fresh)
    try:
        reply = await exchange(channel, call)
    except BaseException:
        channel.abort()
        raise
    pool.release(call.address, channel)
    return reply


async def fetch_once(pool: Pool, call: Call) -> Reply:
    """Send a request on a new connection, and close that afterwards.

    Raises:
        ConnectFailedError: nothing was sent.
        ChannelClosedError: the connection broke, the outcome is unknown.
    """
    channel = await pool.connect(call.address)
    try:
        reply = await exchange(channel, call)
    except BaseException:
        channel.abort()
        raise
    channel.close()
    return reply


async def exchange(channel: Channel, call: Call) -> Reply:
    """Send a request over a connection and return its complete response.

    Raises:
        ChannelClosedError: the connection broke, the outcome is unknown.
    """
    channel.send(
        Request.build(
            call.method,
            call.target,
            [
                ('host', call.host or call.address),
                ('content-length', str(len(call.body))),
                *call.headers,
            ],
        ),
    )
    if call.body:
        channel.send(Data(call.body))
    channel.send(EndOfMessage())
    head = await _read_head(channel)
    body = await read_body(channel, call.max_reply_bytes)
    pairs = tuple(head.headers)
    return Reply(head.status_code, dict(pairs), body, pairs)


async def _read_head(channel: Channel) -> Response:
    while True:
        event = await channel.next_event()
        if isinstance(event, Response):
            return event


async def read_body(
    channel: Channel, max_bytes: int = MAX_SMALL_BODY_BYTES
) -> bytes:
    """Return the rest of the body of the current message.

    Raises:
        BodyWithoutEndError: the body is longer than ``max_bytes``.
    """
    chunks = []
    size = 0
    while True:
        event = await channel.next_event()
        if not isinstance(event, Data):
            return b''.join(chunks)
        chunks.append(bytes(event.data))
        size += len(event.data)
        if size > max_bytes:
            raise BodyWithoutEndError(f'Body of over {max_bytes} bytes.')
