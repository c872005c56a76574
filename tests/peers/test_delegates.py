"""Members agree on the one that calls the store for their zone."""

from plantaingrade.peers.delegates import FAILURE_PAUSE_S, Delegates
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

NOW = 100.0
ZONES = ('a', 'b')


def members(count: int, service: str = 's') -> list[Member]:
    return [
        Member(f'{service}@{zone}{index}', service, zone, '', 'b')
        for zone in ZONES
        for index in range(count)
    ]


def delegates(own: Member, known: list[Member], kind: str = 'reads'):
    return Delegates(own, kind, lambda _: known)


def test_members_of_a_zone_choose_the_same_delegate() -> None:
    known = members(10)
    chosen = {delegates(own, known).choose(NOW) for own in known}
    assert {member.zone for member in chosen} == set(ZONES)
    assert len(chosen) == len(ZONES)


def test_member_alone_in_its_zone_has_no_delegate() -> None:
    known = members(1)
    assert delegates(known[0], known).choose(NOW) is None


def test_failed_delegate_is_replaced_for_a_while() -> None:
    """It may be lost, paused or cut off from the store."""
    known = members(10)
    chooser = delegates(known[0], known)
    failed = chooser.choose(NOW)
    chooser.on_failure(failed, NOW)
    assert chooser.choose(NOW).name != failed.name
    assert chooser.choose(NOW + FAILURE_PAUSE_S) == failed


def test_last_member_that_has_not_failed_calls_by_itself() -> None:
    known = members(2)
    chooser = delegates(known[0], known)
    chooser.on_failure(known[1], NOW)
    assert chooser.choose(NOW) is None


def test_calls_of_different_kinds_are_spread() -> None:
    known = members(30)
    kinds = [f'kind {index}' for index in range(10)]
    chosen = {delegates(known[0], known, kind).choose(NOW) for kind in kinds}
    assert len(chosen) > len(kinds) / 2


def test_directory_offers_members_of_a_service_that_are_not_suspect() -> None:
    directory = Directory()
    for member in (*members(2), *members(1, 'other')):
        directory.add(member)
    directory.suspect('s@a0', NOW)
    found = {member.name for member in directory.usable(NOW, 's')}
    assert found == {'s@a1', 's@b0', 's@b1'}
