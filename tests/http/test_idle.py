"""Tests for the idle timeout of server connections."""

import asyncio
from collections.abc import Awaitable, Callable

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.server import HttpServer
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer

HOST = '127.24.0.1'
PORT = 19_147
IDLE_TIMEOUT_S = 0.5
TEST_TIMEOUT_S = 10.0
GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
Scenario = Callable[
    [HttpServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def run_scenario(scenario: Scenario, work_s: float = 0.0) -> None:
    """Run a scenario on one connection to a server with this work time."""

    async def serve(raw: Request, channel: Channel) -> None:
        await read_body(channel)
        await asyncio.sleep(work_s)
        send_answer(channel, Answer(204, (), b''))

    async def run() -> None:
        server = HttpServer(
            BootClock(), serve, refuse_malformed, IDLE_TIMEOUT_S
        )
        await server.async_listen(HOST, PORT)
        reader, writer = await asyncio.open_connection(HOST, PORT)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(server, reader, writer)
        finally:
            writer.close()
            await server.async_close()
        assert not server.connections

    asyncio.run(run())


async def async_request(reader, writer) -> None:
    writer.write(GET)
    answer = await reader.readuntil(b'\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 204')


def test_connection_without_a_request_is_closed() -> None:
    async def scenario(server, reader, writer) -> None:
        began = asyncio.get_running_loop().time()
        assert await reader.read() == b''
        assert asyncio.get_running_loop().time() - began >= IDLE_TIMEOUT_S * 0.9

    run_scenario(scenario)


def test_idle_timeout_starts_at_last_response() -> None:
    async def scenario(server, reader, writer) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(4):
            await async_request(reader, writer)
            await asyncio.sleep(IDLE_TIMEOUT_S * 0.6)
        await async_request(reader, writer)
        last = loop.time()
        assert await reader.read() == b''
        assert loop.time() - last >= IDLE_TIMEOUT_S * 0.9

    run_scenario(scenario)


def test_work_may_take_longer_than_idle_timeout() -> None:
    async def scenario(server, reader, writer) -> None:
        await async_request(reader, writer)
        await async_request(reader, writer)

    run_scenario(scenario, work_s=IDLE_TIMEOUT_S * 1.7)


def test_partial_head_does_not_extend_idle_timeout() -> None:
    async def scenario(server, reader, writer) -> None:
        writer.write(GET[:9])
        await asyncio.sleep(IDLE_TIMEOUT_S * 0.6)
        writer.write(GET[9:20])
        assert await reader.read() == b''

    run_scenario(scenario)


def test_shorter_idle_timeout_applies_after_next_response() -> None:
    async def scenario(server, reader, writer) -> None:
        server.idle_s = 60.0
        await async_request(reader, writer)
        await async_request(reader, writer)
        server.idle_s = IDLE_TIMEOUT_S
        await async_request(reader, writer)
        assert await reader.read() == b''

    run_scenario(scenario)


def test_close_ends_idle_connection() -> None:
    async def scenario(server, reader, writer) -> None:
        server.idle_s = 60.0
        await async_request(reader, writer)
        await server.async_close()
        assert await reader.read() == b''

    run_scenario(scenario)
