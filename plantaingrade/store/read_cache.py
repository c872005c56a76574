"""Keep the last reads of rows for other processes of the availability zone."""

import asyncio

from msgspec import Struct

from plantaingrade.store.entity import RangeRead, ReadOutcome, RowsWanted
from plantaingrade.store.interface import Store

# Age up to which a read is passed on. Members refresh every 20 s or more.
MAX_AGE_S = 10.0
# Parts of which the last read is kept.
MAX_KEPT = 16


class StartedRead(Struct, frozen=True):
    """A read that has begun at a time of the event loop."""

    began_at: float
    task: asyncio.Task[ReadOutcome]


class ReadCache:
    """Reads rows on behalf of other processes, and keeps the last reads."""

    __slots__ = ('_read_by_part', '_store')

    def __init__(self, store: Store) -> None:
        """Use only direct store calls, so that relays cannot form a loop."""
        self._store = store
        self._read_by_part: dict[RowsWanted, StartedRead] = {}

    async def async_read(self, wanted: RowsWanted) -> ReadOutcome:
        """Return the rows as read at most ``MAX_AGE_S`` ago."""
        started = self._read_by_part.pop(wanted, None)
        if started is None or self._is_outdated(started):
            started = self._start(wanted)
        self._read_by_part[wanted] = started
        while len(self._read_by_part) > MAX_KEPT:
            self._read_by_part.pop(next(iter(self._read_by_part)))
        return await asyncio.shield(started.task)

    def _start(self, wanted: RowsWanted) -> StartedRead:
        loop = asyncio.get_running_loop()
        read = self._store.async_read(wanted.table, wanted.part)
        return StartedRead(loop.time(), loop.create_task(read))

    def _is_outdated(self, started: StartedRead) -> bool:
        age_s = asyncio.get_running_loop().time() - started.began_at
        if age_s > MAX_AGE_S:
            return True
        if not started.task.done():
            return False
        outcome = started.task.result()
        if isinstance(outcome, RangeRead):
            return outcome.epoch < self._store.epochs.newest
        return True
