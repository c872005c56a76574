"""How long a connection may wait for its next request."""

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
LIMIT_S = 0.5
PATIENCE_S = 10.0
GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
Story = Callable[
    [HttpServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def play(story: Story, work_s: float = 0.0) -> None:
    """Play a story on one connection to a server that works so long."""

    async def serve(raw: Request, channel: Channel) -> None:
        await read_body(channel)
        await asyncio.sleep(work_s)
        send_answer(channel, Answer(204, (), b''))

    async def run() -> None:
        server = HttpServer(BootClock(), serve, refuse_malformed, LIMIT_S)
        await server.async_listen(HOST, PORT)
        reader, writer = await asyncio.open_connection(HOST, PORT)
        try:
            async with asyncio.timeout(PATIENCE_S):
                await story(server, reader, writer)
        finally:
            writer.close()
            await server.async_close()
        assert not server.connections

    asyncio.run(run())


async def async_ask(reader, writer) -> None:
    writer.write(GET)
    answer = await reader.readuntil(b'\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 204')


def test_a_connection_without_a_request_ends() -> None:
    async def story(server, reader, writer) -> None:
        began = asyncio.get_running_loop().time()
        assert await reader.read() == b''
        assert asyncio.get_running_loop().time() - began >= LIMIT_S * 0.9

    play(story)


def test_a_connection_ends_this_long_after_its_last_answer() -> None:
    async def story(server, reader, writer) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(4):
            await async_ask(reader, writer)
            await asyncio.sleep(LIMIT_S * 0.6)
        await async_ask(reader, writer)
        last = loop.time()
        assert await reader.read() == b''
        assert loop.time() - last >= LIMIT_S * 0.9

    play(story)


def test_work_may_take_longer_than_a_wait() -> None:
    async def story(server, reader, writer) -> None:
        await async_ask(reader, writer)
        await async_ask(reader, writer)

    play(story, work_s=LIMIT_S * 1.7)


def test_half_a_head_does_not_lengthen_the_wait() -> None:
    async def story(server, reader, writer) -> None:
        writer.write(GET[:9])
        await asyncio.sleep(LIMIT_S * 0.6)
        writer.write(GET[9:20])
        assert await reader.read() == b''

    play(story)


def test_a_limit_that_is_shortened_holds_from_the_next_wait() -> None:
    async def story(server, reader, writer) -> None:
        server.idle_s = 60.0
        await async_ask(reader, writer)
        await async_ask(reader, writer)
        server.idle_s = LIMIT_S
        await async_ask(reader, writer)
        assert await reader.read() == b''

    play(story)


def test_a_stop_ends_a_connection_that_waits() -> None:
    async def story(server, reader, writer) -> None:
        server.idle_s = 60.0
        await async_ask(reader, writer)
        await server.async_close()
        assert await reader.read() == b''

    play(story)
