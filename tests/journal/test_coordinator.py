"""Appending to the journal while the platform misbehaves."""

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
    """Rows in memory, with faults."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[tuple[str, int], Row] = {}
        self.down = False
        self.lose_next_answer = False
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
        """Write a row that must be new."""
        self._check()
        self.writes += 1
        if self.lose_next_write:
            self.lose_next_write = False
            raise PlatformOutcomeUnknownError('lost on the way there')
        place = (row.partition, row.sort)
        if place in self.rows:
            return Conflicted()
        self.rows[place] = row
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise PlatformOutcomeUnknownError('lost on the way back')
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


def test_lost_answer_is_read_back_and_written_once() -> None:
    """An assignment doubles: the write took effect, its answer was lost.

    The writer reads the row back, knows it by its write id, and goes on.
    """
    table = FakeTable()
    table.lose_next_answer = True
    journal = _journal(table)
    assert _run(journal.async_append(_declared())) == [Applied()]
    assert table.writes == 1
    assert len(table.rows) == 1


def test_lost_write_is_reported_as_unavailable() -> None:
    """The write never arrived; the author may append again."""
    table = FakeTable()
    table.lose_next_write = True
    journal = _journal(table)
    with pytest.raises(JournalUnavailableError):
        _run(journal.async_append(_declared()))
    assert _run(journal.async_append(_declared())) == [Applied()]
    assert len(table.rows) == 1


def test_loser_of_a_race_reads_and_appends_after() -> None:
    """Two processes append at once; both records stand, in one order."""
    table = FakeTable()
    first, second = _journal(table, 'a'), _journal(table, 'b')
    _run(first.async_append(_declared()))
    outcomes = _run(second.async_append(_declared()))
    assert second.state.generation == 2
    assert outcomes != [Applied()]
    _run(first.async_catch_up())
    assert first.state == second.state


def test_lost_answer_in_a_race_counts_for_the_right_author() -> None:
    """Another's record stands where the lost one would: not ours."""
    table = FakeTable()
    first, second = _journal(table, 'a'), _journal(table, 'b')
    _run(first.async_append(_declared()))
    table.lose_next_write = True
    outcomes = _run(second.async_append(_declared(based_on=1)))
    assert outcomes == [Applied()]
    assert second.state.generation == 2


def test_outage_changes_nothing_in_the_copy() -> None:
    """The table service is down; the copy stays as it is and in use."""
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
    """Gossip hands over newer records while some between are missing."""
    table = FakeTable()
    first, second = _journal(table, 'a'), _journal(table, 'b')
    _run(first.async_append(_declared()))
    _run(first.async_append(_declared(based_on=1)))
    second.on_records(first.records_after(1))
    assert second.state.generation == 0
    second.on_records(first.records_after(0))
    assert second.state == first.state


def test_older_map_does_not_replace_a_newer_one() -> None:
    """A lagging peer offers its whole map; nothing reverts."""
    table = FakeTable()
    first, second = _journal(table, 'a'), _journal(table, 'b')
    _run(first.async_append(_declared()))
    old = first.state
    _run(second.async_catch_up())
    _run(second.async_append(_declared(based_on=1)))
    newer = second.state
    second.replace(old)
    assert second.state is newer
