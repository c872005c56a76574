"""Tests for the selection of members that a load is published to."""

import random
from types import SimpleNamespace

import pytest

from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.balance.service_peers import (
    OTHER_ZONES_COUNT,
    PUBLISH_COUNT,
    ServicePeers,
)
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

ZONES = 'abcde'


def count_targets(count: int) -> tuple[int, int]:
    """Return the number of targets in the own zone and in other zones."""
    members = [
        Member(f's@{index}', 's', ZONES[index % len(ZONES)], '10.0.0.1:1', 'b')
        for index in range(count)
    ]
    directory = Directory()
    for member in members:
        directory.add(member)
    peers = ServicePeers(members[0], SimpleNamespace(), directory, PeerLoads())
    names = peers.publish_targets(random.Random(1))
    assert len(set(names)) == len(names)
    zones = [directory.find(name).zone for name in names]
    same_zone = zones.count(members[0].zone)
    return same_zone, len(names) - same_zone


@pytest.mark.parametrize(
    ('count', 'expected'),
    [
        (1, (0, 0)),
        (6, (1, 4)),
        (9, (1, 7)),
        (20, (3, 5)),
        (195, (PUBLISH_COUNT - OTHER_ZONES_COUNT, OTHER_ZONES_COUNT)),
    ],
)
def test_targets_are_mostly_in_the_own_zone_and_all_members_if_few(
    count, expected
) -> None:
    assert count_targets(count) == expected
