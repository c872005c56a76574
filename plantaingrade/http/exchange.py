"""One request and its whole answer on a client's connection."""

from collections.abc import Callable

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

Accept = Callable[[Response], bool]


class WholeAnswer(Struct, frozen=True):
    """Head and body of an answer that came to its end."""

    head: Response
    body: bytes


def send_request(
    channel: Channel,
    method: bytes,
    target: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
    body: bytes,
) -> None:
    """Write a whole request; nothing is written if the connection is gone.

    Raises:
        ChannelClosedError: the connection was known to be closed.
    """
    channel.send(Request(method, target, headers))
    if body:
        channel.send(Data(body))
    channel.send(EndOfMessage())


async def read_response(
    channel: Channel,
    accept: Accept,
    max_skipped: int = 0,
) -> WholeAnswer | None:
    """Return the answer that belongs to the request.

    A second answer to an earlier request may arrive where the answer to this
    one is due. Answers that ``accept`` turns down are skipped.

    Raises:
        ChannelClosedError: the connection ended before the whole answer.
    """
    for _ in range(max_skipped + 1):
        head = await _read_head(channel)
        body = await read_body(channel)
        if accept(head):
            return WholeAnswer(head, body)
        channel.expect_another_answer()
    return None


async def _read_head(channel: Channel) -> Response:
    while True:
        event = await channel.next_event()
        match event:
            case Response():
                return event
            case InformationalResponse():
                continue
        raise ChannelClosedError('Connection closed without an answer.')
