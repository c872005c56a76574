"""Waits for a process end when its lease is proven to have ended."""

import asyncio

from plantaingrade.http.channel import Channel
from plantaingrade.journal.entity import Ended, MemberState, Proof, Record
from tests.harness import (
    RouterHarness,
    assign_keys_to_peer,
    header,
    request,
    status,
)
from tests.routing.test_outcomes import never_respond, run

RECORD_WITHOUT_END = Record(1, '', '', ())


def _ended(member: str) -> Record:
    return Record(2, '', '', (Ended(member, Proof.TESTIMONY, 1),))


def test_wait_for_a_frozen_process_ends_with_its_lease() -> None:
    """A process froze while it ran a request; its slice has a new owner.

    The caller must get the outcome "unknown" as soon as the journal records the
    end, not at its deadline a minute later. Nothing is sent again.
    """

    async def scenario() -> None:
        async with (
            RouterHarness(never_respond) as owner,
            RouterHarness() as entry,
        ):
            assign_keys_to_peer(entry, owner.address)
            raw = request('POST', x_request_timeout_ms=60_000)
            waiting = asyncio.ensure_future(entry.send(raw))
            while not owner.upstream.requests:
                await asyncio.sleep(0)
            entry.router.waits.on_record(RECORD_WITHOUT_END, [])
            entry.router.waits.on_record(_ended('b'), [])
            answer = await waiting
            assert status(answer) == 504
            assert header(answer, b'x-outcome') == b'unknown'
            assert header(answer, b'retry-after') == b'1'

    run(scenario)


def test_started_response_is_not_interrupted() -> None:
    """The owner's lease ends while its response is being received."""

    async def scenario() -> None:
        resume = asyncio.Event()

        async def respond_slowly(
            _: object, __: bytes, channel: Channel
        ) -> None:
            channel.transport.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nabc',
            )
            await resume.wait()
            channel.transport.write(b'def')

        async with (
            RouterHarness(respond_slowly) as owner,
            RouterHarness() as entry,
        ):
            assign_keys_to_peer(entry, owner.address)
            reader, writer = await entry.open()
            writer.write(request('GET'))
            head = await reader.readuntil(b'\r\n\r\n')
            entry.router.waits.on_record(_ended('b'), [])
            resume.set()
            assert status(head) == 200
            assert await reader.readexactly(6) == b'abcdef'
            writer.close()

    run(scenario)


def test_ended_owner_gets_no_requests() -> None:
    """The owner froze, and its successor has not taken over yet.

    The caller must be told at once that nothing was run and when to retry.
    """

    async def scenario() -> None:
        async with (
            RouterHarness(never_respond) as owner,
            RouterHarness() as entry,
        ):
            assign_keys_to_peer(entry, owner.address)
            entry.state.members['b'].state = MemberState.OVER
            entry.state.members['c'].state = MemberState.OVER
            answer = await entry.send(request('POST'))
            assert status(answer) == 503
            assert header(answer, b'x-outcome') == b'not-run'
            assert not owner.upstream.requests

    run(scenario)
