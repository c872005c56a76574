"""Members leave the map to one that leaves."""

from types import SimpleNamespace

from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.balance.service_peers import (
    LEAVING_SHARE,
    YIELD_S,
    ServicePeers,
)
from plantaingrade.keyspace.assign import split_evenly
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

OWN, LEAVING, THIRD = (
    Member(f's@{place}', 's', 'a', f'{place}:1', f'b{place}')
    for place in range(3)
)


def others(*owners: Member) -> ServicePeers:
    directory = Directory()
    for member in (OWN, LEAVING, THIRD):
        directory.add(member)
    key_map = split_evenly([member.name for member in owners])
    registry = SimpleNamespace(key_map=key_map)
    return ServicePeers(OWN, registry, directory, PeerLoads())


def tell_leaving(known: ServicePeers, now: float) -> None:
    known.loads.record(LEAVING.name, Load(LEAVING_SHARE, 0.1, 3), now)


def test_nobody_evens_out_while_a_member_gives_its_keys_away() -> None:
    """Its keys are served by nobody while its change waits behind others."""
    known = others(OWN, LEAVING, THIRD)
    assert not known.must_yield(1.0)
    tell_leaving(known, 1.0)
    assert known.must_yield(1.0)


def test_a_member_without_keys_delays_nobody() -> None:
    known = others(OWN, THIRD)
    tell_leaving(known, 1.0)
    assert not known.must_yield(1.0)


def test_a_member_that_cannot_give_its_keys_away_delays_nobody_for_long() -> (
    None
):
    """It has lost the store, and goes on telling that it leaves."""
    known = others(OWN, LEAVING, THIRD)
    tell_leaving(known, 1.0)
    assert known.must_yield(1.0)
    tell_leaving(known, 1.0 + YIELD_S)
    assert not known.must_yield(1.0 + YIELD_S)
