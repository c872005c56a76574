"""What the proof that a connection leads to the same process rests on."""

import asyncio
import socket

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import Call
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.http.session import Sessions
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.fronts import refuse_malformed, send_answer

HOST = '127.0.0.1'
LIMIT_S = 5.0
SETTLED_S = 0.05


class Life:
    """One process that takes connections from a listening socket."""

    def __init__(self, listener: socket.socket) -> None:
        self.asked = 0
        self._listener = listener.dup()
        self._http = HttpServer(BootClock(), self._answer, refuse_malformed)

    async def async_listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._http._server = await loop.create_server(
            self._http._accept, sock=self._listener
        )

    def stop_accepting(self) -> None:
        """Leave further connections in the queue; serve those there are."""
        self._http._server.close()

    async def async_crash(self) -> None:
        await self._http.async_close()

    async def _answer(self, _, channel: Channel) -> None:
        self.asked += 1
        send_answer(channel, Answer(200, (), b''))


async def ask(sessions: Sessions, number: int, call: Call) -> None:
    async with sessions.turn(number) as turn:
        await turn.async_fetch(call)


def test_a_connection_that_nobody_accepted_does_not_join() -> None:
    """A supervisor keeps the listening socket across lives of its server.

    A further connection lies in the queue; the server is busy and accepts
    none, but answers on the first one. The further one joins, the server
    crashes, and its next life accepts what lies in the queue. An order of
    the old session reaches it: two lives take a key under one fence.
    """

    async def story() -> int:
        with (
            socket.create_server((HOST, 0)) as listener,
            Pool(BootClock()) as pool,
        ):
            listener.setblocking(False)
            address = f'{HOST}:{listener.getsockname()[1]}'
            call = Call('POST', address, '/')
            sessions = Sessions(pool, address)
            first = Life(listener)
            await first.async_listen()
            number = await sessions.async_open()
            await asyncio.sleep(SETTLED_S)
            first.stop_accepting()
            await ask(sessions, number, call)
            await asyncio.sleep(SETTLED_S)
            await ask(sessions, number, call)
            await first.async_crash()
            second = Life(listener)
            await second.async_listen()
            await asyncio.sleep(SETTLED_S)
            if sessions.number == number:
                await ask(sessions, number, call)
            sessions.close()
            await second.async_crash()
            return second.asked

    assert asyncio.run(asyncio.wait_for(story(), LIMIT_S)) == 0


def test_a_process_that_listens_no_more_lets_nobody_join() -> None:
    """A server stops listening and finishes what is open; the next listens.

    A further connection ends at the next process. The old one still answers
    on the first connection, which is taken as proof that nobody else
    listened. Orders of one session reach both, and both hold the keys.
    """

    async def story() -> tuple[int, int]:
        with Pool(BootClock()) as pool:
            old = socket.create_server((HOST, 0))
            port = old.getsockname()[1]
            address = f'{HOST}:{port}'
            call = Call('POST', address, '/')
            sessions = Sessions(pool, address)
            first = Life(old)
            old.close()
            await first.async_listen()
            number = await sessions.async_open()
            await asyncio.sleep(SETTLED_S)
            first.stop_accepting()
            with socket.create_server((HOST, port)) as new:
                second = Life(new)
            await second.async_listen()
            for _ in range(4):
                await ask(sessions, number, call)
                await asyncio.sleep(SETTLED_S)
            found = first.asked, second.asked
            sessions.close()
            await first.async_crash()
            await second.async_crash()
            return found

    first, second = asyncio.run(asyncio.wait_for(story(), LIMIT_S))
    assert first > 0
    assert second == 0
