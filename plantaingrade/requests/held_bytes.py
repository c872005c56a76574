"""Bytes that one process holds in memory for others; performs no I/O.

Load that this answers to: many callers send large bodies or read their answers
slowly, and together, or one of them alone, would take all memory of the
process. An account, a caller's address or connection, may hold as much as is
left for all others (dynamic thresholds, as for shared switch buffers): alone it
gets half, and less while others hold much.
"""

from collections import Counter
from enum import StrEnum

from msgspec import Struct

from plantaingrade.requests.const import MAX_BODIES_BYTES

# An account may always hold this much while the budget is not used up: a short
# request and its answer.
MIN_ACCOUNT_BYTES = 16_384
# Share of the process's memory for held bytes. They are in memory twice while
# they are copied to a connection, and the rest is for the program.
MEMORY_SHARE = 0.25
BYTES_PER_MB = 1_000_000


class Side(StrEnum):
    """For whom bytes are held."""

    CALLERS = 'callers'
    PEERS = 'peers'
    # Answers of the own server and of other processes, while they are read.
    ANSWERS = 'answers'


class Account(Struct, frozen=True):
    """Who causes bytes to be held; ``port`` tells connections apart."""

    side: Side
    host: str
    port: int = 0


class Room(StrEnum):
    """Whether an account may have more bytes held."""

    FREE = 'free'
    # Later, when bytes have been released.
    LATER = 'later'
    # Not even if nothing else were held.
    NEVER = 'never'


def budget_bytes(memory_mb: float | None) -> int:
    """Return how many bytes a process with this memory may hold."""
    if not memory_mb:
        return MAX_BODIES_BYTES
    return round(memory_mb * BYTES_PER_MB * MEMORY_SHARE)


class HeldBytes:
    """Held bytes by account and side, within one limit for all."""

    __slots__ = (
        '_bytes_by_account',
        '_bytes_by_host',
        '_bytes_by_side',
        'limit',
        'peak_bytes',
        'used_bytes',
    )

    def __init__(self, limit: int) -> None:
        """Start with nothing held; ``limit`` is in bytes."""
        self.limit = limit
        self.used_bytes = 0
        self.peak_bytes = 0
        self._bytes_by_account: Counter[Account] = Counter()
        self._bytes_by_host: Counter[tuple[Side, str]] = Counter()
        self._bytes_by_side: Counter[Side] = Counter()

    def add(self, account: Account, size: int) -> None:
        """Count bytes that are held from now on."""
        self.used_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        self._bytes_by_account[account] += size
        self._bytes_by_host[account.side, account.host] += size
        self._bytes_by_side[account.side] += size

    def remove(self, account: Account, size: int) -> None:
        """Count bytes that are no longer held."""
        self.used_bytes -= size
        self._bytes_by_side[account.side] -= size
        _subtract(self._bytes_by_account, account, size)
        _subtract(self._bytes_by_host, (account.side, account.host), size)

    def held_by(self, side: Side) -> int:
        """Return how many bytes are held for a side."""
        return self._bytes_by_side[side]

    def held_for(self, account: Account) -> int:
        """Return the bytes of an account: of its host, or its connection.

        While all bytes are held for one host, which may be a proxy of many
        callers, its connections are told apart.
        """
        if len(self._bytes_by_host) > 1:
            return self._bytes_by_host[account.side, account.host]
        return self._bytes_by_account[account]

    def room_for(self, account: Account, size: int = 0) -> Room:
        """Return whether an account may have ``size`` more bytes held."""
        if size > self.limit / 2 and size > MIN_ACCOUNT_BYTES:
            return Room.NEVER
        left = self.limit - self.used_bytes - size
        held = self.held_for(account) + size
        if left >= 0 and held <= max(left, MIN_ACCOUNT_BYTES):
            return Room.FREE
        return Room.LATER

    def largest(self) -> tuple[str, int]:
        """Return the host with the most bytes held, and how many."""
        most = self._bytes_by_host.most_common(1)
        if not most:
            return '', 0
        (_, host), size = most[0]
        return host, size


def _subtract(counter: Counter, key: object, size: int) -> None:
    counter[key] -= size
    if not counter[key]:
        counter.pop(key)
