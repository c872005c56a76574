"""Requests whose sender left before this process could read them."""

import asyncio
import socket
import struct
import time

import pytest

from plantaingrade.addresses import split_address
from plantaingrade.http.exchange import send_request
from plantaingrade.requests import server_exchange
from tests.sidecar.harness import HOST, PLAIN, Harness, Node, run_scenario

NO_LINGER = struct.pack('ii', 1, 0)
# Bytes cross the loopback interface within this time, in seconds.
CROSSING_S = 0.02
FROM_CALLER = (
    f'GET /letters/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r1\r\n'
    'Deadline-Ms: 2000\r\n\r\n'
).encode()
FROM_PEER = (
    f'GET /letters/1 HTTP/1.1\r\nhost: {HOST}\r\na: r1\r\n'
    f'q: 2000,2000,2000,1,i,,{PLAIN},{PLAIN},1,0\r\n\r\n'
).encode()


@pytest.fixture
def handed_over(monkeypatch) -> list[bytes]:
    """Return the targets of all requests that are written to a server.

    The server shares the event loop with the busy process, so what it has run
    is no proof.
    """
    targets = []

    def spy(channel, method, target, *rest) -> None:
        targets.append(target)
        send_request(channel, method, target, *rest)

    monkeypatch.setattr(server_exchange, 'send_request', spy)
    return targets


def send_and_leave(sender: socket.socket, raw: bytes, ending: str) -> None:
    """Send a request and leave, while the process can't read either."""
    sender.sendall(raw)
    time.sleep(CROSSING_S)
    if ending == 'reset':
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    sender.close()
    time.sleep(CROSSING_S)


def listener_and_request(node: Node, hop: str) -> tuple[str, bytes]:
    if hop == 'caller':
        return node.callers, FROM_CALLER
    return node.settings.listeners.peers, FROM_PEER


@pytest.mark.parametrize('ending', ['reset', 'end'])
@pytest.mark.parametrize('hop', ['caller', 'peer'])
def test_request_of_a_sender_that_left_never_reaches_a_server(
    hop, ending, handed_over
) -> None:
    """A busy process finds a request and the end of its connection at once.
    It must not hand over the request before it has read the end.
    """

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        address, raw = listener_and_request(node, hop)
        sender = socket.create_connection(split_address(address))
        # The connection is accepted before the process is busy, and one to the
        # server is idle: the process can write to it at once.
        await harness.async_ask(node, '/letters/0', 'r0', 5)
        handed_over.clear()
        send_and_leave(sender, raw, ending)
        await asyncio.sleep(4 * CROSSING_S)
        assert not handed_over

    run_scenario(96, (PLAIN,), scenario)


@pytest.mark.parametrize('hop', ['caller', 'peer'])
def test_request_of_a_sender_that_stays_is_handed_over(
    hop, handed_over
) -> None:
    async def scenario(harness: Harness) -> None:
        node = harness.nodes[0]
        address, raw = listener_and_request(node, hop)
        with socket.create_connection(split_address(address)) as sender:
            await asyncio.sleep(CROSSING_S)
            sender.sendall(raw)
            await harness.async_until(
                lambda: harness.record.count_runs('r1') == 1
            )
        assert handed_over == [b'/letters/1']

    run_scenario(96, (PLAIN,), scenario)
