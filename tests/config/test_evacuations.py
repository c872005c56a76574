"""Evacuated zones, from the rows of the operators' table."""

import pytest

from plantaingrade.config.evacuations import Evacuations
from plantaingrade.store.entity import Row, RowName


def row(key: str, *, is_deleted: bool = False) -> Row:
    return Row(RowName('op', '', key), b'{}', 5, is_deleted)


@pytest.fixture(name='reported')
def _reported() -> list:
    return []


@pytest.fixture(name='evacuations')
def _evacuations(reported: list) -> Evacuations:
    evacuations = Evacuations('evacuate/')
    evacuations.subscribe(
        lambda zones, is_recent: reported.append((zones, is_recent))
    )
    return evacuations


def test_zones_are_added_and_removed(
    evacuations: Evacuations, reported: list
) -> None:
    evacuations.on_rows((row('config'), row('evacuate/a')), is_full_read=False)
    evacuations.on_rows((row('evacuate/b'),), is_full_read=False)
    evacuations.on_rows(
        (row('evacuate/a', is_deleted=True),), is_full_read=False
    )
    assert reported == [({'a'}, True), ({'a', 'b'}, True), ({'b'}, True)]


def test_full_read_replaces_known_zones(
    evacuations: Evacuations, reported: list
) -> None:
    """An evacuation revoked during a gap in the history goes on."""
    evacuations.on_rows((row('evacuate/a'),), is_full_read=False)
    evacuations.on_rows((row('config'),), is_full_read=True)
    assert not evacuations.zones
    assert reported[-1] == (frozenset(), False)


def test_unchanged_zones_are_not_reported(
    evacuations: Evacuations, reported: list
) -> None:
    evacuations.on_rows((row('evacuate/a'),), is_full_read=True)
    evacuations.on_rows((row('evacuate/a'), row('config')), is_full_read=False)
    assert reported == [({'a'}, False)]


def test_evacuation_survives_a_restored_store_without_its_row(
    evacuations: Evacuations, reported: list
) -> None:
    """A zone gets requests again before its row is rewritten."""
    evacuations.on_rows((row('evacuate/a'),), is_full_read=False)
    evacuations.on_rows((row('config'),), is_full_read=True, may_lack_rows=True)
    assert evacuations.zones == {'a'}
    evacuations.on_rows((row('config'),), is_full_read=True)
    assert not evacuations.zones
    assert reported[-1] == (frozenset(), False)
