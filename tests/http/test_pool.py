"""What a pool tells of the connections that it keeps."""

import asyncio

from plantaingrade.clock import BootClock
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.const import IDLE_TRUSTED_S
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.fronts import refuse_malformed, send_answer

ADDRESS = '127.0.0.1:18777'


class ShiftedClock:
    """The boot clock, put on by a test."""

    def __init__(self) -> None:
        self._clock = BootClock()
        self.shift_s = 0.0

    def now(self) -> float:
        return self._clock.now() + self.shift_s


async def async_answer(_, channel) -> None:
    send_answer(channel, Answer(200, (), b''))


def lost_after(idle_s: float) -> tuple[bool, bool, bool]:
    """Close a kept connection from the other end after some time."""

    async def story() -> tuple[bool, bool, bool]:
        clock = ShiftedClock()
        server = HttpServer(clock, async_answer, refuse_malformed)
        await server.async_listen('127.0.0.1', 18_777)
        pool = Pool(clock)
        await fetch(pool, Call('GET', ADDRESS, '/'))
        before = pool.has_lost(ADDRESS)
        clock.shift_s = idle_s
        await server.async_close()
        await asyncio.sleep(0.05)
        found = pool.has_lost(ADDRESS), pool.has_lost(ADDRESS)
        pool.close()
        return before, *found

    return asyncio.run(story())


def test_a_connection_in_use_that_was_closed_is_told_once() -> None:
    """A server crashes; its connections end, one by one or all."""
    assert lost_after(0.0) == (False, True, False)


def test_a_connection_that_idled_is_closed_as_a_matter_of_course() -> None:
    assert lost_after(IDLE_TRUSTED_S * 2) == (False, False, False)
