"""For how long a pool trusts a connection that idles."""

import asyncio

import pytest

from plantaingrade.clock import BootClock
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer

ADDRESS = '127.0.0.1:18779'
CALL = Call('GET', ADDRESS, '/')


class ShiftedClock:
    """The boot clock, put on by a test."""

    def __init__(self) -> None:
        self._clock = BootClock()
        self.shift_s = 0.0

    def now(self) -> float:
        return self._clock.now() + self.shift_s


async def async_answer(_, channel) -> None:
    send_answer(channel, Answer(200, (), b''))


@pytest.mark.parametrize(
    ('trusted_s', 'idle_s', 'opened'),
    [(2.0, 1.0, 1), (2.0, 3.0, 2), (20.0, 3.0, 1), (20.0, 21.0, 2)],
)
def test_a_connection_is_used_again_while_it_is_trusted(
    trusted_s, idle_s, opened
) -> None:
    """Two processes talk to each other every few seconds.

    Each request opened a connection, which took as long as a third of it.
    """

    async def story() -> int:
        clock = ShiftedClock()
        server = HttpServer(clock, async_answer, refuse_malformed)
        await server.async_listen('127.0.0.1', 18_779)
        with Pool(clock, is_probed=True, trusted_s=trusted_s) as pool:
            await fetch(pool, CALL)
            clock.shift_s = idle_s
            await fetch(pool, CALL)
            found = pool.opened
        await server.async_close()
        return found

    assert asyncio.run(story()) == opened
