"""One request and the answer that belongs to it."""

import asyncio

import pytest

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.exchange import read_response, send_request
from plantaingrade.http.messages import Response
from plantaingrade.http.pool import Pool

ADDRESS = '127.22.0.1:18145'
HEADERS = ((b'host', b'x'), (b'id', b'mine'))
MINE = b'HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 2\r\n\r\nme'
OTHER = b'HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 5\r\n\r\nother'
OPEN = b'HTTP/1.1 200 OK\r\nid: mine\r\n\r\nhalf'


def is_mine(head: Response) -> bool:
    return dict(head.headers).get(b'id') == b'mine'


def exchange(answer: bytes, *, ends: str = 'stays', skipped: int = 1):
    """Return what a caller gets when a server writes these bytes."""

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
                    return await read_response(channel, is_mine, skipped)
            finally:
                server.close()

    return asyncio.run(run())


def test_the_own_answer_is_returned_whole() -> None:
    assert exchange(MINE).body == b'me'


def test_a_late_second_answer_to_an_earlier_request_is_skipped() -> None:
    """A server repeats its answer to the request before, and that arrives
    where the answer to this one is due. The caller must get its own.
    """
    assert exchange(OTHER + MINE).body == b'me'


def test_answers_to_others_only_are_no_answer() -> None:
    assert exchange(OTHER + OTHER + MINE, skipped=1) is None


def test_an_answer_without_length_ends_with_an_orderly_close() -> None:
    assert exchange(OPEN, ends='closes').body == b'half'


@pytest.mark.parametrize(
    ('answer', 'ends'),
    [
        (MINE[:-1], 'closes'),
        (MINE[:20], 'closes'),
        (b'', 'closes'),
        (b'nonsense\r\n\r\n', 'closes'),
        (b'', 'resets'),
    ],
)
def test_an_answer_that_breaks_off_is_none(answer, ends) -> None:
    with pytest.raises(ChannelClosedError):
        exchange(answer, ends=ends)
