"""Structured log: one JSON object per line on standard output.

A line records one decision or one change of state: its subject, the data that
it was based on, the age of that data, and the outcome. Writing never blocks.
Lines that the reader of standard output has not read yet wait in a bounded
buffer; lines that do not fit are dropped and counted. Each event kind has its
own rate limit, so that a flood of one kind does not displace others.
"""

import fcntl
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import msgspec

from plantaingrade.clock import Clock

# Lines per event kind and second. A process serves about 100 requests a second
# under heavy load, so the line of every request is written.
LINES_PER_KIND = 150
# Buffer for a reader that does not read: ten seconds of one event kind at its
# full rate, at 150 bytes a line.
MAX_BUFFER_BYTES = 262_144
FD_STDOUT = 1
PERIOD_S = 1.0
LINE_END = b'\n'
_encode = msgspec.json.Encoder(enc_hook=str).encode


class EventLog:
    """Write events as JSON lines, with bounded rate and buffer."""

    __slots__ = (
        '_buffer',
        '_on_event',
        '_clock',
        '_count_by_kind',
        '_fd',
        '_period_started_at',
        '_buffered_bytes',
        '_started_at',
        'dropped_by_kind',
        'name',
    )

    def __init__(self, name: str, clock: Clock, fd: int = FD_STDOUT) -> None:
        """Write to a file descriptor; ``name`` identifies the process."""
        self._on_event: Callable[[str], None] | None = None
        self.name = name
        self.dropped_by_kind: Counter[str] = Counter()
        self._clock = clock
        self._fd = fd
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._count_by_kind: Counter[str] = Counter()
        self._started_at = clock.now()
        self._period_started_at = self._started_at
        _set_non_blocking(fd)

    def write(self, kind: str, /, **fields: Any) -> None:
        """Write one event, unless its kind has reached its rate limit."""
        if self._on_event is not None:
            self._on_event(kind)
        now = self._clock.now()
        if now - self._period_started_at >= PERIOD_S:
            self._begin_period(now)
        self._count_by_kind[kind] += 1
        if self._count_by_kind[kind] > LINES_PER_KIND:
            self.dropped_by_kind[kind] += 1
            return
        self._append(kind, now, fields)
        self.flush()

    def set_event_callback(self, on_event: Callable[[str], None]) -> None:
        """Set the callback for every event, including dropped ones."""
        self._on_event = on_event

    def flush(self) -> None:
        """Write buffered lines until the reader would block."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the failure cannot be
                # reported anywhere.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def _append(self, kind: str, now: float, fields: dict[str, Any]) -> None:
        text = _encode(
            {
                't': round(now - self._started_at, 3),
                'node': self.name,
                'event': kind,
                **fields,
            }
        )
        line = b''.join((text, LINE_END))
        if self._buffered_bytes + len(line) > MAX_BUFFER_BYTES:
            self.dropped_by_kind[kind] += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _begin_period(self, now: float) -> None:
        self._period_started_at = now
        self._count_by_kind.clear()
        if self.dropped_by_kind:
            dropped = dict(self.dropped_by_kind)
            self.dropped_by_kind.clear()
            self._append('log-lines-dropped', now, {'by_kind': dropped})


def _set_non_blocking(fd: int) -> None:
    flags = fcntl.fcntl(fd, fcntl.F_GETFL)
    fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)
