"""Who is told of a load."""

import random
from types import SimpleNamespace

import pytest

from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.balance.service_peers import (
    TELL_COUNT,
    TELL_FAR,
    ServicePeers,
)
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

ZONES = 'abcde'


def listeners(count: int) -> tuple[int, int]:
    """Return how many of the own zone and of others are told."""
    members = [
        Member(f's@{host}', 's', ZONES[host % len(ZONES)], '10.0.0.1:1', 'b')
        for host in range(count)
    ]
    directory = Directory()
    for member in members:
        directory.add(member)
    others = ServicePeers(members[0], SimpleNamespace(), directory, PeerLoads())
    names = others.listeners(random.Random(1))
    assert len(set(names)) == len(names)
    zones = [directory.find(name).zone for name in names]
    near = zones.count(members[0].zone)
    return near, len(names) - near


@pytest.mark.parametrize(
    ('count', 'told'),
    [
        (1, (0, 0)),
        (6, (1, 4)),
        (9, (1, 7)),
        (20, (3, 5)),
        (195, (TELL_COUNT - TELL_FAR, TELL_FAR)),
    ],
)
def test_most_listeners_are_near_and_all_are_told_if_few(count, told) -> None:
    assert listeners(count) == told
