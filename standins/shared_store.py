"""Stand-in for the shared platform's metadata store.

It serves the platform's HTTP protocol from memory. On command it fails for all
callers or for some, and executes the failed calls at once, late or not at all.
"""

import asyncio
import base64
import json
import random
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import click

from plantaingrade.addresses import split_address
from plantaingrade.clock import BootClock, Clock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.server import HttpServer
from plantaingrade.platform import const as paths
from plantaingrade.platform.const import HEADER_EPOCH
from plantaingrade.platform.units import format_time
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer

RowName = tuple[str, str, str]
FIRST_EPOCH = 0
STATUS_OK = 200
STATUS_BAD = 400
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_LIMITED = 429
STATUS_BUSY = 503
IDLE_S = 60.0
FAULT_TARGET = b'/-/fault'


class Outage(StrEnum):
    """How the store fails the calls of a caller."""

    NONE = 'none'
    SILENT = 'silent'
    BUSY = 'busy'
    LIMITED = 'limited'
    RESET = 'reset'
    # Calls are executed, their answers lost; the connection delivers nothing
    # further.
    LOST = 'lost'


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store.

    ``outage_by_host`` overrides ``outage`` for callers, by IP address.
    ``lost_share`` of the transactions are executed without an answer, and
    ``late_share`` only ``late_s`` later, also without an answer.
    """

    outage: Outage = Outage.NONE
    outage_by_host: dict[str, Outage] = field(default_factory=dict)
    lost_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 1.0
    delay_s: float = 0.0

    def find_outage(self, host: str) -> Outage:
        """Return the outage that applies to a caller."""
        return self.outage_by_host.get(host, self.outage)


@dataclass(slots=True)
class StoredRow:
    """One row; a deleted one is kept for the change feeds."""

    body: str
    version: int
    is_deleted: bool = False


@dataclass(slots=True)
class RowsSnapshot:
    """All rows as of one version."""

    row_by_name: dict[RowName, StoredRow] = field(default_factory=dict)
    version: int = 0


class Rows:
    """Versioned rows in memory."""

    def __init__(self) -> None:
        """Create without rows."""
        self.row_by_name: dict[RowName, StoredRow] = {}
        self.version = 0
        self.epoch = FIRST_EPOCH
        self.dropped_version = 0
        self.changed = asyncio.Event()

    def snapshot(self) -> RowsSnapshot:
        """Return a snapshot of all rows."""
        return RowsSnapshot(dict(self.row_by_name), self.version)

    def restore(self, snapshot: RowsSnapshot) -> None:
        """Restore a snapshot and lose all later writes.

        Versions are assigned a second time, so the epoch is raised and feeds
        must be read from the start.
        """
        self.row_by_name = dict(snapshot.row_by_name)
        self.version = snapshot.version
        self.epoch += 1
        self.drop_history()

    def commit(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a whole transaction, or nothing if a version differs."""
        expected = fields.get('expected', [])
        version_by_name = {
            _row_name(each): each['rowVersion'] for each in expected
        }
        if any(
            self.version_of(name) != version
            for name, version in version_by_name.items()
        ):
            rows = [
                self.encode(name)
                for name in version_by_name
                if self.version_of(name)
            ]
            return STATUS_CONFLICT, {'rows': rows}
        self.version += 1
        for each in fields.get('puts', []):
            row = StoredRow(each['value'], self.version)
            self.row_by_name[_row_name(each)] = row
        for each in fields.get('deletes', []):
            self.row_by_name[_row_name(each)] = StoredRow(
                '', self.version, True
            )
        self._notify()
        return STATUS_OK, {}

    def put(self, table: str, key: str, body: bytes, part: str = '') -> None:
        """Write a row without a condition."""
        entry = {
            'table': table,
            'part': part,
            'key': key,
            'value': base64.b64encode(body).decode(),
        }
        self.commit({'puts': [entry]})

    def delete(self, table: str, key: str, part: str = '') -> None:
        """Delete a row without a condition."""
        self.commit({'deletes': [{'table': table, 'part': part, 'key': key}]})

    def version_of(self, name: RowName) -> int:
        """Return a row's version, 0 if there is no such row."""
        row = self.row_by_name.get(name)
        return 0 if row is None or row.is_deleted else row.version

    def body_of(self, name: RowName) -> bytes | None:
        """Return a row's body, None if there is no such row."""
        if not self.version_of(name):
            return None
        return base64.b64decode(self.row_by_name[name].body)

    def encode(self, name: RowName) -> dict[str, Any]:
        """Return a row as it is encoded on the wire."""
        row = self.row_by_name[name]
        table, part, key = name
        fields: dict[str, Any] = {
            'table': table,
            'part': part,
            'key': key,
            'rowVersion': row.version,
        }
        if row.is_deleted:
            fields['deleted'] = True
        else:
            fields['value'] = row.body
        return fields

    def read(self, table: str, part: str, start: str) -> list[dict[str, Any]]:
        """Return the rows of a part, starting with a key."""
        return [
            self.encode(name)
            for name in sorted(self.row_by_name)
            if name[:2] == (table, part)
            and name[2] >= start
            and self.version_of(name)
        ]

    def changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the rows of a table that changed after a version."""
        names = [
            name
            for name, row in self.row_by_name.items()
            if name[0] == table and row.version > after
        ]
        names.sort(key=lambda name: self.row_by_name[name].version)
        return [self.encode(name) for name in names]

    def drop_history(self) -> None:
        """Drop the history, so that feeds must be read from the start."""
        self.dropped_version = self.version
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class SharedStore:
    """Serves rows over HTTP, with faults."""

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        """Create without rows and without faults."""
        self.rows = Rows()
        self._snapshot = RowsSnapshot()
        self.faults = StoreFaults()
        self.calls = 0
        self.bytes = 0
        # Calls that an outage has failed, by the caller's IP address.
        self.faulty_calls_by_host: Counter[str] = Counter()
        self._clock = clock
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HttpServer(clock, self._serve, refuse_malformed, IDLE_S)

    async def async_listen(self, address: str) -> None:
        """Start listening."""
        await self._server.async_listen(*split_address(address))

    async def async_close(self) -> None:
        """Cancel late transactions and stop listening."""
        for task in self._tasks:
            task.cancel()
        await self._server.async_close()

    async def _serve(self, raw: Request, channel: Channel) -> None:
        body = await read_body(channel)
        if raw.target == FAULT_TARGET:
            self._handle_command(json.loads(body), channel)
            return
        self.calls += 1
        self.bytes += len(body) + len(raw.target)
        host, _ = channel.transport.get_extra_info('peername')
        if await self._apply_outage(host, channel):
            return
        status, fields = await self._async_execute(raw.target.decode(), body)
        await self._async_answer_caller(channel, status, fields)

    async def _async_execute(
        self, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Execute a call; return the status and fields of its answer."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        match parts.path:
            case paths.PATH_TRANSACTION:
                return await self._commit(json.loads(body))
            case paths.PATH_RANGE:
                part = query.get('part', '')
                start = query.get('startKey', '')
                rows = self.rows.read(query['table'], part, start)
                return STATUS_OK, {'rows': rows, 'hasMore': False}
            case paths.PATH_FEED:
                return await self._async_wait_for_changes(query)
        return STATUS_BAD, {}

    def _handle_command(self, fields: dict[str, Any], channel: Channel) -> None:
        """Apply a command: ``{"outage": "busy", "host": "127.0.0.1"}``.

        Without a host it applies to all callers. ``{"config": TEXT}`` writes
        a configuration and ``{"puts": [ENTRY]}`` any row, as a transaction
        without conditions does. ``{"copy": true}`` takes a snapshot of all
        rows and ``{"come_back": true}`` restores the last one. The answer to
        ``{"felt_by": HOST}`` tells how many calls of a host outages have
        failed, or of all hosts if it is empty.
        """
        if fields.get('copy'):
            self._snapshot = self.rows.snapshot()
        if fields.get('come_back'):
            self.rows.restore(self._snapshot)
        if 'puts' in fields:
            self.rows.commit({'puts': fields['puts']})
        if 'config' in fields:
            self.rows.put('op', 'config', fields['config'].encode())
        if 'host' in fields:
            outage = Outage(fields['outage'])
            self.faults.outage_by_host[fields['host']] = outage
        elif 'outage' in fields:
            self.faults = StoreFaults(
                Outage(fields['outage']),
                lost_share=fields.get('lost', 0),
                late_share=fields.get('late', 0),
                delay_s=fields.get('delay_s', 0),
            )
        if 'felt_by' in fields:
            felt = self.faulty_calls_by_host[fields['felt_by']]
            if not fields['felt_by']:
                felt = self.faulty_calls_by_host.total()
            self._answer(channel, STATUS_OK, {'felt': felt})
            return
        if fields.get('count'):
            counters = {'calls': self.calls, 'bytes': self.bytes}
            self._answer(channel, STATUS_OK, counters)
            return
        if fields.get('forget'):
            self.rows.drop_history()
        self._answer(channel, STATUS_OK, {})

    async def _apply_outage(self, host: str, channel: Channel) -> bool:
        outage = self.faults.find_outage(host)
        if outage in {Outage.NONE, Outage.LOST}:
            return False
        self._count_fault(host)
        match outage:
            case Outage.BUSY:
                self._answer(channel, STATUS_BUSY, {})
            case Outage.LIMITED:
                self._answer(channel, STATUS_LIMITED, {})
            case Outage.RESET:
                channel.abort()
            case Outage.SILENT:
                await asyncio.Event().wait()
        return True

    async def _commit(
        self, fields: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        draw = self._random.random()
        faults = self.faults
        if draw < faults.lost_share:
            self.rows.commit(fields)
            await asyncio.Event().wait()
        if draw < faults.lost_share + faults.late_share:
            self._schedule(faults.late_s, lambda: self.rows.commit(fields))
            await asyncio.Event().wait()
        return self.rows.commit(fields)

    def _schedule(self, delay_s: float, action: Callable[[], Any]) -> None:
        async def run() -> None:  # noqa: WPS430
            await asyncio.sleep(delay_s)
            action()

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_wait_for_changes(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        deadline = self._clock.now() + int(query['waitMs']) / 1000
        while True:
            if after < self.rows.dropped_version or after > self.rows.version:
                return STATUS_GONE, {}
            rows = self.rows.changes(query['table'], after)
            left_s = deadline - self._clock.now()
            if rows or left_s <= 0:
                return STATUS_OK, {'rows': rows}
            changed = self.rows.changed
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    async def _async_answer_caller(
        self, channel: Channel, status: int, fields: dict[str, Any]
    ) -> None:
        host, _ = channel.transport.get_extra_info('peername')
        if self.faults.find_outage(host) is Outage.LOST:
            self._count_fault(host)
            await asyncio.Event().wait()
        self._answer(channel, status, fields)

    def _count_fault(self, host: str) -> None:
        self.faulty_calls_by_host[host] += 1

    def _answer(
        self, channel: Channel, status: int, fields: dict[str, Any]
    ) -> None:
        fields['rowVersion'] = self.rows.version
        fields['now'] = format_time(self._clock.now())
        body = json.dumps(fields).encode()
        self.bytes += len(body)
        epoch = (HEADER_EPOCH, str(self.rows.epoch).encode())
        send_answer(channel, Answer(status, (epoch,), body))


def _row_name(fields: dict[str, Any]) -> RowName:
    return fields['table'], fields.get('part', ''), fields['key']


async def async_serve(address: str, seed: int) -> None:
    """Serve until killed."""
    store = SharedStore(BootClock(), seed)
    await store.async_listen(address)
    await asyncio.Event().wait()


@click.command()
@click.option('--address', required=True)
@click.option('--seed', type=int, default=0)
def main(address: str, seed: int) -> None:
    """Run the stand-in for the metadata store."""
    asyncio.run(async_serve(address, seed))


if __name__ == '__main__':
    main()
