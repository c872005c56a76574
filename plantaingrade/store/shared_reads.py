"""Read rows through one member of the own zone, which reads them for all.

Load: every member reads the rows of all services now and then, to find what it
has missed. One read serves all members of an availability zone; a member that
loses the reading one reads by itself at once, and chooses another one.
"""

from typing import Protocol

from plantaingrade.clock import Clock
from plantaingrade.codec import MalformedMessageError
from plantaingrade.eventlog import EventLog
from plantaingrade.peers.delegates import Delegates
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import (
    NotDone,
    RangeRead,
    ReadOutcome,
    RowsWanted,
    StoreFailure,
)
from plantaingrade.store.epochs import StoreEpochs
from plantaingrade.store.interface import Store
from plantaingrade.store.read_cache import ReadCache
from plantaingrade.store.relay import READ_CODEC, ROWS_WANTED_CODEC

PATH_SHARED_READ = '/-/store/shared-read'
# Time limit of a call to the reading member.
SHARED_LIMIT_S = 1.2


class SharedReadCalls(Protocol):
    """Client for the reading member of a zone."""

    async def async_post(
        self, member: Member, path: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Call a member; return None without an answer."""


class SharedReads:
    """Reads rows for one member, through the reading one if possible."""

    __slots__ = (
        '_cache',
        '_calls',
        '_clock',
        '_delegates',
        '_log',
        '_own',
        '_store',
    )

    def __init__(
        self,
        own: Member,
        store: Store,
        cache: ReadCache,
        calls: SharedReadCalls,
        delegates: Delegates,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Use ``cache`` where the own member is the delegate."""
        self._own = own
        self._store = store
        self._cache = cache
        self._calls = calls
        self._delegates = delegates
        self._clock = clock
        self._log = log

    @property
    def epochs(self) -> StoreEpochs:
        """Return the known epochs of the store."""
        return self._store.epochs

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows of a part, as read a short time ago."""
        wanted = RowsWanted(table, part)
        reader = self._delegates.choose(self._clock.now())
        if reader is None:
            return await self._store.async_read(table, part)
        if reader.name == self._own.name:
            outcome = await self._cache.async_read(wanted)
        else:
            outcome = await self._async_ask(reader, wanted)
        if isinstance(outcome, RangeRead):
            if outcome.epoch > self.epochs.newest:
                self.epochs.record(outcome.epoch)
            if outcome.epoch == self.epochs.newest:
                return outcome
        else:
            self._delegates.on_failure(reader, self._clock.now())
            self._log.write(
                'reader-failed', member=reader.name, why=outcome.failure
            )
        return await self._store.async_read(table, part)

    async def _async_ask(
        self, reader: Member, wanted: RowsWanted
    ) -> ReadOutcome:
        body = ROWS_WANTED_CODEC.encode(wanted)
        answer = await self._calls.async_post(
            reader, PATH_SHARED_READ, body, SHARED_LIMIT_S
        )
        if answer is None:
            return NotDone(StoreFailure.NOT_REACHED)
        try:
            return READ_CODEC.decode(answer)
        except MalformedMessageError:
            return NotDone(StoreFailure.MALFORMED)
