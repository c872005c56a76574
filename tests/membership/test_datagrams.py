"""Malformed datagrams and those for other members are dropped."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantaingrade.codec import MalformedMessageError
from plantaingrade.leases.entity import Renew, RenewAck, RenewRefused
from plantaingrade.membership.datagrams import DATAGRAM_CODEC, DatagramEndpoint
from plantaingrade.membership.entity import Heartbeat
from plantaingrade.membership.rpc import PullFailedError, async_pull
from plantaingrade.ownership.entity import Release
from tests.cluster import FakeCluster
from tests.malformed import ODD_ADDRESSES


class RecordingTransport:
    """Keep where datagrams were sent to."""

    def __init__(self) -> None:
        self.targets: list[tuple[str, int]] = []

    def sendto(self, _: bytes, target: tuple[str, int]) -> None:
        self.targets.append(target)


@pytest.mark.parametrize(
    'message',
    [
        Renew('a#1', 1, 'b#1', 1.5, '127.0.0.1:1'),
        Release('casebook/1', 'a#1', 7, 'b#1', '127.0.0.1:1'),
        Heartbeat('a#1', 7, '127.0.0.1:1', '127.0.0.1:2', draining=False),
    ],
)
def test_messages_are_decoded_as_encoded(message: object) -> None:
    """A field changed its value or type between sender and receiver."""
    raw = DATAGRAM_CODEC.encode(message)
    assert DATAGRAM_CODEC.decode(raw) == message


@given(raw=st.binary(max_size=200))
@settings(derandomize=True, deadline=None)
def test_random_bytes_raise_nothing(raw: bytes) -> None:
    """Random bytes sent to the port must not stop the process."""
    received: list[object] = []
    endpoint = DatagramEndpoint(received.append)
    endpoint.datagram_received(raw, ('127.0.0.1', 1))
    assert endpoint.malformed + len(received) == 1


@pytest.mark.parametrize(
    'raw',
    [
        b'{}',
        b'[]',
        b'{"t": "Renew"}',
        b'{"t": "Nothing", "member": "a"}',
        b'{"t": "RenewAck", "member": "a", "epoch": "1", "witness": "w",'
        b' "sent_at": 1.0}',
        b'{"t": "RenewAck", "member": "a", "epoch": true, "witness": "w",'
        b' "sent_at": 1.0}',
        b'{"t": "RenewAck", "member": 3, "epoch": 1, "witness": "w",'
        b' "sent_at": 1.0}',
    ],
)
def test_wrong_types_are_malformed(raw: bytes) -> None:
    """Another version, or an attacker, sends fields of other types."""
    with pytest.raises(MalformedMessageError):
        DATAGRAM_CODEC.decode(raw)


def test_messages_for_another_incarnation_are_ignored() -> None:
    """A process restarts at the same address as its previous run.

    Renewals and acknowledgements for the previous run still arrive there.
    """
    cluster = FakeCluster.from_size(4)
    member = cluster.members[0]
    until = member.leases.expires_at()
    cluster.network.clear()
    member.receive(Renew('x#1', 1, 'predecessor#1', 9.0, 'x'))
    member.receive(RenewAck('predecessor#1', 1, 's1#1', 999.0))
    member.receive(RenewRefused('predecessor#1', 1, 's1#1'))
    assert not cluster.network
    assert member.leases.expires_at() == until
    assert not member.leases.holder.is_lost()


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_address_keeps_no_datagram_from_the_others(address) -> None:
    """Guards against heartbeats that end by the address of one member."""
    transport = RecordingTransport()
    endpoint = DatagramEndpoint(lambda _: None)
    endpoint.connection_made(transport)
    message = Heartbeat('a#1', 7, '127.0.0.1:1', '127.0.0.1:2', draining=False)
    endpoint.send_all(message, ('127.0.0.1:3', address, '127.0.0.1:4'))
    assert transport.targets == [('127.0.0.1', 3), ('127.0.0.1', 4)]
    assert (endpoint.sent, endpoint.unsendable) == (2, 1)


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_pull_from_an_odd_address_fails(address) -> None:
    """Guards against a member that follows no records any more."""
    with pytest.raises(PullFailedError):
        asyncio.run(async_pull(address, 0))
