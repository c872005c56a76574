"""Long bodies of other processes wait for their turn at a whole process."""

import asyncio
from dataclasses import dataclass

from plantaingrade.requests.body_turns import BodyTurns
from tests.sidecar.harness import HOST, PLAIN, Harness, Node, run_scenario

BODY = b'b' * 200_000
SLOW_LINK_MBPS = 5.0


@dataclass(slots=True)
class Sender:
    """Another process that sends one long body."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def async_start(
        cls, node: Node, name: str, left_ms: int = 5000
    ) -> 'Sender':
        """Send the head of a request, without its body."""
        host, port = node.settings.listeners.peers.split(':')
        sender = cls(*await asyncio.open_connection(host, int(port)))
        sender.writer.write(
            (
                f'POST /letters/1 HTTP/1.1\r\nhost: {HOST}\r\na: {name}\r\n'
                f'q: {left_ms},{left_ms},{left_ms},1,o,,{PLAIN},{PLAIN},1,0\r\n'
                f'content-length: {len(BODY)}\r\nt: \r\n\r\n'
            ).encode()
        )
        return sender

    async def async_status(self) -> bytes:
        """Return the status of the next response, interim or final."""
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b'\r\n\r\n')
        return head.split()[1]


def slow_down(harness: Harness) -> Node:
    """Give the only instance a slow link."""
    node = harness.nodes[0]
    node.process._bytes.body_turn_gate.turns = BodyTurns(SLOW_LINK_MBPS)
    return node


def test_bodies_arrive_one_after_the_other_and_run_once() -> None:
    async def scenario(harness: Harness) -> None:
        node = slow_down(harness)
        first = await Sender.async_start(node, 'r1')
        assert await first.async_status() == b'100'
        second = await Sender.async_start(node, 'r2')
        assert await second.async_status() == b'102'
        first.writer.write(BODY)
        assert await second.async_status() == b'100'
        assert await first.async_status() == b'200'
        second.writer.write(BODY)
        assert await second.async_status() == b'200'
        assert harness.record.count_runs('r1') == 1
        assert harness.record.count_runs('r2') == 1

    run_scenario(95, (PLAIN,), scenario)


def test_sender_that_leaves_in_its_turn_makes_way() -> None:
    """The caller of a body leaves while the body is on its way."""

    async def scenario(harness: Harness) -> None:
        node = slow_down(harness)
        first = await Sender.async_start(node, 'r1')
        assert await first.async_status() == b'100'
        second = await Sender.async_start(node, 'r2')
        assert await second.async_status() == b'102'
        first.writer.write(BODY[:1000])
        first.writer.transport.abort()
        assert await second.async_status() == b'100'
        assert harness.record.count_runs('r1') == 0

    run_scenario(95, (PLAIN,), scenario)


def test_body_that_cannot_arrive_in_time_is_refused_before_it_is_sent() -> None:
    async def scenario(harness: Harness) -> None:
        node = slow_down(harness)
        first = await Sender.async_start(node, 'r1')
        assert await first.async_status() == b'100'
        late = await Sender.async_start(node, 'r2', left_ms=400)
        assert await late.async_status() == b'503'
        assert harness.record.count_runs('r2') == 0

    run_scenario(95, (PLAIN,), scenario)
