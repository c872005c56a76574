"""Too long and malformed requests at the endpoint for callers."""

import asyncio

import pytest

from tests.sidecar.harness import HOST, PLAIN, Harness

HEAD = f'POST /letters/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r1\r\n'


def status_line_for(net: int, raw: bytes, limit: int | None = None) -> bytes:
    """Return the status line that a caller receives for these bytes."""

    async def async_send_raw() -> bytes:
        async with Harness(net) as harness:
            node = await harness.async_add(PLAIN)
            await harness.async_until(lambda: node.process.is_ready)
            if limit is not None:
                node.process._caller_endpoint.buffer_budget._limit = limit
            host, port = node.callers.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(raw)
            async with asyncio.timeout(5):
                line = await reader.readline()
            writer.close()
            return line

    return asyncio.run(async_send_raw())


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
def test_invalid_request_is_refused(raw, status) -> None:
    assert status in status_line_for(71, raw)


def test_chunked_body_above_the_limit_is_refused() -> None:
    chunk = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
    raw = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'.encode() + chunk * 20
    assert b'413' in status_line_for(72, raw)


def test_bodies_above_the_buffer_budget_are_refused() -> None:
    """Long bodies arrive at once, each within the configured limit. Together
    they would need more memory than the process may use.
    """
    raw = f'{HEAD}Content-Length: 200000\r\n\r\n'.encode() + b'x' * 200_000
    assert b'503' in status_line_for(73, raw, limit=100_000)
