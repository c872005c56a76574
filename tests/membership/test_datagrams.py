"""Malformed datagrams and those for other members are dropped."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantaingrade.codec import MalformedMessageError
from plantaingrade.leases.entity import Renew, RenewAck, RenewRefused
from plantaingrade.membership.datagrams import DATAGRAM_CODEC, DatagramEndpoint
from plantaingrade.membership.entity import Heartbeat
from plantaingrade.ownership.entity import Release
from tests.cluster import FakeCluster


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
