"""Tests of the members known to a process."""

import random

import pytest

from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

NAMES = tuple(f's@{number}' for number in range(9))


@pytest.mark.parametrize('seed', range(5))
def test_members_of_a_service_are_in_order(seed) -> None:
    """Guards against choices that depend on the hashes of names."""
    rng = random.Random(seed)
    directory = Directory()
    for name in rng.sample(NAMES, len(NAMES)):
        directory.add(Member(name, 's', 'a', '1', 'b'))
        directory.add(Member(name, 's', 'a', '1', 'again'))
    directory.remove('s@4', 'again')
    names = [member.name for member in directory.serving('s')]
    assert names == [name for name in NAMES if name != 's@4']


def test_no_members_are_told_before_any_is_known() -> None:
    """Guards against a division by the number of no members."""
    directory = Directory()
    assert directory.spread_from('s@8', 3) == set()
    directory.add(Member('s@8', 's', 'a', '1', 'b'))
    assert directory.spread_from('s@8', 3) == set()


def test_told_members_are_spread_over_the_order() -> None:
    directory = Directory()
    for name in NAMES:
        directory.add(Member(name, 's', 'a', '1', 'b'))
    assert directory.spread_from('s@8', 3) == {'s@0', 's@3', 's@6'}
    assert directory.rank_of('s@4') == 4
