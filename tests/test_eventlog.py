"""The structured log."""

import json
import os

from plantaingrade.eventlog import (
    LINES_PER_KIND,
    MAX_BUFFER_BYTES,
    EventLog,
)


class ManualClock:
    """Clock whose time the test sets."""

    def __init__(self) -> None:
        """Start at zero."""
        self.at = 0.0

    def now(self) -> float:
        """Return the time set."""
        return self.at


def make_log() -> tuple[EventLog, ManualClock, int]:
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    clock = ManualClock()
    return EventLog('n1', clock, write_end), clock, read_end


def lines_of(read_end: int) -> list[dict]:
    text = b''
    while True:
        try:
            chunk = os.read(read_end, 65_536)
        except BlockingIOError:
            break
        text += chunk
    return [json.loads(line) for line in text.splitlines()]


def test_line_has_time_node_event_and_fields() -> None:
    log, clock, read_end = make_log()
    clock.at = 1.5
    log.write('request', id='r1', kind='2i', why=None)
    assert lines_of(read_end) == [
        {
            't': 1.5,
            'node': 'n1',
            'event': 'request',
            'id': 'r1',
            'kind': '2i',
            'why': None,
        }
    ]


def test_flood_of_one_kind_is_limited_and_counted() -> None:
    log, clock, read_end = make_log()
    for number in range(LINES_PER_KIND * 3):
        log.write('request', number=number)
    log.write('lease-lost', why='test')
    clock.at = 1.1
    log.write('request', number=-1)
    lines = lines_of(read_end)
    events = [line['event'] for line in lines]
    assert events.count('request') == LINES_PER_KIND + 1
    assert 'lease-lost' in events
    dropped = next(
        line for line in lines if line['event'] == 'log-lines-dropped'
    )
    assert dropped['by_kind'] == {'request': LINES_PER_KIND * 2}


def test_stopped_reader_does_not_block_writing() -> None:
    """The reader of standard output stops, and its pipe is full.

    Writing must not block and must buffer a bounded number of bytes. Buffered
    lines must be written completely when the reader resumes.
    """
    log, clock, read_end = make_log()
    filler = 'x' * 1000
    for number in range(2000):
        clock.at = number / 100
        log.write('change', number=number, filler=filler)
    kept = lines_of(read_end)
    log.flush()
    kept += lines_of(read_end)
    while True:
        log.flush()
        more = lines_of(read_end)
        if not more:
            break
        kept += more
    assert len(kept) * 1000 < MAX_BUFFER_BYTES + 2 * 65_536
    numbers = [line['number'] for line in kept if line['event'] == 'change']
    assert numbers == sorted(numbers)


def test_closed_reader_is_not_an_error() -> None:
    log, _, read_end = make_log()
    os.close(read_end)
    log.write('request', id='r1')
    log.write('request', id='r2')


def test_callback_receives_dropped_events_too() -> None:
    log, _, _ = make_log()
    counted: list[str] = []
    log.set_event_callback(counted.append)
    for _ in range(LINES_PER_KIND * 2):
        log.write('request')
    assert len(counted) == LINES_PER_KIND * 2
