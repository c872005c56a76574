"""Structured log: one JSON object a line on standard output.

A line tells of one decision or one change of belief: what it was about, what
decided it, how old that was, and what came of it. Writing never waits: lines
that the reader of standard output does not take stay in a bounded buffer, and
what does not fit is counted and dropped. Each kind of line has a rate of its
own, so that a flood of one kind hides no other.
"""

import fcntl
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import msgspec

from plantaingrade.clock import Clock

# Lines of one kind in one second. A process serves some 100 requests a second
# under heavy load, so each request's line fits.
LINES_PER_KIND = 150
# Bytes kept for a reader that does not read: ten seconds at the full rate of
# one kind, at 150 bytes a line.
MAX_BUFFER_BYTES = 262_144
FD_STDOUT = 1
PERIOD_S = 1.0
LINE_END = b'\n'
_encode = msgspec.json.Encoder(enc_hook=str).encode


class EventLog:
    """Write events as lines, within bounds."""

    __slots__ = (
        '_buffer',
        '_on_event',
        '_clock',
        '_count_by_kind',
        '_fd',
        '_period_from',
        '_size',
        '_started',
        'dropped_by_kind',
        'name',
    )

    def __init__(self, name: str, clock: Clock, fd: int = FD_STDOUT) -> None:
        """Write to an open file under the name of a process."""
        self._on_event: Callable[[str], None] | None = None
        self.name = name
        self.dropped_by_kind: Counter[str] = Counter()
        self._clock = clock
        self._fd = fd
        self._buffer: deque[bytes] = deque()
        self._size = 0
        self._count_by_kind: Counter[str] = Counter()
        self._started = clock.now()
        self._period_from = self._started
        _set_non_blocking(fd)

    def write(self, kind: str, /, **fields: Any) -> None:
        """Write one event."""
        if self._on_event is not None:
            self._on_event(kind)
        now = self._clock.now()
        if now - self._period_from >= PERIOD_S:
            self._begin_period(now)
        self._count_by_kind[kind] += 1
        if self._count_by_kind[kind] > LINES_PER_KIND:
            self.dropped_by_kind[kind] += 1
            return
        self._append(kind, now, fields)
        self.flush()

    def set_event_callback(self, on_event: Callable[[str], None]) -> None:
        """Count every event, also those whose lines are dropped."""
        self._on_event = on_event

    def flush(self) -> None:
        """Hand on what the reader takes at once."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place to report it.
                self._buffer.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def _append(self, kind: str, now: float, fields: dict[str, Any]) -> None:
        text = _encode(
            {
                't': round(now - self._started, 3),
                'node': self.name,
                'event': kind,
                **fields,
            }
        )
        line = b''.join((text, LINE_END))
        if self._size + len(line) > MAX_BUFFER_BYTES:
            self.dropped_by_kind[kind] += 1
            return
        self._buffer.append(line)
        self._size += len(line)

    def _begin_period(self, now: float) -> None:
        self._period_from = now
        self._count_by_kind.clear()
        if self.dropped_by_kind:
            dropped = dict(self.dropped_by_kind)
            self.dropped_by_kind.clear()
            self._append('log-lines-dropped', now, {'by_kind': dropped})


def _set_non_blocking(fd: int) -> None:
    flags = fcntl.fcntl(fd, fcntl.F_GETFL)
    fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)
