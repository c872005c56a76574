"""Tests for the reuse of idle connections by a pool."""

import asyncio

import pytest

from plantaingrade.clock import BootClock
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer
from tests.malformed import ODD_ADDRESSES

ADDRESS = '127.0.0.1:18779'
CALL = Call('GET', ADDRESS, '/')


class ShiftedClock:
    """The boot clock, shifted by a test."""

    def __init__(self) -> None:
        self._clock = BootClock()
        self.shift_s = 0.0

    def now(self) -> float:
        return self._clock.now() + self.shift_s


async def async_answer(_, channel) -> None:
    send_answer(channel, Answer(200, (), b''))


@pytest.mark.parametrize(
    ('max_idle_s', 'idle_s', 'opened'),
    [(2.0, 1.0, 1), (2.0, 3.0, 2), (20.0, 3.0, 1), (20.0, 21.0, 2)],
)
def test_connection_is_reused_up_to_max_idle_time(
    max_idle_s, idle_s, opened
) -> None:
    """Two processes exchange requests every few seconds.

    With too short a limit each request opened a connection, which took as long
    as a third of the request.
    """

    async def scenario() -> int:
        clock = ShiftedClock()
        server = HttpServer(clock, async_answer, refuse_malformed)
        await server.async_listen('127.0.0.1', 18_779)
        with Pool(clock, tcp_keepalive=True, max_idle_s=max_idle_s) as pool:
            await fetch(pool, CALL)
            clock.shift_s = idle_s
            await fetch(pool, CALL)
            found = pool.opened
        await server.async_close()
        return found

    assert asyncio.run(scenario()) == opened


def test_rejected_connection_stays_idle_for_others() -> None:
    async def scenario() -> int:
        clock = BootClock()
        server = HttpServer(clock, async_answer, refuse_malformed)
        await server.async_listen('127.0.0.1', 18_779)
        with Pool(clock) as pool:
            await fetch(pool, CALL)
            other = await pool.acquire(ADDRESS, accepts=lambda _: False)
            other.close()
            await fetch(pool, CALL)
            found = pool.opened
        await server.async_close()
        return found

    assert asyncio.run(scenario()) == 2


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_address_cannot_be_connected_to(address) -> None:
    """Guards against a task that ends by the address in another's entry."""

    async def scenario() -> None:
        with Pool(BootClock()) as pool, pytest.raises(ConnectFailedError):
            await pool.acquire(address)

    asyncio.run(scenario())
