"""Dialects of vendors, and how far their reports are trusted."""

import pytest

from plantaingrade.backends.coordinator import BackendCoordinator
from plantaingrade.backends.dialects import classify_response, read_report
from plantaingrade.backends.entity import (
    BackendState,
    Dialect,
    FenceRefused,
    Ran,
    Report,
    Shed,
    StatusDialect,
    TextDialect,
    Verdict,
)

READY = Report(BackendState.READY, 1, 6)


@pytest.mark.parametrize(
    ('dialect', 'body'),
    [
        (StatusDialect(), b'{"state": "ready", "in_flight": 1, "slots": 6}'),
        (TextDialect(), b'OK load=1/6\n'),
    ],
)
def test_dialects_say_the_same(dialect: Dialect, body: bytes) -> None:
    """Two vendors' reports come out in one form."""
    assert read_report(dialect, body) == READY


@pytest.mark.parametrize('dialect', [StatusDialect(), TextDialect()])
@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{"state": "fine"}', b'OK load=x/6', b'GREAT load=1/6'],
)
def test_nonsense_is_no_report(dialect: Dialect, body: bytes) -> None:
    """A server reports something nobody understands."""
    with pytest.raises(ValueError, match=r'report|line|Expecting'):
        read_report(dialect, body)


@pytest.mark.parametrize(
    ('dialect', 'status', 'headers', 'verdict'),
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
    verdict: Verdict,
) -> None:
    """A caller is told "not run" only if the dialect proves it."""
    assert classify_response(dialect, status, headers) == verdict


def _backend() -> BackendCoordinator:
    return BackendCoordinator(None, '127.0.0.1:1', StatusDialect())


def test_one_missed_poll_is_not_a_dead_server() -> None:
    """One connection went silent; the server is fine."""
    backend = _backend()
    backend.on_report(READY)
    backend.on_miss()
    assert backend.state is BackendState.READY


def test_frozen_server_that_returns_is_not_trusted_at_once() -> None:
    """A server freezes, returns as if nothing had happened, claims ready."""
    backend = _backend()
    backend.on_report(READY)
    backend.on_miss()
    backend.on_miss()
    assert backend.state is BackendState.DOWN
    backend.on_report(READY)
    assert backend.state is BackendState.DOWN
    backend.on_report(READY)
    assert backend.state is BackendState.READY


def test_refused_connection_is_a_dead_server() -> None:
    """Nobody listens there any more; no second look is needed."""
    backend = _backend()
    backend.on_report(READY)
    backend.on_refused()
    assert backend.state is BackendState.DOWN
