"""The operators' language and the outcomes of commands."""

import asyncio
from typing import Any

import pytest

from plantaingrade.journal.coordinator import JournalCoordinator
from plantaingrade.journal.entity import MemberState
from plantaingrade.operators.coordinator import (
    OperatorCoordinator,
    explain_owner,
)
from plantaingrade.operators.entity import (
    Accepted,
    AlreadyDone,
    Drain,
    Lost,
    MoveKey,
    MoveSlice,
    OwnerOf,
    Refused,
    Resume,
    Retire,
    ShowConfig,
    ShowServers,
    Statement,
    StatementError,
    Unsettled,
)
from plantaingrade.operators.grammar import parse_statement
from tests.journal.test_coordinator import FakeTable
from tests.ownership.test_table import make_state


@pytest.mark.parametrize(
    ('text', 'statement'),
    [
        ('owner of 4711 in casebook', OwnerOf('casebook', '4711')),
        ('OWNER OF "a b" IN casebook', OwnerOf('casebook', 'a b')),
        ('show servers', ShowServers('')),
        ('show servers of casebook', ShowServers('casebook')),
        ('show config', ShowConfig()),
        ('move key 7 in casebook to s-2', MoveKey('casebook', '7', 's-2')),
        ('move slice 3 of casebook to s-2', MoveSlice('casebook', 3, 's-2')),
        ('drain casebook-1', Drain('casebook-1')),
        ('resume casebook-1', Resume('casebook-1')),
        ('retire casebook-1', Retire('casebook-1')),
    ],
)
def test_statements(text: str, statement: Statement) -> None:
    """Each form of the grammar must give the right statement."""
    assert parse_statement(text) == statement


@pytest.mark.parametrize(
    'text',
    ['', 'drain', 'drop everything', 'move slice x of a to b', 'owner of in x'],
)
def test_syntax_error_is_reported(text: str) -> None:
    """A mistyped statement must be rejected with an explanation."""
    with pytest.raises(StatementError, match='Not understood'):
        parse_statement(text)


def _operators(table: FakeTable) -> OperatorCoordinator:
    journal = JournalCoordinator(table, None, 'any')
    journal.state = make_state()
    return OperatorCoordinator(journal, None)


def _send(operators: OperatorCoordinator, text: str, command_id: str) -> Any:
    statement = parse_statement(text)
    return asyncio.run(
        operators.async_command(statement, command_id, 'ana', text),
    )


def test_command_sent_twice_runs_once() -> None:
    """A command resent after its answer was lost must not run again."""
    operators = _operators(FakeTable())
    assert isinstance(_send(operators, 'drain a', 'c1'), Accepted)
    assert isinstance(_send(operators, 'drain a', 'c1'), AlreadyDone)


def test_conflicting_command_reports_the_winner() -> None:
    """Of two operators at two processes only one may succeed."""
    table = FakeTable()
    first, second = _operators(table), _operators(table)
    assert isinstance(_send(first, 'drain a', 'c1'), Accepted)
    assert _send(second, 'resume a', 'c2') == Lost('c2', 'c1')


def test_command_during_an_outage_can_be_retried() -> None:
    """The answer in an outage must allow a retry with the same id."""
    table = FakeTable()
    operators = _operators(table)
    table.down = True
    outcome = _send(operators, 'drain a', 'c1')
    assert isinstance(outcome, Unsettled)
    assert outcome.retry_after_s > 0
    table.down = False
    assert isinstance(_send(operators, 'drain a', 'c1'), Accepted)


def test_command_for_unknown_server_is_refused() -> None:
    """A command for an unknown server must not be accepted."""
    outcome = _send(_operators(FakeTable()), 'drain nobody', 'c1')
    assert isinstance(outcome, Refused)


def test_moved_key_gets_its_own_slice() -> None:
    """A hot key must be movable apart from the rest of its slice."""
    operators = _operators(FakeTable())
    outcome = _send(operators, 'move key 4711 in casebook to c', 'c1')
    assert isinstance(outcome, Accepted)
    answer = operators.answer(OwnerOf('casebook', '4711'))
    assert answer['slice']['slice_id'] == 'casebook/key:4711'
    assert answer['slice']['wanted_owner'] == 'c'


def test_retired_server_cannot_be_resumed() -> None:
    """A resume must not bring a retired server back into service."""
    operators = _operators(FakeTable())
    _send(operators, 'retire a', 'c1')
    assert isinstance(_send(operators, 'resume a', 'c2'), Refused)


def test_owner_query_returns_owner_and_successor() -> None:
    """The answer must name the owner, its state and the successor."""
    answer = explain_owner(make_state(), 'casebook', '4711')
    assert answer['owner']['member'] == 'a'
    assert answer['owner']['state'] == MemberState.READY
    assert answer['slice']['successor'] == 'b'
