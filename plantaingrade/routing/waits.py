"""Requests that wait for the response head of another process."""

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from plantaingrade.journal.entity import ChangeOutcome, Ended, Record


class WaitTable:
    """Ends waits for members whose lease has ended by the journal.

    Such a member may be frozen, and its keys may have another owner, so its
    response is no longer waited for.
    """

    __slots__ = ('_timeouts_by_member',)

    def __init__(self) -> None:
        """Create an empty table."""
        self._timeouts_by_member: dict[str, set[asyncio.Timeout]] = defaultdict(
            set,
        )

    @contextmanager
    def track(self, member: str, timeout: asyncio.Timeout) -> Iterator[None]:
        """Expire the timeout early if the lease of the member ends."""
        timeouts = self._timeouts_by_member[member]
        timeouts.add(timeout)
        try:
            yield
        finally:
            timeouts.discard(timeout)

    def on_record(self, record: Record, _: list[ChangeOutcome]) -> None:
        """End the waits for members that the record ends."""
        for change in record.changes:
            if isinstance(change, Ended):
                self._expire(change.member)

    def _expire(self, member: str) -> None:
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts_by_member.pop(member, ()):
            timeout.reschedule(now)
