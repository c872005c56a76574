"""Tests for finding the response that belongs to a request."""

import asyncio

import pytest

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.exchange import read_response, send_request
from plantaingrade.http.messages import Response
from plantaingrade.http.pool import Pool

ADDRESS = '127.22.0.1:18145'
HEADERS = ((b'host', b'x'), (b'id', b'mine'))
OWN_RESPONSE = b'HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 2\r\n\r\nme'
OTHER_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 5\r\n\r\nother'
)
UNKNOWN_LENGTH_RESPONSE = b'HTTP/1.1 200 OK\r\nid: mine\r\n\r\nhalf'


def is_own(head: Response) -> bool:
    return dict(head.headers).get(b'id') == b'mine'


def exchange(answer: bytes, *, ends: str = 'stays', skipped: int = 1):
    """Return the response read when a server writes these bytes."""

    async def serve(reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        if ends == 'closes':
            writer.close()
        if ends == 'resets':
            writer.transport.abort()

    async def run():
        host, port = ADDRESS.split(':')
        server = await asyncio.start_server(serve, host, int(port))
        with Pool(BootClock()) as pool:
            channel = await pool.acquire(ADDRESS)
            send_request(channel, b'GET', b'/', HEADERS, b'')
            try:
                async with asyncio.timeout(1):
                    return await read_response(channel, is_own, skipped)
            finally:
                server.close()

    return asyncio.run(run())


def test_own_response_is_returned_complete() -> None:
    assert exchange(OWN_RESPONSE).body == b'me'


def test_repeated_response_to_earlier_request_is_skipped() -> None:
    """A server repeats its response to the previous request where the response
    to this one is due. The caller must get its own.
    """
    assert exchange(OTHER_RESPONSE + OWN_RESPONSE).body == b'me'


def test_too_many_responses_to_other_requests_give_none() -> None:
    assert (
        exchange(OTHER_RESPONSE + OTHER_RESPONSE + OWN_RESPONSE, skipped=1)
        is None
    )


def test_response_without_length_ends_at_orderly_close() -> None:
    assert exchange(UNKNOWN_LENGTH_RESPONSE, ends='closes').body == b'half'


@pytest.mark.parametrize(
    ('answer', 'ends'),
    [
        (OWN_RESPONSE[:-1], 'closes'),
        (OWN_RESPONSE[:20], 'closes'),
        (b'', 'closes'),
        (b'nonsense\r\n\r\n', 'closes'),
        (b'', 'resets'),
    ],
)
def test_incomplete_response_is_rejected(answer, ends) -> None:
    with pytest.raises(ChannelClosedError):
        exchange(answer, ends=ends)
