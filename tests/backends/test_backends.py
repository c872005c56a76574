"""Dialects of vendors, and the state derived from their reports."""

import pytest

from plantaingrade.backends.coordinator import BackendCoordinator
from plantaingrade.backends.dialects import classify_response, read_report
from plantaingrade.backends.entity import (
    BackendState,
    Dialect,
    FenceRefused,
    Ran,
    Report,
    ResponseKind,
    Shed,
    StatusDialect,
    TextDialect,
)

READY = Report(BackendState.READY, 1, 6)


@pytest.mark.parametrize(
    ('dialect', 'body'),
    [
        (StatusDialect(), b'{"state": "ready", "in_flight": 1, "slots": 6}'),
        (TextDialect(), b'OK load=1/6\n'),
    ],
)
def test_dialects_return_the_same_report(dialect: Dialect, body: bytes) -> None:
    """Reports of two vendors are read into the same form."""
    assert read_report(dialect, body) == READY


@pytest.mark.parametrize('dialect', [StatusDialect(), TextDialect()])
@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{"state": "fine"}', b'OK load=x/6', b'GREAT load=1/6'],
)
def test_malformed_report_is_rejected(dialect: Dialect, body: bytes) -> None:
    """A server sends a report that is not of its dialect."""
    with pytest.raises(ValueError, match=r'report|line|Expecting'):
        read_report(dialect, body)


@pytest.mark.parametrize(
    ('dialect', 'status', 'headers', 'kind'),
    [
        (StatusDialect(), 200, {}, Ran()),
        (StatusDialect(), 503, {}, Ran()),
        (StatusDialect(), 409, {}, Ran()),
        (StatusDialect(), 503, {b'x-not-started': b'slots'}, Shed()),
        (StatusDialect(), 409, {b'x-not-started': b'fence'}, FenceRefused()),
        (TextDialect(), 429, {}, Shed()),
        (TextDialect(), 503, {}, Ran()),
        (TextDialect(), 412, {}, Ran()),
        (TextDialect(), 412, {b'fence': b'stale'}, FenceRefused()),
    ],
)
def test_only_proof_counts_as_not_run(
    dialect: Dialect,
    status: int,
    headers: dict[bytes, bytes],
    kind: ResponseKind,
) -> None:
    """An answer counts as not run only where the dialect proves it."""
    assert classify_response(dialect, status, headers) == kind


def _backend() -> BackendCoordinator:
    return BackendCoordinator(None, '127.0.0.1:1', StatusDialect())


def test_one_missed_poll_does_not_mark_server_down() -> None:
    """One connection is dead, but the server is healthy."""
    backend = _backend()
    backend.on_report(READY)
    backend.on_miss()
    assert backend.state is BackendState.READY


def test_thawed_server_needs_two_ready_reports() -> None:
    """A frozen server continues and reports ready before it is usable."""
    backend = _backend()
    backend.on_report(READY)
    backend.on_miss()
    backend.on_miss()
    assert backend.state is BackendState.DOWN
    backend.on_report(READY)
    assert backend.state is BackendState.DOWN
    backend.on_report(READY)
    assert backend.state is BackendState.READY


def test_refused_connection_marks_server_down() -> None:
    """Nothing listens at the address, so no second poll is needed."""
    backend = _backend()
    backend.on_report(READY)
    backend.on_refused()
    assert backend.state is BackendState.DOWN
