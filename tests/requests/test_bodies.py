"""Bodies and unread answers on real connections, within one budget."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Request
from plantaingrade.http.server import HttpServer
from plantaingrade.requests.bodies import BufferBudget, account_of
from plantaingrade.requests.entity import Answer
from plantaingrade.requests.errors import BufferBudgetExceededError
from plantaingrade.requests.held_bytes import Side
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer

BODIES = 'plantaingrade.requests.bodies'
HOST = '127.0.0.1'
WAIT_LIMIT_S = 10.0
BODY = b'b' * 30_000
# More than the system buffers for a connection on the loopback interface.
LONG = b'a' * 30_000_000
POST = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n' % len(BODY)
GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'


async def async_until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not holds():
            await asyncio.sleep(0.005)


@asynccontextmanager
async def listening(serve: Callable[[Request, Channel], Awaitable[None]]):
    server = HttpServer(BootClock(), serve, refuse_malformed)
    loop = asyncio.get_running_loop()
    server._server = await loop.create_server(server._accept, HOST, 0)
    try:
        yield server._server.sockets[0].getsockname()[1]
    finally:
        await server.async_close()


class Endpoint:
    """Reads a body, waits until it may answer, and answers."""

    def __init__(self, limit: int, answer: bytes = b'done') -> None:
        self.budget = BufferBudget(limit)
        self.may_answer = asyncio.Event()
        self._answer = answer

    async def async_handle(self, raw: Request, channel: Channel) -> None:
        account = account_of(Side.CALLERS, channel)
        length = int(dict(raw.headers).get(b'content-length', b'0'))
        try:
            async with self.budget.read_body(channel, None, account, length):
                await self.may_answer.wait()
                send_answer(channel, Answer(200, (), self._answer))
        except BufferBudgetExceededError:
            send_answer(channel, Answer(503, (), b''))
        await self.budget.async_flush(channel, account)


async def async_status(port: int, raw: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(raw)
    line = await reader.readline()
    writer.close()
    return line.split()[1]


def test_body_waits_for_room_and_is_served_then() -> None:
    """More bodies arrive at a time than there is memory for, as in a burst:
    the last waits for those that are under way and is not refused.
    """

    async def scenario() -> None:
        endpoint = Endpoint(100_000)
        async with listening(endpoint.async_handle) as port:
            tasks = [
                asyncio.create_task(async_status(port, POST + BODY))
                for _ in range(3)
            ]
            await async_until(lambda: len(endpoint.budget._waiters) == 1)
            endpoint.may_answer.set()
            assert await asyncio.gather(*tasks) == [b'200', b'200', b'200']
            await async_until(lambda: endpoint.budget.used_bytes == 0)

    asyncio.run(scenario())


def test_body_without_room_is_refused_in_the_end(monkeypatch) -> None:
    """Requests under way keep all memory: the caller hears so while it still
    has time to go elsewhere.
    """
    monkeypatch.setattr(f'{BODIES}.BODY_WAIT_S', 0.05)

    async def scenario() -> None:
        endpoint = Endpoint(100_000)
        async with listening(endpoint.async_handle) as port:
            first = asyncio.create_task(async_status(port, POST + BODY))
            await async_until(lambda: endpoint.budget.used_bytes == len(BODY))
            endpoint.budget.hold(100_000)
            assert await async_status(port, POST + BODY) == b'503'
            assert await async_status(port, GET) == b'503'
            endpoint.budget.release(100_000)
            endpoint.may_answer.set()
            assert await first == b'200'

    asyncio.run(scenario())


def test_unread_answer_counts_until_its_caller_leaves() -> None:
    """A caller reads nothing: its answer counts against the budget, another
    caller is served, and nothing is counted once the first has left.
    """

    async def scenario() -> None:
        endpoint = Endpoint(200_000_000, LONG)
        endpoint.may_answer.set()
        async with listening(endpoint.async_handle) as port:
            _, writer = await asyncio.open_connection(HOST, port, limit=1)
            writer.write(GET)
            await async_until(lambda: endpoint.budget.used_bytes > 1_000_000)
            assert await async_status(port, GET) == b'200'
            writer.transport.abort()
            await async_until(lambda: endpoint.budget.used_bytes == 0)

    asyncio.run(scenario())


@pytest.mark.parametrize(('reads', 'is_whole'), [(True, True), (False, False)])
def test_only_a_caller_that_reads_nothing_is_cut_off(
    reads, is_whole, monkeypatch
) -> None:
    """An answer that is read slowly is delivered whole; one that is not read
    does not keep its memory for good.
    """
    monkeypatch.setattr(f'{BODIES}.UNREAD_ANSWER_S', 0.1)

    async def scenario() -> None:
        endpoint = Endpoint(200_000_000, LONG)
        endpoint.may_answer.set()
        async with listening(endpoint.async_handle) as port:
            reader, writer = await asyncio.open_connection(HOST, port, limit=1)
            writer.write(GET)
            await async_until(lambda: endpoint.budget.used_bytes > 1_000_000)
            got = 0
            while reads and got < len(LONG):
                got += len(await reader.read(1_000_000))
                await asyncio.sleep(0.01)
            await async_until(lambda: endpoint.budget.used_bytes == 0)
            assert (got >= len(LONG)) == is_whole
            writer.close()

    asyncio.run(scenario())
