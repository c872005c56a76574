"""Outcomes reported to callers, and which requests are repeated."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Data, Request, Response
from plantaingrade.journal.entity import MemberState
from plantaingrade.routing.respond import send_plain
from tests.harness import (
    RouterHarness,
    Upstream,
    assign_keys_to_peer,
    echo,
    header,
    request,
    status,
)

NEVER = 3600


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run the scenario of a test."""
    asyncio.run(scenario())


async def abort_connection(_: Request, __: bytes, channel: Channel) -> None:
    """Abort the connection after the request was read."""
    channel.abort()


async def never_respond(_: Request, __: bytes, ___: Channel) -> None:
    """Never answer."""
    await asyncio.sleep(NEVER)


async def shed(_: Request, __: bytes, channel: Channel) -> None:
    """Refuse the request before running it."""
    send_plain(channel, 503, b'', ((b'x-not-started', b'slots'),))


async def refuse_stale_fence(_: Request, __: bytes, channel: Channel) -> None:
    """Refuse the request because of a stale fence."""
    send_plain(channel, 409, b'', ((b'x-not-started', b'fence'),))


async def respond_to_another(_: Request, __: bytes, channel: Channel) -> None:
    """Send the response to another request."""
    send_plain(channel, 200, b'secret', ((b'x-request-id', b'other'),))


async def stop_halfway(_: Request, __: bytes, channel: Channel) -> None:
    """Announce ten bytes, send five and close the connection."""
    head = Response.build(200, [('content-length', '10')])
    channel.send(head)
    channel.send(Data(b'first'))
    channel.close()


def test_response_is_complete_and_names_the_owner() -> None:
    """A caller gets an incomplete response, or no owner to ask next time."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            answer = await harness.send(request('POST', body=b'lodge'))
            assert status(answer) == 200
            assert answer.endswith(b'lodge')
            assert header(answer, b'x-outcome') == b'answered'
            assert header(answer, b'x-owner') == harness.address.encode()
            assert header(answer, b'x-slice') == b'casebook/0'

    run(scenario)


def test_server_gets_fence_and_deadline() -> None:
    """A server that checks fences cannot detect a stale grant."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            await harness.send(request('POST'))
            headers = dict(harness.upstream.requests[0].headers)
            fence = harness.state.slices['casebook/0'].fence
            assert headers[b'x-fence'] == b'%d' % fence
            assert float(headers[b'x-lease-until']) > harness.clock.now()

    run(scenario)


@pytest.mark.parametrize('method', ['POST', 'PUT', 'PATCH'])
def test_deadline_without_fence_checks_is_end_of_lease(method: str) -> None:
    """A request runs twice: the process pauses between check and sending.

    The server checks no fences. The deadline of the request must be the end of
    the lease plus the declared grace, even if the caller would wait longer.
    """

    async def scenario() -> None:
        async with RouterHarness() as harness:
            harness.disable_fence_checks()
            harness.lease_left_s = 0.5
            await harness.send(request(method, x_request_timeout_ms=60_000))
            headers = dict(harness.upstream.requests[0].headers)
            limit = float(headers[b'x-lease-until']) + 0.4
            assert float(headers[b'x-deadline']) <= limit + 1e-5

    run(scenario)


def test_lost_response_to_a_post_is_unknown_and_not_repeated() -> None:
    """A request runs twice because its response was lost."""

    async def scenario() -> None:
        async with RouterHarness(abort_connection) as harness:
            answer = await harness.send(request('POST'))
            assert status(answer) == 502
            assert header(answer, b'x-outcome') == b'unknown'
            assert header(answer, b'retry-after') == b'1'
            assert len(harness.upstream.requests) == 1

    run(scenario)


def test_get_is_repeated_after_a_lost_response() -> None:
    """A broken connection fails an idempotent request."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            harness.script_once(abort_connection)
            answer = await harness.send(request('GET'))
            assert status(answer) == 200
            assert len(harness.upstream.requests) == 2

    run(scenario)


def test_get_is_repeated_after_an_unresponsive_connection() -> None:
    """A device lost the state of a connection; a new one works."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            harness.script_once(never_respond)
            answer = await harness.send(request('GET'))
            assert status(answer) == 200

    run(scenario)


def test_deadline_during_a_post_is_unknown() -> None:
    """A request whose deadline passes is reported as not run."""

    async def scenario() -> None:
        async with RouterHarness(never_respond) as harness:
            raw = request('POST', x_request_timeout_ms=50)
            answer = await harness.send(raw)
            assert status(answer) == 504
            assert header(answer, b'x-outcome') == b'unknown'
            await harness.upstream.cancelled.wait()

    run(scenario)


def test_refused_connection_is_not_run() -> None:
    """A request that was never sent is not reported as not run."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            harness.refuse_connections()
            answer = await harness.send(request('POST'))
            assert status(answer) == 503
            assert header(answer, b'x-outcome') == b'not-run'
            assert header(answer, b'x-reason') == b'connect-failed'
            assert header(answer, b'retry-after') == b'1'

    run(scenario)


@pytest.mark.parametrize(
    ('script', 'reason'),
    [(shed, b'shed'), (refuse_stale_fence, b'stale-fence')],
)
def test_refusal_by_the_server_is_not_run(
    script: Callable[..., Awaitable[None]],
    reason: bytes,
) -> None:
    """A request refused before it ran is not reported as not run."""

    async def scenario() -> None:
        async with RouterHarness(script) as harness:
            answer = await harness.send(request('POST'))
            assert status(answer) == 503
            assert header(answer, b'x-outcome') == b'not-run'
            assert header(answer, b'x-reason') == reason
            assert header(answer, b'retry-after') == b'1'

    run(scenario)


def test_response_to_another_request_is_not_forwarded() -> None:
    """The server mixes up responses, and a caller gets that of another."""

    async def scenario() -> None:
        async with RouterHarness(respond_to_another) as harness:
            answer = await harness.send(request('POST', x_request_id='mine'))
            assert header(answer, b'x-outcome') == b'unknown'
            assert b'secret' not in answer

    run(scenario)


def test_partial_response_does_not_look_complete() -> None:
    """The server stops in the middle of its response."""

    async def scenario() -> None:
        async with RouterHarness(stop_halfway) as harness:
            reader, writer = await harness.open()
            writer.write(request('GET'))
            received = b''
            try:
                while chunk := await reader.read(1024):
                    received += chunk
            except ConnectionResetError:
                received += b''
            writer.close()
            body = received.partition(b'\r\n\r\n')[2]
            assert len(body) < 10

    run(scenario)


def test_disconnect_of_the_caller_cancels_the_request() -> None:
    """The slot of a caller that disconnected stays occupied."""

    async def scenario() -> None:
        async with RouterHarness(never_respond) as harness:
            _, writer = await harness.open()
            writer.write(request('POST'))
            while not harness.upstream.requests:
                await asyncio.sleep(0)
            writer.close()
            await harness.upstream.cancelled.wait()
            while harness.admission.in_flight:
                await asyncio.sleep(0)

    run(scenario)


def test_full_queue_refuses_immediately() -> None:
    """A request waits although slots and queue are full."""

    async def scenario() -> None:
        async with RouterHarness(never_respond, slots=1) as harness:
            writers = []
            for _ in range(5):
                _, writer = await harness.open()
                writer.write(request('POST'))
                writers.append(writer)
            while len(harness.admission) < 4:
                await asyncio.sleep(0)
            answer = await harness.send(request('POST'))
            assert status(answer) == 503
            assert header(answer, b'x-reason') == b'queue-full'
            assert header(answer, b'retry-after') == b'1'
            for writer in writers:
                writer.close()

    run(scenario)


def test_request_is_forwarded_to_the_owner() -> None:
    """A caller that sends to the wrong process gets no response."""

    async def scenario() -> None:
        async with RouterHarness() as owner, RouterHarness() as entry:
            assign_keys_to_peer(entry, owner.address)
            answer = await entry.send(request('POST', body=b'lodge'))
            assert status(answer) == 200
            assert answer.endswith(b'lodge')
            assert header(answer, b'x-owner') == owner.address.encode()
            assert not entry.upstream.requests

    run(scenario)


def test_stale_map_is_corrected_by_the_former_owner() -> None:
    """The map of the entry is outdated; the former owner names the new one."""

    async def scenario() -> None:
        async with (
            RouterHarness() as owner,
            RouterHarness() as former,
            RouterHarness() as entry,
        ):
            assign_keys_to_peer(entry, former.address)
            assign_keys_to_peer(former, owner.address)
            answer = await entry.send(request('POST', body=b'lodge'))
            assert status(answer) == 200
            assert header(answer, b'x-owner') == owner.address.encode()
            assert not former.upstream.requests

    run(scenario)


def test_wrong_owner_refuses_with_a_hint() -> None:
    """A forwarded request is forwarded again."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            assign_keys_to_peer(harness, '127.0.0.1:9')
            answer = await harness.send(request('POST', x_forwarded_hop=1))
            assert status(answer) == 421
            assert header(answer, b'x-outcome') == b'not-run'
            assert header(answer, b'x-owner') == b'127.0.0.1:9'

    run(scenario)


def test_owner_with_lapsed_lease_runs_nothing() -> None:
    """The owner runs a request although its lease has lapsed."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            harness.lease_left_s = -1
            answer = await harness.send(request('POST'))
            assert status(answer) == 503
            assert header(answer, b'x-reason') == b'lease-lapsed'
            assert not harness.upstream.requests

    run(scenario)


def test_request_without_key_goes_to_a_ready_server() -> None:
    """A request that has no key yet is sent to a draining server."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            harness.state.services['casebook'].keyed = False
            for name in ('b', 'c'):
                harness.state.members[name].state = MemberState.DRAINING
            answer = await harness.send(request('POST', '/casebook'))
            assert status(answer) == 200
            assert len(harness.upstream.requests) == 1

    run(scenario)


def test_unreachable_peer_costs_one_attempt_without_key() -> None:
    """A request without key fails because one of two servers is gone."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            harness.state.services['casebook'].keyed = False
            harness.state.members['b'].http = '127.0.0.1:1'
            harness.state.members['c'].state = MemberState.DRAINING
            for _ in range(8):
                answer = await harness.send(request('POST', '/casebook'))
                assert status(answer) == 200

    run(scenario)


def test_upstream_connection_is_reused() -> None:
    """Each request opens a connection, which takes a millisecond."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            for _ in range(5):
                await harness.send(request('GET'))
            assert harness.pool.opened == 1

    run(scenario)


def test_scripted_upstream_responds() -> None:
    """The scripted upstream works, so other failures are in the router."""

    async def scenario() -> None:
        upstream = Upstream()
        address = await upstream.async_start()
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request('GET', '/'))
        assert status(await reader.read()) == 200
        writer.close()
        await upstream.server.async_close()

    run(scenario)


def test_unresponsive_connection_takes_half_the_time_left() -> None:
    """An unresponsive connection uses up the short time of a request."""

    async def scenario() -> None:
        async with RouterHarness() as harness:
            harness.script_once(never_respond)
            answer = await harness.send(
                request('GET', x_request_timeout_ms=800)
            )
            assert status(answer) == 200
            assert len(harness.upstream.requests) == 2

    run(scenario)


def test_unresponsive_connection_closes_idle_ones() -> None:
    """A device lost the state of all open connections to the server.

    The first request fails at its deadline; the next must use a new connection.
    """

    async def scenario() -> None:
        async with RouterHarness() as harness:
            await harness.send(request('GET'))
            opened = harness.pool.opened
            harness.upstream.script = never_respond
            lost = await harness.send(request('POST', x_request_timeout_ms=50))
            assert header(lost, b'x-outcome') == b'unknown'
            harness.upstream.script = echo
            assert status(await harness.send(request('POST'))) == 200
            assert harness.pool.opened == opened + 1

    run(scenario)
