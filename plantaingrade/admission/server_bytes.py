"""Bytes of requests at the local backend server at a time; performs no I/O.

Load that this answers to: uploads. A server crashes if the requests that it
holds exceed its memory, and it doesn't tell how much that is. It is learned
from crashes: fewer bytes than were at the server then, unless it has answered
with as many before, when its memory was not the cause.
"""

from msgspec import Struct

# Connections that break within this time belong to the same crash, in seconds.
SAME_CRASH_S = 0.2
# A crash with fewer bytes at the server is not attributed to its memory.
MIN_CRASH_BYTES = 65_536
# Part of the bytes at a crash that are sent from then on: some of them may not
# have arrived yet.
CRASH_FRACTION = 0.6
# No limit is learned from a crash with at most this multiple of the bytes that
# the server has held without a crash.
SURVIVED_MULTIPLE = 1.1
# The limit rises by a quarter after each such time without a crash, in seconds,
# as the crash may have had another cause.
RAISE_AFTER_S = 10.0
RAISE_FACTOR = 1.25
# The bytes known to be survived are reduced by this factor after a crash from
# which no limit is learned: the next server may have less memory.
FORGET_FACTOR = 0.8
# The limit ends when it is this many times the bytes at the crash.
END_MULTIPLE = 2.0


class LearnedByteLimit(Struct, frozen=True):
    """A limit learned from a crash, and the bytes at the server then."""

    limit: int
    at_crash: int


class ServerBytes:
    """Bytes at the server, and how many it may get at a time."""

    __slots__ = (
        '_at_break',
        '_at_crash',
        '_broken_at',
        '_changed_at',
        '_limit',
        '_survived',
        'running',
    )

    def __init__(self) -> None:
        """Start without bytes at the server and without a limit."""
        self.running = 0
        self._limit: float | None = None
        self._survived = 0.0
        self._at_break = 0
        self._broken_at = float('-inf')
        self._at_crash = 0
        self._changed_at = 0.0

    def limit_at(self, now: float) -> float | None:
        """Return how many bytes may be at the server, None if not limited."""
        self._relax(now)
        return self._limit

    def admits(self, size: int, now: float) -> bool:
        """Return whether a request of ``size`` bytes may be sent now.

        One request may always be: it can't be made smaller.
        """
        if not size or not self.running:
            return True
        limit = self.limit_at(now)
        return limit is None or self.running + size <= limit

    def add(self, size: int) -> None:
        """Count a request that is sent."""
        self.running += size

    def remove(self, size: int) -> None:
        """Count a request as ended."""
        self.running -= size

    def on_answer(self, running: int) -> None:
        """Learn that the server held ``running`` bytes without a crash."""
        self._survived = max(self._survived, running)

    def on_broken(self, now: float) -> None:
        """Record a broken connection before its request counts as ended."""
        if now - self._broken_at > SAME_CRASH_S:
            self._at_break = self.running
        self._broken_at = now

    def on_crash(self, now: float) -> LearnedByteLimit | None:
        """Learn from a crash, which broke the connections just recorded."""
        at_crash = self._at_break
        self._at_break = 0
        if at_crash < MIN_CRASH_BYTES:
            return None
        if at_crash <= self._survived * SURVIVED_MULTIPLE:
            self._survived *= FORGET_FACTOR
            return None
        self._at_crash = at_crash
        self._limit = at_crash * CRASH_FRACTION
        self._changed_at = now
        return LearnedByteLimit(round(self._limit), at_crash)

    def _relax(self, now: float) -> None:
        while now - self._changed_at >= RAISE_AFTER_S:
            self._changed_at += RAISE_AFTER_S
            if self._limit is None:
                self._changed_at = now
                return
            self._limit *= RAISE_FACTOR
            if self._limit > END_MULTIPLE * self._at_crash:
                self._limit = None
