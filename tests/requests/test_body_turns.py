"""Turns of long bodies on the link of the receiver, and how they are asked."""

import asyncio

import pytest

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.exchange import async_send_when_accepted, read_response
from plantaingrade.http.messages import Request
from plantaingrade.http.pool import Pool
from plantaingrade.requests.body_turns import BodyTurn, BodyTurns, BodyTurnState
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import send_answer
from tests.requests.test_bodies import HOST, listening

BODY = 60_000
LINK_MBPS = 5.0
LINK_BYTES_S = 625_000


def longest_delay_ms(link_mbps: float) -> int:
    """Return how long a short message waits at most behind bodies.

    Thirty senders have a body each at once, and the link carries one after the
    other.
    """
    turns = BodyTurns(link_mbps)
    on_link = []
    for _ in range(30):
        on_link.extend(turns.offer(BodyTurn(BODY), 0.0))
    longest = len(on_link)
    now = 0.0
    while on_link:
        now += BODY / LINK_BYTES_S
        on_link.extend(turns.end(on_link.pop(0), now))
        longest = max(longest, len(on_link))
    assert not turns.waiting
    return round(1000 * longest * BODY / LINK_BYTES_S)


def test_short_messages_do_not_wait_behind_many_bodies() -> None:
    """Bodies of many instances meet on one link: calls, heartbeats and ends of
    connections would wait for seconds behind them.
    """
    assert longest_delay_ms(0) > 2500
    assert longest_delay_ms(LINK_MBPS) <= 200


def test_lost_sender_does_not_hold_up_the_others_for_good() -> None:
    turns = BodyTurns(LINK_MBPS)
    lost, other = BodyTurn(2 * BODY), BodyTurn(BODY)
    assert turns.offer(lost, 0.0) == [lost]
    assert not turns.offer(other, 0.0)
    stall_at = turns.next_stall_at()
    assert not turns.begin(stall_at - 0.01)
    assert turns.begin(stall_at) == [other]
    turns.end(lost, stall_at + 1)
    turns.end(other, stall_at + 1)
    assert (turns.arriving_bytes, turns.waiting_bytes) == (0, 0)


def test_withdrawn_body_leaves_the_line() -> None:
    turns = BodyTurns(LINK_MBPS)
    first, gone, last = (BodyTurn(2 * BODY) for _ in range(3))
    for turn in (first, gone, last):
        turns.offer(turn, 0.0)
    turns.end(gone, 0.1)
    assert turns.waiting_bytes == 2 * BODY
    assert turns.end(first, 0.2) == [last]


def test_a_body_longer_than_the_window_has_its_turn() -> None:
    turns = BodyTurns(LINK_MBPS)
    large = BodyTurn(50 * BODY)
    assert turns.offer(large, 0.0) == [large]
    assert large.state is BodyTurnState.ARRIVING


def test_wait_is_told_for_classes_with_long_bodies_only() -> None:
    """Others choose a server by how soon its link can take a body, and short
    requests must not be kept away by that.
    """
    turns = BodyTurns(LINK_MBPS)
    turns.observe('long', BODY)
    turns.observe('short', 300)
    turns.offer(BodyTurn(BODY), 0.0)
    assert turns.expected_wait_s('long') == pytest.approx(
        2 * BODY / LINK_BYTES_S
    )
    assert turns.expected_wait_s('short') == 0
    assert turns.expected_wait_s('unknown') == 0


def test_receiver_without_turns_gets_the_body_all_the_same(monkeypatch) -> None:
    """While instances are updated, some know no turns and give no sign."""
    monkeypatch.setattr(
        'plantaingrade.http.exchange.FIRST_RESPONSE_TIMEOUT_S', 0.05
    )
    lengths = []

    async def async_handle(raw: Request, channel: Channel) -> None:
        lengths.append(len(await read_body(channel)))
        send_answer(channel, Answer(200, (), b''))

    async def scenario() -> None:
        async with listening(async_handle) as port:
            with Pool(BootClock()) as pool:
                channel = await pool.connect(f'{HOST}:{port}')
                headers = ((b'host', b'x'), (b'content-length', b'60000'))
                head = await async_send_when_accepted(
                    channel, b'POST', b'/', headers, b'b' * BODY
                )
                assert head is None
                whole = await read_response(channel, lambda _: True)
                assert whole.head.status_code == 200
                channel.close()

    asyncio.run(scenario())
    assert lengths == [BODY]
