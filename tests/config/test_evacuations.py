"""Which zones are evacuated, by the operators' table."""

import pytest

from plantaingrade.config.evacuations import Evacuations
from plantaingrade.store.entity import Row, RowName


def row(key: str, *, is_deleted: bool = False) -> Row:
    return Row(RowName('op', '', key), b'{}', 5, is_deleted)


@pytest.fixture(name='told')
def _told() -> list:
    return []


@pytest.fixture(name='evacuations')
def _evacuations(told: list) -> Evacuations:
    evacuations = Evacuations('evacuate/')
    evacuations.subscribe(lambda zones, is_news: told.append((zones, is_news)))
    return evacuations


def test_zones_come_and_go(evacuations: Evacuations, told: list) -> None:
    evacuations.on_rows((row('config'), row('evacuate/a')), is_whole=False)
    evacuations.on_rows((row('evacuate/b'),), is_whole=False)
    evacuations.on_rows((row('evacuate/a', is_deleted=True),), is_whole=False)
    assert told == [({'a'}, True), ({'a', 'b'}, True), ({'b'}, True)]


def test_a_whole_read_replaces_what_was_known(
    evacuations: Evacuations, told: list
) -> None:
    """The store has lost its history, and an evacuation ended meanwhile."""
    evacuations.on_rows((row('evacuate/a'),), is_whole=False)
    evacuations.on_rows((row('config'),), is_whole=True)
    assert not evacuations.zones
    assert told[-1] == (frozenset(), False)


def test_what_changes_nothing_is_not_told(
    evacuations: Evacuations, told: list
) -> None:
    evacuations.on_rows((row('evacuate/a'),), is_whole=True)
    evacuations.on_rows((row('evacuate/a'), row('config')), is_whole=False)
    assert told == [({'a'}, False)]


def test_an_evacuation_outlasts_a_copy_of_the_store_that_lacks_it(
    evacuations: Evacuations, told: list
) -> None:
    """The operator will write it again; until then its zone gets nothing."""
    evacuations.on_rows((row('evacuate/a'),), is_whole=False)
    evacuations.on_rows((row('config'),), is_whole=True, may_lack=True)
    assert evacuations.zones == {'a'}
    evacuations.on_rows((row('config'),), is_whole=True)
    assert not evacuations.zones
    assert told[-1] == (frozenset(), False)
