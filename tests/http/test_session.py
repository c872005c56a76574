"""Connections that lead to one and the same process."""

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
SILENCE_S = 0.1


class Life:
    """One process at the address; it counts what it was asked."""

    def __init__(self) -> None:
        self.asked = 0
        self.is_silent = False
        self._server = HttpServer(BootClock(), self._answer, refuse_malformed)

    async def __aenter__(self) -> 'Life':
        await self._server.async_listen('127.0.0.1', 18_778)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._server.async_close()

    async def _answer(self, _, channel: Channel) -> None:
        self.asked += 1
        if self.is_silent:
            await asyncio.sleep(LIMIT_S)
        send_answer(channel, Answer(200, (), b''))


def tell(story: Callable[[Sessions], Awaitable[None]]) -> None:
    """Run a story with sessions to the address."""

    async def run() -> None:
        with Pool(BootClock()) as pool:
            sessions = Sessions(pool, ADDRESS)
            async with asyncio.timeout(LIMIT_S):
                await story(sessions)
            sessions.close()

    asyncio.run(run())


async def ask(sessions: Sessions, number: int) -> None:
    async with sessions.turn(number) as turn:
        await turn.async_fetch(CALL)


async def until_over(sessions: Sessions) -> None:
    while sessions.number:
        await asyncio.sleep(0)


def test_a_session_ends_with_the_process_that_it_leads_to() -> None:
    """A server crashes, and another process starts at its address.

    Orders of the old session must not reach the new process; they are told
    that nothing was sent.
    """

    async def story(sessions: Sessions) -> None:
        async with Life():
            number = await sessions.async_open()
            for _ in range(3):
                await ask(sessions, number)
        await until_over(sessions)
        async with Life() as second:
            with pytest.raises(SessionEndedError):
                await ask(sessions, number)
            assert await sessions.async_open() == number + 1
            with pytest.raises(SessionEndedError):
                await ask(sessions, number)
            assert second.asked == 0

    tell(story)


def test_orders_that_wait_when_the_process_ends_are_not_sent() -> None:
    """More orders wait than there are connections when the server crashes.

    Those under way fail; those that waited must not go to the next process
    over new connections.
    """

    async def story(sessions: Sessions) -> None:
        async with Life() as first:
            number = await sessions.async_open()
            first.is_silent = True
            orders = [
                asyncio.create_task(ask(sessions, number)) for _ in range(6)
            ]
            while not first.asked:
                await asyncio.sleep(0)
        async with Life() as second:
            outcomes = await asyncio.gather(*orders, return_exceptions=True)
            assert second.asked == 0
        kinds = [type(outcome) for outcome in outcomes]
        assert kinds.count(ChannelClosedError) == first.asked
        assert kinds.count(SessionEndedError) == 6 - first.asked

    tell(story)


def test_a_connection_made_to_the_next_process_does_not_join() -> None:
    """A further connection is made just after the server started again.

    Those before have fallen silent, so that their end does not show. The
    further one must not carry orders: nothing on the others was answered
    since it was made.
    """

    async def story(sessions: Sessions) -> None:
        async with Life():
            number = await sessions.async_open()
            await ask(sessions, number)
            members = sessions._session._members
            for channel in members:
                channel.transport.pause_reading()
        async with Life() as second:
            assert sessions.number == number
            while members:
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(ask(sessions, number), SILENCE_S)
            assert second._server.connections
            with pytest.raises(SessionEndedError):
                await ask(sessions, number)
            assert second.asked == 0

    tell(story)


def test_a_session_outlives_one_of_its_connections() -> None:
    """A server closes a connection now and then, as servers do."""

    async def story(sessions: Sessions) -> None:
        async with Life() as life:
            number = await sessions.async_open()
            for _ in range(20):
                await ask(sessions, number)
                await asyncio.sleep(0.001)
            async with sessions.turn(number) as turn:
                turn.drop()
            for _ in range(5):
                await ask(sessions, number)
            assert sessions.number == number
            assert life.asked == 25

    tell(story)


def test_nobody_at_the_address_is_told() -> None:
    async def story(sessions: Sessions) -> None:
        with pytest.raises(ConnectFailedError):
            await sessions.async_open()
        assert sessions.number == 0

    tell(story)
