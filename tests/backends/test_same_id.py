"""A server that starts again under the id it had, told by when it was born."""

import json

from plantaingrade.backends.incarnation import (
    IncarnationTracker,
    IncarnationChange,
)
from plantaingrade.backends.report import Farewell, ServerIncarnation
from plantaingrade.http.messages import Request
from plantaingrade.platform.const import PATH_REPORTS
from plantaingrade.platform.reports import decode_report

FIRST_BORN_MS = 1_764_720_000_000
SECOND_BORN_MS = FIRST_BORN_MS + 30_000


def beat(
    life: IncarnationTracker, born: int, sequence: int, state: str, slots: int
) -> IncarnationChange:
    """Let a heartbeat arrive as the server sends it."""
    fields = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'capacity': slots,
        'state': state,
        'coldRemaining': '0ms',
        'sequence': sequence,
        'born': born,
    }
    target = PATH_REPORTS + b'i-1'
    raw = Request.build('PUT', target, [('host', 'h')])
    report = decode_report(raw, json.dumps(fields).encode())
    return life.on_heartbeat(report, float(sequence))


def test_a_new_life_under_the_old_id_is_a_new_life() -> None:
    """A server crashes and starts again under its id, with more slots.

    Its counts start anew. Its heartbeats are taken for late ones of the life
    before until their count is past the old one: nobody learns that its keys
    are gone, nor how many slots it has.
    """
    life = IncarnationTracker()
    beat(life, FIRST_BORN_MS, 40, 'ready', 4)
    change = beat(life, SECOND_BORN_MS, 1, 'ready', 8)
    assert change.is_new_life
    assert life.slots == 8


def test_a_life_that_left_may_come_back_under_its_id() -> None:
    """A server drains, ends, and starts again under the id that it had.

    The word that it left is taken to be of the new life too, so that it gets
    no work and no keys for as long as its process runs.
    """
    life = IncarnationTracker()
    beat(life, FIRST_BORN_MS, 40, 'ready', 4)
    beat(life, FIRST_BORN_MS, 41, 'draining', 4)
    life.on_farewell(Farewell(ServerIncarnation('i-1', FIRST_BORN_MS)), 42.0)
    for sequence in range(1, 60):
        beat(life, SECOND_BORN_MS, sequence, 'ready', 4)
    assert life.accepts_work


def test_a_late_heartbeat_of_the_life_before_changes_nothing() -> None:
    """A heartbeat of a crashed life is late; the id is the same in both."""
    life = IncarnationTracker()
    beat(life, FIRST_BORN_MS, 40, 'ready', 4)
    beat(life, SECOND_BORN_MS, 1, 'ready', 4)
    change = beat(life, FIRST_BORN_MS, 41, 'draining', 4)
    assert not change.is_leaving
    assert life.accepts_work
