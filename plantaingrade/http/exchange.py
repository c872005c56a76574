"""One request and its complete response on a client connection."""

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    InformationalResponse,
    Request,
    Response,
)

STATUS_CONTINUE = 100
# Sent by a receiver that does not accept the body yet.
STATUS_PROCESSING = 102
# Time for a receiver to accept the body or to tell the sender to wait.
FIRST_RESPONSE_TIMEOUT_S = 0.5
ResponsePredicate = Callable[[Response], bool]
BodyReader = Callable[[Channel, Response], Awaitable[bytes]]


class FullResponse(Struct, frozen=True):
    """Head and body of a complete response."""

    head: Response
    body: bytes


def send_request(
    channel: Channel,
    method: bytes,
    target: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
    body: bytes,
) -> None:
    """Send a complete request.

    Raises:
        ChannelClosedError: the connection is closed and nothing was sent.
    """
    channel.send(Request(method, target, headers))
    if body:
        channel.send(Data(body))
    channel.send(EndOfMessage())


async def async_send_when_accepted(
    channel: Channel,
    method: bytes,
    target: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
    body: bytes,
) -> Response | None:
    """Send a request, and its body once the receiver accepts it.

    Return the head of the final response if it comes before that. Versions that
    do not know this exchange send no interim response: the body is sent after
    ``FIRST_RESPONSE_TIMEOUT_S``.

    Raises:
        ChannelClosedError: the connection ended before the body was sent.
    """
    channel.send(Request(method, target, headers))
    channel.flush()
    try:
        async with asyncio.timeout(FIRST_RESPONSE_TIMEOUT_S):
            interim = await channel.next_event()
    except TimeoutError:
        interim = InformationalResponse(STATUS_CONTINUE)
    while isinstance(interim, InformationalResponse):
        if interim.status_code == STATUS_CONTINUE:
            channel.send(Data(body))
            channel.send(EndOfMessage())
            return None
        interim = await channel.next_event()
    if isinstance(interim, Response):
        return interim
    raise ChannelClosedError('Connection closed before the body was sent.')


async def _async_read_small_body(channel: Channel, _: Response) -> bytes:
    return await read_body(channel)


async def read_response(
    channel: Channel,
    accept: ResponsePredicate,
    max_skipped: int = 0,
    async_read_body: BodyReader = _async_read_small_body,
) -> FullResponse | None:
    """Return the response that belongs to the request.

    A server may repeat its response to an earlier request where the response
    to this one is due. Up to ``max_skipped`` responses that ``accept`` rejects
    are skipped; if no response is accepted, None is returned.
    ``async_read_body`` reads the body that follows a head.

    Raises:
        ChannelClosedError: the connection ended before a complete response.
    """
    for _ in range(max_skipped + 1):
        head = await _read_head(channel)
        body = await async_read_body(channel, head)
        if accept(head):
            return FullResponse(head, body)
        channel.expect_another_response()
    return None


async def _read_head(channel: Channel) -> Response:
    while True:
        event = await channel.next_event()
        match event:
            case Response():
                return event
            case InformationalResponse():
                continue
        raise ChannelClosedError('Connection closed without a response.')
