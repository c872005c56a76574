"""Tests for pipelined requests on real connections."""

import asyncio
import resource
from collections import defaultdict

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.pipeline import EarlyTotals, PipelineLimits
from plantaingrade.http.read_ahead import ReadAheadHooks
from plantaingrade.http.server import HttpServer
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer
from tests.harness import HOST, listen_address

TEST_TIMEOUT_S = 20.0
MAX_EARLY = 16
CLOSE = (b'connection', b'close')


class Rig:
    """A server whose requests end when the test says so.

    The first letter of a path tells whether a request is idempotent (``i``) or
    runs once (``o``). The body of an answer is the path.
    """

    def __init__(self) -> None:
        """Create the server without starting it."""
        self.begun: list[str] = []
        self.cancelled: list[str] = []
        self.withdrawn: list[str] = []
        self.most_running = 0
        self.running = 0
        self.arrivals: dict[str, float] = {}
        self.ahead: dict[str, int] = {}
        self.headers: dict[str, tuple] = {}
        self.padding = b''
        self.budget = BufferBudget()
        self.may_end: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self.is_idempotent = is_idempotent
        self.hooks = ReadAheadHooks(
            lambda raw: self.is_idempotent(path_of(raw)),
            self.budget,
            lambda raw: self.withdrawn.append(path_of(raw)),
            PipelineLimits(max_early=MAX_EARLY),
        )
        self.server = HttpServer(
            BootClock(), self._serve, refuse_malformed, 60.0, self.hooks
        )

    async def __aenter__(self) -> 'Rig':
        """Start the server and open a connection."""
        await self.server.async_listen(HOST, 0)
        opened = await self.async_open()
        self.reader, self.writer = opened  # noqa: WPS414
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the connection and the server; nothing may be left over."""
        self.writer.close()
        await self.server.async_close()
        await async_until(lambda: not self.running)
        assert self.hooks.totals == EarlyTotals()
        assert not self.budget.used_bytes

    async def async_open(self):
        """Open a connection."""
        host, port = listen_address(self.server).split(':')
        return await asyncio.open_connection(host, int(port))

    def send(self, *paths: str, more: bytes = b'') -> None:
        """Send requests at once."""
        self.writer.write(b''.join(map(raw_request, paths)) + more)

    def end(self, *paths: str) -> None:
        """Let requests end."""
        for path in paths:
            self.may_end[path].set()

    def parsed_parts(self) -> int:
        """Return how many parts of messages were parsed and not consumed."""
        channels = self.server._channels
        return sum(channel.http.parsed_parts for channel in channels)

    async def async_read(self, count: int = 1) -> list[str]:
        """Return the bodies of the next answers."""
        return [await self._async_read_one() for _ in range(count)]

    async def async_begun(self, *paths: str) -> None:
        """Wait until just these requests have begun."""
        await async_until(lambda: len(self.begun) >= len(paths))
        await async_settle()
        assert self.begun == list(paths)

    async def _async_read_one(self) -> str:
        head = await self.reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().partition(b'content-length: ')[2].split()[0])
        self.last_head = head
        return (await self.reader.readexactly(length)).decode().rstrip('x')

    async def _serve(self, raw: Request, channel: Channel) -> None:
        path = path_of(raw)
        self.begun.append(path)
        self.arrivals[path] = raw.arrived
        self.ahead[path] = raw.ahead
        self.running += 1
        self.most_running = max(self.running, self.most_running)
        try:
            await read_body(channel)
            await self.may_end[path].wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        finally:
            self.running -= 1
        body = path.encode() + self.padding
        send_answer(channel, Answer(200, self.headers.get(path, ()), body))


def path_of(raw: Request) -> str:
    return raw.target.decode().lstrip('/')


def is_idempotent(path: str) -> bool:
    return path.startswith('i')


def raw_request(path: str) -> bytes:
    return f'GET /{path} HTTP/1.1\r\nhost: x\r\n\r\n'.encode()


def names(letter: str, count: int) -> list[str]:
    return [f'{letter}{number}' for number in range(count)]


async def async_until(holds) -> None:
    while not holds():
        await asyncio.sleep(0.001)


async def async_settle() -> None:
    for _ in range(20):
        await asyncio.sleep(0.001)


def play(scenario) -> None:
    """Run a scenario with a server and one connection."""

    async def async_run() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            async with Rig() as rig:
                await scenario(rig)

    asyncio.run(async_run())


def test_idempotent_requests_run_at_the_same_time() -> None:
    """Six look-ups sent at once would take six times as long as one."""

    async def scenario(rig: Rig) -> None:
        paths = names('i', 6)
        rig.send(*paths)
        await rig.async_begun(*paths)
        assert rig.most_running == 6
        assert [rig.ahead[path] for path in paths] == list(range(6))
        assert len(set(rig.arrivals.values())) == 1
        assert rig.server.active_requests == 6
        rig.end(*reversed(paths))
        assert await rig.async_read(6) == paths

    play(scenario)


def test_requests_sent_one_by_one_run_at_the_same_time() -> None:
    async def scenario(rig: Rig) -> None:
        paths = names('i', 4)
        for number, path in enumerate(paths, start=1):
            rig.send(path)
            await rig.async_begun(*paths[:number])
        assert sorted(rig.arrivals.values()) == list(rig.arrivals.values())
        rig.end('i3', 'i1')
        await async_settle()
        rig.end('i0')
        assert await rig.async_read(2) == ['i0', 'i1']
        rig.end('i2')
        assert await rig.async_read(2) == ['i2', 'i3']
        rig.send('i9')
        rig.end('i9')
        assert await rig.async_read() == ['i9']
        assert rig.ahead['i9'] == 0

    play(scenario)


def test_request_that_runs_once_waits_for_answers_before_it() -> None:
    """A booking behind a look-up is sent again if the answer closes."""

    async def scenario(rig: Rig) -> None:
        rig.send('i0', 'i1', 'o2', 'i3', 'i4')
        await rig.async_begun('i0', 'i1')
        rig.end('i1')
        await async_settle()
        assert rig.begun == ['i0', 'i1']
        rig.end('i0')
        assert await rig.async_read(2) == ['i0', 'i1']
        await rig.async_begun('i0', 'i1', 'o2')
        rig.end('o2')
        assert await rig.async_read() == ['o2']
        await rig.async_begun('i0', 'i1', 'o2', 'i3', 'i4')
        rig.end('i4', 'i3')
        assert await rig.async_read(2) == ['i3', 'i4']

    play(scenario)


def test_nothing_begins_behind_an_answer_that_closes() -> None:
    """Its caller sends what is behind it again, whatever its kind."""

    async def scenario(rig: Rig) -> None:
        rig.headers['i1'] = (CLOSE,)
        rig.send('i0', 'i1', 'i2', 'o3')
        await rig.async_begun('i0', 'i1', 'i2')
        rig.end('i1', 'i0')
        assert await rig.async_read(2) == ['i0', 'i1']
        assert await rig.reader.read() == b''
        assert rig.begun == ['i0', 'i1', 'i2']
        assert rig.cancelled == rig.withdrawn == ['i2']

    play(scenario)


def test_work_is_cancelled_when_the_caller_leaves() -> None:
    async def scenario(rig: Rig) -> None:
        rig.send('i0', 'i1', 'i2', 'o3')
        await rig.async_begun('i0', 'i1', 'i2')
        rig.end('i1')
        await async_settle()
        rig.writer.close()
        await async_until(lambda: not rig.server.connections)
        await async_settle()
        assert sorted(rig.cancelled) == ['i0', 'i2']
        assert sorted(rig.withdrawn) == ['i1', 'i2']
        assert rig.begun == ['i0', 'i1', 'i2']

    play(scenario)


def test_work_is_cancelled_after_a_reset() -> None:
    async def scenario(rig: Rig) -> None:
        rig.send('i0', 'i1', 'o2')
        await rig.async_begun('i0', 'i1')
        rig.writer.transport.abort()
        await async_until(lambda: len(rig.cancelled) == 2)
        await async_settle()
        assert rig.begun == ['i0', 'i1']

    play(scenario)


def test_planned_stop_answers_what_has_begun() -> None:
    """SIGTERM must not break requests that run already."""

    async def scenario(rig: Rig) -> None:
        rig.send('i0', 'i1', 'i2')
        await rig.async_begun('i0', 'i1', 'i2')
        rig.server.end_connections()
        rig.send('i3', 'o4')
        await async_settle()
        rig.end('i2', 'i0')
        assert await rig.async_read() == ['i0']
        assert b'connection: close' not in rig.last_head
        rig.end('i1')
        assert await rig.async_read(2) == ['i1', 'i2']
        assert b'connection: close' in rig.last_head
        assert await rig.reader.read() == b''
        assert rig.begun == ['i0', 'i1', 'i2']

    play(scenario)


def test_requests_before_a_broken_one_get_their_answers() -> None:
    async def scenario(rig: Rig) -> None:
        rig.send('i0', 'i1', more=b'nonsense\r\n\r\n')
        await rig.async_begun('i0', 'i1')
        rig.end('i1', 'i0')
        assert await rig.async_read(3) == ['i0', 'i1', '']
        assert b' 400 ' in rig.last_head
        assert await rig.reader.read() == b''

    play(scenario)


def test_requests_before_a_too_long_head_get_their_answers() -> None:
    async def scenario(rig: Rig) -> None:
        rig.send('i0', 'i1')
        await rig.async_begun('i0', 'i1')
        rig.send(more=b'GET / HTTP/1.1\r\nhost: x\r\na: ' + b'y' * 40_000)
        await async_settle()
        rig.end('i1', 'i0')
        assert await rig.async_read(3) == ['i0', 'i1', '']
        assert b' 431 ' in rig.last_head

    play(scenario)


def test_upgrade_is_the_last_request() -> None:
    async def scenario(rig: Rig) -> None:
        upgrade = (
            b'GET /i1 HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n'
            b'upgrade: websocket\r\n\r\n'
        )
        rig.send('i0', more=upgrade + raw_request('i2'))
        await rig.async_begun('i0', 'i1')
        rig.end('i0', 'i1', 'i2')
        assert await rig.async_read(2) == ['i0', 'i1']
        assert b'connection: close' in rig.last_head
        assert await rig.reader.read() == b''

    play(scenario)


def test_request_whose_body_is_incomplete_begins_at_its_turn() -> None:
    """A body that never ends must not hold early requests behind it."""

    async def scenario(rig: Rig) -> None:
        put = b'PUT /i1 HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n'
        rig.send('i0', more=put)
        await rig.async_begun('i0')
        rig.end('i0', 'i1', 'i2')
        assert await rig.async_read() == ['i0']
        await rig.async_begun('i0', 'i1')
        rig.send(more=b'body' + raw_request('i2'))
        assert await rig.async_read(2) == ['i1', 'i2']

    play(scenario)


def test_request_goes_back_if_its_route_is_no_longer_idempotent() -> None:
    """The configuration changes between the choice and the start."""

    async def scenario(rig: Rig) -> None:
        asked = []

        def was_idempotent(path: str) -> bool:
            asked.append(path)
            return path != 'i1' or asked.count('i1') == 1

        rig.is_idempotent = was_idempotent
        rig.send('i0', 'i1', 'i2')
        await rig.async_begun('i0')
        rig.end('i0', 'i1', 'i2')
        assert await rig.async_read(3) == ['i0', 'i1', 'i2']
        assert rig.begun == ['i0', 'i1', 'i2']

    play(scenario)


def test_nothing_begins_early_without_room_for_bytes() -> None:
    async def scenario(rig: Rig) -> None:
        rig.budget.hold(100_000_000)
        rig.send('i0', 'i1')
        await rig.async_begun('i0')
        rig.end('i0', 'i1')
        assert await rig.async_read(2) == ['i0', 'i1']
        rig.budget.release(100_000_000)

    play(scenario)


def test_many_unread_requests_are_bounded_and_others_are_served() -> None:
    """One caller sends 3,000 requests and reads no answer."""

    async def scenario(rig: Rig) -> None:
        paths = names('i', 3000)
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        rig.send(*paths)
        await async_until(lambda: rig.running == MAX_EARLY + 1)
        await async_settle()
        assert rig.most_running == MAX_EARLY + 1
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert grown_kb - before_kb < 8192
        assert rig.parsed_parts() < 2000
        reader, writer = await rig.async_open()
        writer.write(raw_request('o1'))
        rig.end('o1')
        assert (await reader.readuntil(b'o1')).startswith(b'HTTP/1.1 200')
        writer.close()
        rig.end(*paths)
        assert await rig.async_read(3000) == paths
        assert rig.most_running == MAX_EARLY + 2

    play(scenario)


def test_no_turn_begins_while_the_caller_does_not_read() -> None:
    """Answers to 3,000 requests must not pile up for a caller that waits."""

    async def scenario(rig: Rig) -> None:
        paths = names('i', 3000)
        rig.padding = b'x' * 20_000
        rig.end(*paths)
        rig.send(*paths)
        before = -1
        while len(rig.begun) > before:
            before = len(rig.begun)
            await asyncio.sleep(0.1)
        assert 0 < before < 3000
        assert rig.hooks.totals.held_bytes <= MAX_EARLY * 20_100
        assert await rig.async_read(3000) == paths

    play(scenario)
