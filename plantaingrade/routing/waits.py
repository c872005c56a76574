"""Tries that wait for the first byte of another process's answer."""

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from plantaingrade.journal.entity import ChangeOutcome, Ended, Record


class WaitTable:
    """End the waiting for members that the journal shows to be over.

    Once the lease of a process is proven over, its answer is given up on: it
    may be frozen, and the key served elsewhere.
    """

    __slots__ = ('_limits_by_member',)

    def __init__(self) -> None:
        """Start without waits."""
        self._limits_by_member: dict[str, set[asyncio.Timeout]] = defaultdict(
            set,
        )

    @contextmanager
    def waiting(self, member: str, limit: asyncio.Timeout) -> Iterator[None]:
        """Let the limit end early if the member is over."""
        limits = self._limits_by_member[member]
        limits.add(limit)
        try:
            yield
        finally:
            limits.discard(limit)

    def on_record(self, record: Record, _: list[ChangeOutcome]) -> None:
        """End waits as the journal tells."""
        for change in record.changes:
            if isinstance(change, Ended):
                self._end(change.member)

    def _end(self, member: str) -> None:
        now = asyncio.get_running_loop().time()
        for limit in self._limits_by_member.pop(member, ()):
            limit.reschedule(now)
