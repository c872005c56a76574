"""Tests for the HTTP server and client: framing, bodies, malformed input."""

import asyncio

import pytest

from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import Call, fetch, read_body
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    Request,
    Response,
    Role,
)
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.routing.respond import refuse_malformed, send_plain
from tests.cluster import FakeClock
from tests.harness import RouterHarness, header, listen_address, request, status
from tests.routing.test_outcomes import run

LARGE_BODY = b'x' * 3_000_000
CHUNK = b'y' * 262_144


@pytest.mark.parametrize(
    ('raw', 'code'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET /casebook/1 HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nhost: x\r\na: ' + b'y' * 40_000, 431),
        (request('GET', '/nobody/1'), 404),
        (request('GET', '/'), 404),
        (request('GET', '/casebook/'), 400),
        (request('GET', x_request_timeout_ms='soon'), 400),
        (request('GET', x_request_timeout_ms=0), 504),
        (request('GET', x_request_timeout_ms=-5), 504),
        (request('GET', x_forwarded_hop='many'), 400),
    ],
)
def test_malformed_input_is_rejected_and_others_are_served(
    raw: bytes,
    code: int,
) -> None:
    """Malformed input gets an error response; later requests are served."""

    async def scenario() -> None:
        async with RouterHarness() as rig:
            answer = await rig.send(raw)
            assert status(answer) == code
            assert header(answer, b'x-outcome') == b'not-run'
            assert not rig.upstream.requests
            assert status(await rig.send(request('GET'))) == 200

    run(scenario)


def test_pipelined_requests_are_answered_in_order() -> None:
    """A caller sends three requests before it reads the first response."""

    async def scenario() -> None:
        async with RouterHarness() as rig:
            raw = b''.join(
                b'POST /casebook/1 HTTP/1.1\r\nhost: x\r\n'
                b'content-length: 3\r\n\r\n' + body
                for body in (b'one', b'two')
            )
            answer = await rig.send(raw + request('POST', body=b'end'))
            places = [answer.index(word) for word in (b'one', b'two', b'end')]
            assert places == sorted(places)
            assert rig.upstream.bodies == [b'one', b'two', b'end']

    run(scenario)


def test_large_bodies_stream_both_ways() -> None:
    """Bodies far larger than all buffers arrive complete in both directions."""

    async def scenario() -> None:
        async with RouterHarness() as rig:
            answer = await rig.send(request('POST', body=LARGE_BODY))
            assert rig.upstream.bodies == [LARGE_BODY]
            assert answer.partition(b'\r\n\r\n')[2] == LARGE_BODY

    run(scenario)


def test_chunked_body_arrives_complete() -> None:
    """A caller sends a chunked body, whose length is not known in advance."""

    async def scenario() -> None:
        async with RouterHarness() as rig:
            raw = (
                b'POST /casebook/1 HTTP/1.1\r\nhost: x\r\n'
                b'connection: close\r\ntransfer-encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            )
            assert (await rig.send(raw)).endswith(b'abcde')

    run(scenario)


def test_expect_continue_is_answered() -> None:
    """A caller waits for a 100 response before it sends its body."""

    async def scenario() -> None:
        async with RouterHarness() as rig:
            reader, writer = await rig.open()
            writer.write(
                b'POST /casebook/1 HTTP/1.1\r\nhost: x\r\n'
                b'connection: close\r\nexpect: 100-continue\r\n'
                b'content-length: 4\r\n\r\n',
            )
            go_on = await reader.readuntil(b'\r\n\r\n')
            assert go_on.startswith(b'HTTP/1.1 100')
            writer.write(b'body')
            assert (await reader.read()).endswith(b'body')
            writer.close()

    run(scenario)


def test_draining_server_closes_connections_with_a_response() -> None:
    """A planned stop must not break a request: the response says ``close``."""

    async def scenario() -> None:
        async with RouterHarness() as rig:
            rig.server.end_connections()
            reader, writer = await rig.open()
            writer.write(b'GET /casebook/1 HTTP/1.1\r\nhost: x\r\n\r\n')
            answer = await reader.read()
            assert status(answer) == 200
            assert header(answer, b'connection') == b'close'
            writer.close()

    run(scenario)


async def _serve(respond: object, clock: FakeClock) -> HttpServer:
    server = HttpServer(clock, respond, refuse_malformed)
    await server.async_listen('127.0.0.1', 0)
    return server


async def _answer(_: Request, channel: Channel) -> None:
    send_plain(channel, 200, b'fine')


def test_idle_connection_is_not_reused_after_limit() -> None:
    """A request that may run only once is sent on a connection that died idle.

    Its outcome would be unknown. After two idle seconds a new connection is
    opened instead.
    """

    async def scenario() -> None:
        clock = FakeClock()
        server = await _serve(_answer, clock)
        call = Call('GET', listen_address(server), '/')
        with Pool(clock) as pool:
            await fetch(pool, call)
            await fetch(pool, call)
            assert pool.opened == 1
            clock.true_now = 5.0
            await fetch(pool, call)
            assert pool.opened == 2
        await server.async_close()

    run(scenario)


def test_reset_does_not_end_a_response_of_unknown_length() -> None:
    """A response that ends with its connection is cut off by a reset.

    Only an orderly close marks the end of such a response.
    """

    async def scenario() -> None:
        clock = FakeClock()

        async def send_partial_response(_: Request, channel: Channel) -> None:
            channel.transport.write(b'HTTP/1.0 200 OK\r\n\r\nhalf')
            await asyncio.sleep(0.05)
            channel.abort()

        server = await _serve(send_partial_response, clock)
        call = Call('GET', listen_address(server), '/')
        with Pool(clock) as pool, pytest.raises(ChannelClosedError):
            await fetch(pool, call)
        await server.async_close()

    run(scenario)


def test_channel_reports_reset_as_broken() -> None:
    """Check the handling of a reset in one connection, without a network."""
    channel = Channel(Role.CLIENT, FakeClock())
    channel.http.send(Request.build('GET', '/', [('host', 'x')]))
    channel.http.send(EndOfMessage())
    channel.data_received(b'HTTP/1.0 200 OK\r\n\r\nhalf')
    channel.connection_lost(ConnectionResetError())

    async def scenario() -> None:
        assert isinstance(await channel.next_event(), Response)
        assert isinstance(await channel.next_event(), Data)
        with pytest.raises(ChannelClosedError):
            await channel.next_event()

    run(scenario)


def test_http10_caller_gets_a_reset_after_a_broken_response() -> None:
    """The server fails during a response without length to HTTP/1.0.

    An orderly close would make the partial response look complete.
    """

    async def send_partial_response(
        _: Request, __: bytes, channel: Channel
    ) -> None:
        head = Response.build(200, [])
        channel.send(head)
        channel.send(Data(b'first'))
        channel.flush()
        await asyncio.sleep(0.05)
        channel.abort()

    async def scenario() -> None:
        async with RouterHarness(send_partial_response) as rig:
            reader, writer = await rig.open()
            writer.write(b'GET /casebook/1 HTTP/1.0\r\n\r\n')
            with pytest.raises(ConnectionResetError):
                while await reader.read(1024):
                    continue
            writer.close()

    run(scenario)


def test_slow_upload_is_streamed_to_the_server() -> None:
    """Parts of a body must be forwarded before the body is complete."""

    async def scenario() -> None:
        has_arrived = asyncio.Event()

        async def check_upload(_: Request, channel: Channel) -> None:
            event = await channel.next_event()
            assert bytes(event.data) == b'first'
            has_arrived.set()
            await read_body(channel)
            send_plain(channel, 200, b'fine')

        async with RouterHarness() as rig:
            rig.upstream.server._serve_request = check_upload  # noqa: SLF001
            reader, writer = await rig.open()
            writer.write(
                b'POST /casebook/1 HTTP/1.1\r\nhost: x\r\n'
                b'connection: close\r\ncontent-length: 9\r\n\r\nfirst',
            )
            await has_arrived.wait()
            writer.write(b'last')
            assert status(await reader.read()) == 200
            writer.close()

    run(scenario)


def test_slow_caller_causes_back_pressure_on_the_server() -> None:
    """A caller requests a large response and does not read it for a while.

    The response must not accumulate in memory: the server has to wait, and the
    caller still gets all of it.
    """
    total = 256

    async def scenario() -> None:
        sent = 0

        async def stream_response(
            _: Request, __: bytes, channel: Channel
        ) -> None:
            nonlocal sent
            length = str(total * len(CHUNK))
            headers = [('content-length', length)]
            channel.send(Response.build(200, headers))
            while sent < total:
                channel.send(Data(CHUNK))
                channel.flush()
                await channel.drain()
                sent += 1
            channel.send(EndOfMessage())

        async with RouterHarness(stream_response) as rig:
            reader, writer = await rig.open()
            writer.write(request('GET'))
            before = -1
            while before < sent or not sent:
                before = sent
                await asyncio.sleep(0.1)
            assert sent < total
            answer = await reader.read()
            assert answer.count(b'y') == total * len(CHUNK)
            writer.close()

    run(scenario)
