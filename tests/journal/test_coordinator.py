"""Appends to the journal under faults of the table service."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from plantaingrade.cloud.entity import (
    Conflicted,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    Stored,
    WriteOutcome,
)
from plantaingrade.journal.coordinator import (
    JournalCoordinator,
    JournalUnavailableError,
)
from plantaingrade.journal.entity import Applied, DeclarationApplied, ServiceRow

SERVICES = (ServiceRow('casebook', 2, True, 400),)


class FakeTable:
    """Table in memory with injected faults."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[tuple[str, int], Row] = {}
        self.down = False
        self.lose_next_response = False
        self.lose_next_write = False
        self.writes = 0

    async def async_get(self, partition: str, sort: int) -> Row | None:
        """Return a row."""
        self._check()
        return self.rows.get((partition, sort))

    async def async_query(self, partition: str, after: int) -> list[Row]:
        """Return the rows after a sort key."""
        self._check()
        return [
            row
            for place, row in sorted(self.rows.items())
            if place[0] == partition and place[1] > after
        ]

    async def async_put_new(self, row: Row) -> WriteOutcome:
        """Write a row that must not exist."""
        self._check()
        self.writes += 1
        if self.lose_next_write:
            self.lose_next_write = False
            raise PlatformOutcomeUnknownError('request lost')
        place = (row.partition, row.sort)
        if place in self.rows:
            return Conflicted()
        self.rows[place] = row
        if self.lose_next_response:
            self.lose_next_response = False
            raise PlatformOutcomeUnknownError('response lost')
        return Stored()

    def _check(self) -> None:
        if self.down:
            raise PlatformUnavailableError('down')


def _run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(coroutine)


def _journal(table: FakeTable, author: str = 'a') -> JournalCoordinator:
    return JournalCoordinator(table, None, author)


def _declared(based_on: int = 0) -> DeclarationApplied:
    return DeclarationApplied(f'from {based_on}', based_on, SERVICES)


def test_write_with_lost_response_is_read_back() -> None:
    """A record is appended twice: the write succeeded, its response was lost.

    The writer reads the row back and recognizes it by its write id.
    """
    table = FakeTable()
    table.lose_next_response = True
    journal = _journal(table)
    assert _run(journal.async_append(_declared())) == [Applied()]
    assert table.writes == 1
    assert len(table.rows) == 1


def test_lost_write_is_reported_as_unavailable() -> None:
    """A write never arrived; the author may append it again."""
    table = FakeTable()
    table.lose_next_write = True
    journal = _journal(table)
    with pytest.raises(JournalUnavailableError):
        _run(journal.async_append(_declared()))
    assert _run(journal.async_append(_declared())) == [Applied()]
    assert len(table.rows) == 1


def test_conflicting_append_is_retried_after_catch_up() -> None:
    """One of two concurrent appends is lost or ordered differently."""
    table = FakeTable()
    first, second = _journal(table, 'a'), _journal(table, 'b')
    _run(first.async_append(_declared()))
    outcomes = _run(second.async_append(_declared()))
    assert second.state.generation == 2
    assert outcomes != [Applied()]
    _run(first.async_catch_up())
    assert first.state == second.state


def test_row_of_another_author_is_not_taken_for_own() -> None:
    """A record of another author is taken for the own lost one."""
    table = FakeTable()
    first, second = _journal(table, 'a'), _journal(table, 'b')
    _run(first.async_append(_declared()))
    table.lose_next_write = True
    outcomes = _run(second.async_append(_declared(based_on=1)))
    assert outcomes == [Applied()]
    assert second.state.generation == 2


def test_outage_leaves_local_map_unchanged() -> None:
    """The local map is changed or dropped while the table is down."""
    table = FakeTable()
    journal = _journal(table)
    _run(journal.async_append(_declared()))
    before = journal.state
    table.down = True
    with pytest.raises(JournalUnavailableError):
        _run(journal.async_append(_declared(based_on=1)))
    assert journal.state is before
    assert journal.state.generation == 1


def test_records_with_a_gap_are_not_applied() -> None:
    """Gossip delivers newer records while earlier ones are missing."""
    table = FakeTable()
    first, second = _journal(table, 'a'), _journal(table, 'b')
    _run(first.async_append(_declared()))
    _run(first.async_append(_declared(based_on=1)))
    second.on_records(first.records_after(1))
    assert second.state.generation == 0
    second.on_records(first.records_after(0))
    assert second.state == first.state


def test_older_map_does_not_replace_a_newer_one() -> None:
    """A lagging peer sends its whole map, which reverts newer records."""
    table = FakeTable()
    first, second = _journal(table, 'a'), _journal(table, 'b')
    _run(first.async_append(_declared()))
    old = first.state
    _run(second.async_catch_up())
    _run(second.async_append(_declared(based_on=1)))
    newer = second.state
    second.replace(old)
    assert second.state is newer
