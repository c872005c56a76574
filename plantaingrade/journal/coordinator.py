"""Append records to the journal in the table service and apply new ones."""

import asyncio
import random
import uuid
from collections import deque
from collections.abc import Callable

from absl import logging

from plantaingrade.cloud.const import (
    PARTITION_JOURNAL,
    PARTITION_SNAPSHOT,
)
from plantaingrade.cloud.entity import (
    Conflicted,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    Stored,
)
from plantaingrade.cloud.objects import ObjectClient
from plantaingrade.cloud.table import TableClient
from plantaingrade.codec import Codec
from plantaingrade.errors import PlantaingradeError
from plantaingrade.journal.const import (
    MAX_RECENT_RECORDS,
    MAX_WRITE_ATTEMPTS,
    POLL_JITTER,
    RETRY_BASE_S,
    SNAPSHOT_INTERVAL,
    TABLE_POLL_INTERVAL_S,
)
from plantaingrade.journal.entity import (
    Change,
    ChangeOutcome,
    MapState,
    Record,
)
from plantaingrade.journal.rules import apply_record

RECORD_CODEC = Codec(Record)
STATE_CODEC = Codec(MapState)

RecordListener = Callable[[Record, list[ChangeOutcome]], None]


class JournalUnavailableError(PlantaingradeError):
    """Raised if a record could not be appended."""

    advice = 'The table service does not answer; try again in a few seconds.'


class JournalCoordinator:
    """Keeps the local copy of the map up to date with the journal."""

    __slots__ = (
        '_author',
        '_available',
        '_listeners',
        '_lock',
        '_outcomes_by_write',
        '_recent',
        '_snapshot_generation',
        '_store',
        '_table',
        'state',
    )

    def __init__(
        self,
        table: TableClient,
        store: ObjectClient,
        author: str,
    ) -> None:
        """Start with an empty map."""
        self.state = MapState()
        self._table = table
        self._store = store
        self._author = author
        self._available = True
        self._lock = asyncio.Lock()
        self._listeners: list[RecordListener] = []
        self._snapshot_generation = 0
        self._outcomes_by_write: dict[str, list[ChangeOutcome]] = {}
        self._recent: deque[Record] = deque(maxlen=MAX_RECENT_RECORDS)

    def add_listener(self, listener: RecordListener) -> None:
        """Call the listener after each record, before the next is applied."""
        self._listeners.append(listener)

    async def async_load(self) -> None:
        """Load the newest snapshot and apply all records after it.

        Raises:
            PlatformUnavailableError: the platform does not respond.
        """
        pointer = await self._table.async_get(PARTITION_SNAPSHOT, 0)
        if pointer is not None and int(pointer.body) > self.state.generation:
            await self._load_snapshot(pointer.body)
        await self.async_catch_up()

    async def _load_snapshot(self, name: str) -> None:
        """Load a snapshot; without the object store, start from record 1."""
        try:
            raw = await self._store.async_get(f'map/{name}')
        except PlatformUnavailableError:
            logging.warning(
                'Object store is unavailable; reading all journal records'
            )
            return
        if raw is not None:
            self.replace(STATE_CODEC.decode(raw))

    async def async_catch_up(self) -> None:
        """Read and apply the records that this copy lacks.

        Raises:
            PlatformUnavailableError: the table service does not respond.
        """
        while True:
            known = self.state.generation
            rows = await self._table.async_query(PARTITION_JOURNAL, known)
            self._set_available(available=True)
            self.on_records([RECORD_CODEC.decode(row.body) for row in rows])
            if self.state.generation == known:
                return

    async def async_follow(self) -> None:
        """Poll the table periodically, in case gossip misses a record."""
        while True:
            await asyncio.sleep(
                TABLE_POLL_INTERVAL_S * random.uniform(*POLL_JITTER)
            )
            try:
                await self.async_catch_up()
            except PlatformUnavailableError:
                self._set_available(available=False)

    async def async_append(self, *changes: Change) -> list[ChangeOutcome]:
        """Append one record and return the outcome of each change.

        Raises:
            JournalUnavailableError: the record was not appended, or this is
                unknown; every change can safely be appended again.
        """
        async with self._lock:
            write_id = uuid.uuid4().hex
            for attempt in range(MAX_WRITE_ATTEMPTS):
                outcomes = await self._try_append(write_id, changes)
                if outcomes is not None:
                    return outcomes
                await asyncio.sleep(RETRY_BASE_S * attempt * random.random())
            raise JournalUnavailableError('Too many concurrent writers.')

    def on_records(self, records: list[Record]) -> None:
        """Apply the records that follow this copy without a gap."""
        for record in records:
            if record.generation == self.state.generation + 1:
                self._apply(record)

    def replace(self, state: MapState) -> None:
        """Replace the map by another one if that is newer."""
        if state.generation <= self.state.generation:
            return
        self.state = state
        self._recent.clear()
        self._notify(Record(state.generation, '', '', ()), [])

    def records_after(self, generation: int) -> list[Record] | None:
        """Return the later records, or None if they are no longer kept."""
        if generation >= self.state.generation:
            return []
        if not self._recent or self._recent[0].generation > generation + 1:
            return None
        return [
            record for record in self._recent if record.generation > generation
        ]

    async def async_snapshot(self) -> None:
        """Write a snapshot if enough records were applied since the last.

        Raises:
            PlatformUnavailableError: the platform does not respond.
        """
        generation = self.state.generation
        if generation < self._snapshot_generation + SNAPSHOT_INTERVAL:
            return
        pointer = await self._table.async_get(PARTITION_SNAPSHOT, 0)
        if pointer is not None:
            self._snapshot_generation = int(pointer.body)
        if generation < self._snapshot_generation + SNAPSHOT_INTERVAL:
            return
        raw = STATE_CODEC.encode(self.state)
        await self._store.async_put(f'map/{generation}', raw)
        row = Row(PARTITION_SNAPSHOT, 0, str(generation), generation)
        if pointer is None:
            await self._table.async_put_new(row)
        else:
            await self._table.async_replace(row, pointer.version)

    async def _try_append(
        self,
        write_id: str,
        changes: tuple[Change, ...],
    ) -> list[ChangeOutcome] | None:
        generation = self.state.generation + 1
        record = Record(generation, write_id, self._author, changes)
        body = RECORD_CODEC.encode(record).decode()
        row = Row(PARTITION_JOURNAL, generation, body, generation)
        try:
            outcome = await self._write(row, write_id)
        except PlatformUnavailableError as error:
            self._set_available(available=False)
            raise JournalUnavailableError(
                'The record was not appended.'
            ) from error
        self._set_available(available=True)
        match outcome:
            case Stored():
                self.on_records([record])
            case Conflicted():
                await self._read_conflicting()
        return self._outcomes_by_write.pop(write_id, None)

    async def _write(self, row: Row, write_id: str) -> Stored | Conflicted:
        try:
            return await self._table.async_put_new(row)
        except PlatformOutcomeUnknownError as error:
            # The write may have taken effect although its response was lost, so
            # the row is read back and its write id compared.
            stored = await self._table.async_get(row.partition, row.sort)
            if stored is None:
                raise PlatformUnavailableError(
                    'The written row was not found.'
                ) from error
            is_own = RECORD_CODEC.decode(stored.body).write_id == write_id
            return Stored() if is_own else Conflicted()

    async def _read_conflicting(self) -> None:
        try:
            await self.async_catch_up()
        except PlatformUnavailableError as error:
            raise JournalUnavailableError(
                'The journal could not be read.'
            ) from error

    def _apply(self, record: Record) -> None:
        outcomes = apply_record(self.state, record)
        if record.author == self._author:
            self._outcomes_by_write[record.write_id] = outcomes
        self._recent.append(record)
        self._notify(record, outcomes)

    def _notify(self, record: Record, outcomes: list[ChangeOutcome]) -> None:
        for listener in list(self._listeners):
            listener(record, outcomes)

    def _set_available(self, *, available: bool) -> None:
        if available is self._available:
            return
        self._available = available
        if available:
            logging.info('Table service is available again')
        else:
            logging.warning(
                'Table service is unavailable; owners keep their slices'
            )
