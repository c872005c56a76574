"""A restart with the same id is recognised by the start time."""

import json

from plantaingrade.backends.incarnation import (
    IncarnationChange,
    IncarnationTracker,
)
from plantaingrade.backends.report import Farewell, ServerIncarnation
from plantaingrade.http.messages import Request
from plantaingrade.platform.const import PATH_REPORTS
from plantaingrade.platform.reports import decode_report

FIRST_START_MS = 1_764_720_000_000
SECOND_START_MS = FIRST_START_MS + 30_000


def apply_heartbeat(
    tracker: IncarnationTracker,
    started_ms: int,
    sequence: int,
    state: str,
    slots: int,
) -> IncarnationChange:
    """Decode a heartbeat as the server sends it, and apply it."""
    fields = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'capacity': slots,
        'state': state,
        'coldRemaining': '0ms',
        'sequence': sequence,
        'born': started_ms,
    }
    target = PATH_REPORTS + b'i-1'
    raw = Request.build('PUT', target, [('host', 'h')])
    report = decode_report(raw, json.dumps(fields).encode())
    return tracker.on_heartbeat(report, float(sequence))


def test_restart_with_the_same_id_is_a_new_incarnation() -> None:
    """A server crashes and restarts with the same id and more slots.

    Its sequence restarts too. If its heartbeats count as late ones of the
    previous incarnation until the sequence has passed the old one, neither the
    loss of its keys nor its new number of slots is noticed.
    """
    tracker = IncarnationTracker()
    apply_heartbeat(tracker, FIRST_START_MS, 40, 'ready', 4)
    change = apply_heartbeat(tracker, SECOND_START_MS, 1, 'ready', 8)
    assert change.is_new_incarnation
    assert tracker.slots == 8


def test_drained_server_may_restart_with_the_same_id() -> None:
    """A server drains, ends and restarts with the same id.

    If its farewell also counts for the new incarnation, the server gets no
    work and no keys for as long as its sidecar process runs.
    """
    tracker = IncarnationTracker()
    apply_heartbeat(tracker, FIRST_START_MS, 40, 'ready', 4)
    apply_heartbeat(tracker, FIRST_START_MS, 41, 'draining', 4)
    tracker.on_farewell(
        Farewell(ServerIncarnation('i-1', FIRST_START_MS)), 42.0
    )
    for sequence in range(1, 60):
        apply_heartbeat(tracker, SECOND_START_MS, sequence, 'ready', 4)
    assert tracker.accepts_work


def test_late_heartbeat_of_previous_incarnation_is_ignored() -> None:
    """A heartbeat from before a crash arrives late, with the same id."""
    tracker = IncarnationTracker()
    apply_heartbeat(tracker, FIRST_START_MS, 40, 'ready', 4)
    apply_heartbeat(tracker, SECOND_START_MS, 1, 'ready', 4)
    change = apply_heartbeat(tracker, FIRST_START_MS, 41, 'draining', 4)
    assert not change.is_leaving
    assert tracker.accepts_work
