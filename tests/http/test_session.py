"""Tests for sessions, whose connections lead to the same process."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import Call
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.http.session import SessionEndedError, Sessions
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer

ADDRESS = '127.0.0.1:18778'
CALL = Call('GET', ADDRESS, '/')
LIMIT_S = 10.0
SILENCE_TIMEOUT_S = 0.1


class ServerProcess:
    """A server at the address, as one process; it counts its requests."""

    def __init__(self) -> None:
        self.request_count = 0
        self.is_silent = False
        self._server = HttpServer(BootClock(), self._answer, refuse_malformed)

    async def __aenter__(self) -> 'ServerProcess':
        await self._server.async_listen('127.0.0.1', 18_778)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._server.async_close()

    async def _answer(self, _, channel: Channel) -> None:
        self.request_count += 1
        if self.is_silent:
            await asyncio.sleep(LIMIT_S)
        send_answer(channel, Answer(200, (), b''))


def run_scenario(scenario: Callable[[Sessions], Awaitable[None]]) -> None:
    """Run a scenario with sessions to the address."""

    async def run() -> None:
        with Pool(BootClock()) as pool:
            sessions = Sessions(pool, ADDRESS)
            async with asyncio.timeout(LIMIT_S):
                await scenario(sessions)
            sessions.close()

    asyncio.run(run())


async def send_request(sessions: Sessions, number: int) -> None:
    async with sessions.checkout(number) as checkout:
        await checkout.async_fetch(CALL)


async def wait_until_ended(sessions: Sessions) -> None:
    while sessions.number:
        await asyncio.sleep(0)


def test_session_ends_with_its_server_process() -> None:
    """A server crashes, and another process starts at its address.

    Orders of the old session must not reach the new process; they fail with
    an error that says that nothing was sent.
    """

    async def scenario(sessions: Sessions) -> None:
        async with ServerProcess():
            number = await sessions.async_open()
            for _ in range(3):
                await send_request(sessions, number)
        await wait_until_ended(sessions)
        async with ServerProcess() as second:
            with pytest.raises(SessionEndedError):
                await send_request(sessions, number)
            assert await sessions.async_open() == number + 1
            with pytest.raises(SessionEndedError):
                await send_request(sessions, number)
            assert second.request_count == 0

    run_scenario(scenario)


def test_waiting_orders_are_not_sent_after_process_ends() -> None:
    """The server crashes while more orders wait than there are connections.

    Orders in flight fail; waiting ones must not reach the next process over
    new connections.
    """

    async def scenario(sessions: Sessions) -> None:
        async with ServerProcess() as first:
            number = await sessions.async_open()
            first.is_silent = True
            orders = [
                asyncio.create_task(send_request(sessions, number))
                for _ in range(6)
            ]
            while not first.request_count:
                await asyncio.sleep(0)
        async with ServerProcess() as second:
            outcomes = await asyncio.gather(*orders, return_exceptions=True)
            assert second.request_count == 0
        kinds = [type(outcome) for outcome in outcomes]
        assert kinds.count(ChannelClosedError) == first.request_count
        assert kinds.count(SessionEndedError) == 6 - first.request_count

    run_scenario(scenario)


def test_connection_to_next_process_does_not_join_session() -> None:
    """A new connection is opened just after the server was restarted.

    The end of the older connections is not seen, since they are not read. The
    new one must not be used for orders: no response has arrived on the older
    ones since it was opened.
    """

    async def scenario(sessions: Sessions) -> None:
        async with ServerProcess():
            number = await sessions.async_open()
            await send_request(sessions, number)
            channels = sessions._session._channels
            for channel in channels:
                channel.transport.pause_reading()
        async with ServerProcess() as second:
            assert sessions.number == number
            while channels:
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(
                        send_request(sessions, number), SILENCE_TIMEOUT_S
                    )
            assert second._server.connections
            with pytest.raises(SessionEndedError):
                await send_request(sessions, number)
            assert second.request_count == 0

    run_scenario(scenario)


def test_session_outlives_one_of_its_connections() -> None:
    """A session must not end because one of its connections was closed."""

    async def scenario(sessions: Sessions) -> None:
        async with ServerProcess() as process:
            number = await sessions.async_open()
            for _ in range(20):
                await send_request(sessions, number)
                await asyncio.sleep(0.001)
            async with sessions.checkout(number) as checkout:
                checkout.drop()
            for _ in range(5):
                await send_request(sessions, number)
            assert sessions.number == number
            assert process.request_count == 25

    run_scenario(scenario)


def test_open_fails_if_nothing_listens_at_the_address() -> None:
    async def scenario(sessions: Sessions) -> None:
        with pytest.raises(ConnectFailedError):
            await sessions.async_open()
        assert sessions.number == 0

    run_scenario(scenario)
