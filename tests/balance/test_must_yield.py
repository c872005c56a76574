"""Tests for postponing moves in favour of leaving members."""

from types import SimpleNamespace

from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.balance.service_peers import (
    LEAVING_SHARE,
    MAX_YIELD_S,
    ServicePeers,
)
from plantaingrade.keyspace.assign import split_evenly
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

OWN, LEAVING, THIRD = (
    Member(f's@{index}', 's', 'a', f'{index}:1', f'b{index}')
    for index in range(3)
)


def make_peers(*owners: Member) -> ServicePeers:
    directory = Directory()
    for member in (OWN, LEAVING, THIRD):
        directory.add(member)
    key_map = split_evenly([member.name for member in owners])
    registry = SimpleNamespace(key_map=key_map)
    return ServicePeers(OWN, registry, directory, PeerLoads())


def report_leaving(peers: ServicePeers, now: float) -> None:
    peers.loads.record(LEAVING.name, Load(LEAVING_SHARE, 0.1, 3), now)


def test_moves_wait_while_a_leaving_member_has_keys() -> None:
    """Keys of a leaving member are unserved while its map change waits."""
    peers = make_peers(OWN, LEAVING, THIRD)
    assert not peers.must_yield(1.0)
    report_leaving(peers, 1.0)
    assert peers.must_yield(1.0)


def test_leaving_member_without_keys_delays_no_moves() -> None:
    peers = make_peers(OWN, THIRD)
    report_leaving(peers, 1.0)
    assert not peers.must_yield(1.0)


def test_leaving_member_that_cannot_move_keys_delays_moves_briefly() -> None:
    """A member without access to the store reports that it leaves forever."""
    peers = make_peers(OWN, LEAVING, THIRD)
    report_leaving(peers, 1.0)
    assert peers.must_yield(1.0)
    report_leaving(peers, 1.0 + MAX_YIELD_S)
    assert not peers.must_yield(1.0 + MAX_YIELD_S)
