"""Long, cut and malformed requests at the front for callers."""

import asyncio

import pytest

from tests.sidecar.harness import HOST, PLAIN, Harness

HEAD = f'POST /letters/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r1\r\n'


def answer_to(net: int, raw: bytes, limit: int | None = None) -> bytes:
    """Return the first line that a caller gets for these bytes."""

    async def play() -> bytes:
        async with Harness(net) as rig:
            place = await rig.async_add(PLAIN)
            await rig.async_until(lambda: place.process.is_ready)
            if limit is not None:
                place.process._caller_front._room._limit = limit
            host, port = place.callers.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(raw)
            async with asyncio.timeout(5):
                line = await reader.readline()
            writer.close()
            return line

    return asyncio.run(play())


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (f'{HEAD}Shard-Key: x\r\n\r\n'.encode(), b'400'),
        (f'{HEAD}Deadline-Ms: soon\r\n\r\n'.encode(), b'400'),
        (f'{HEAD}Content-Length: 99999999\r\n\r\n'.encode(), b'413'),
        (f'{HEAD}X: {"y" * 40_000}\r\n\r\n'.encode(), b'431'),
    ],
)
def test_what_cannot_be_taken_is_refused(raw, status) -> None:
    assert status in answer_to(71, raw)


def test_a_body_in_chunks_above_the_limit_is_refused() -> None:
    chunk = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
    raw = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'.encode() + chunk * 20
    assert b'413' in answer_to(72, raw)


def test_bodies_never_take_more_memory_than_there_is() -> None:
    """Long bodies come at once, each within the operator's limit. Together
    they would take more memory than the process may use.
    """
    raw = f'{HEAD}Content-Length: 200000\r\n\r\n'.encode() + b'x' * 200_000
    assert b'503' in answer_to(73, raw, limit=100_000)
