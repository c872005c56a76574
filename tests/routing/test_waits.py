"""Waiting for a process ends when its lease is proven over."""

import asyncio

from plantaingrade.http.channel import Channel
from plantaingrade.journal.entity import Ended, MemberState, Proof, Record
from tests.rig import Rig, header, request, status, with_peer
from tests.routing.test_outcomes import keep_silent, run

NO_END = Record(1, '', '', ())


def _ended(member: str) -> Record:
    return Record(2, '', '', (Ended(member, Proof.TESTIMONY, 1),))


def test_booking_sent_to_a_frozen_process_is_answered_early() -> None:
    """A process froze with a booking in hand; its slice has a new owner.

    The caller is told "unknown" as soon as the end is in the journal, not at
    its deadline a minute later, and nothing is sent again.
    """

    async def story() -> None:
        async with Rig(keep_silent) as owner, Rig() as entry:
            with_peer(entry, owner.address)
            raw = request('POST', x_request_timeout_ms=60_000)
            waiting = asyncio.ensure_future(entry.send(raw))
            while not owner.upstream.requests:
                await asyncio.sleep(0)
            entry.router.waits.on_record(NO_END, [])
            entry.router.waits.on_record(_ended('b'), [])
            answer = await waiting
            assert status(answer) == 504
            assert header(answer, b'x-outcome') == b'unknown'
            assert header(answer, b'retry-after') == b'1'

    run(story)


def test_answer_that_has_begun_is_not_cut() -> None:
    """The owner's lease ends while its answer is on the way."""

    async def story() -> None:
        go_on = asyncio.Event()

        async def slowly(_: object, __: bytes, channel: Channel) -> None:
            channel.transport.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nabc',
            )
            await go_on.wait()
            channel.transport.write(b'def')

        async with Rig(slowly) as owner, Rig() as entry:
            with_peer(entry, owner.address)
            reader, writer = await entry.open()
            writer.write(request('GET'))
            head = await reader.readuntil(b'\r\n\r\n')
            entry.router.waits.on_record(_ended('b'), [])
            go_on.set()
            assert status(head) == 200
            assert await reader.readexactly(6) == b'abcdef'
            writer.close()

    run(story)


def test_owner_whose_end_is_proven_is_not_asked() -> None:
    """The owner froze; its successor has not taken over yet.

    A caller is told at once that nothing was run, and when to come back.
    """

    async def story() -> None:
        async with Rig(keep_silent) as owner, Rig() as entry:
            with_peer(entry, owner.address)
            entry.state.members['b'].state = MemberState.OVER
            entry.state.members['c'].state = MemberState.OVER
            answer = await entry.send(request('POST'))
            assert status(answer) == 503
            assert header(answer, b'x-outcome') == b'not-run'
            assert not owner.upstream.requests

    run(story)
