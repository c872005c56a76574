"""The structured log."""

import json
import os

from plantaingrade.eventlog import (
    LINES_PER_KIND,
    MAX_BUFFER_BYTES,
    EventLog,
)


class SetClock:
    """Clock that the test sets."""

    def __init__(self) -> None:
        """Start at zero."""
        self.at = 0.0

    def now(self) -> float:
        """Return the time set."""
        return self.at


def make_log() -> tuple[EventLog, SetClock, int]:
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    clock = SetClock()
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


def test_a_line_holds_what_is_needed_to_explain_it() -> None:
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


def test_a_flood_of_one_kind_hides_no_other_and_is_counted() -> None:
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


def test_a_reader_that_stops_reading_delays_nobody() -> None:
    """Nobody reads standard output any more, and its pipe is full.

    Writing goes on at once, keeps a bounded number of bytes, and what was
    kept comes out whole when the reader is back.
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


def test_a_closed_reader_is_no_error() -> None:
    log, _, read_end = make_log()
    os.close(read_end)
    log.write('request', id='r1')
    log.write('request', id='r2')


def test_every_event_is_counted_also_those_dropped() -> None:
    log, _, _ = make_log()
    counted: list[str] = []
    log.set_event_callback(counted.append)
    for _ in range(LINES_PER_KIND * 2):
        log.write('request')
    assert len(counted) == LINES_PER_KIND * 2
