"""Stand-in for the shared platform's metadata store.

It speaks the platform's protocol over HTTP, from memory, and fails on request:
for all callers or for some, without doing the call, after doing it, or later.
"""

import asyncio
import base64
import json
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import click

from plantaingrade.clock import BootClock, Clock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.pool import split_address
from plantaingrade.http.server import HttpServer
from plantaingrade.platform.const import (
    HEADER_EPOCH,
    PATH_FEED,
    PATH_RANGE,
    PATH_TRANSACTION,
)
from plantaingrade.platform.units import format_time
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer

Name = tuple[str, str, str]
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
    """How the store fails a caller."""

    NONE = 'none'
    SILENT = 'silent'
    BUSY = 'busy'
    LIMITED = 'limited'
    RESET = 'reset'


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong, and for whom.

    ``outage_by_host`` holds outages of single callers, by IP address; the
    other shares are of transactions: done and not answered, or done only
    ``late_s`` later and not answered.
    """

    outage: Outage = Outage.NONE
    outage_by_host: dict[str, Outage] = field(default_factory=dict)
    lost_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 1.0
    delay_s: float = 0.0

    def outage_of(self, host: str) -> Outage:
        """Return how a caller's call fails."""
        return self.outage_by_host.get(host, self.outage)


@dataclass(slots=True)
class StoredRow:
    """One row; a deleted one is kept for the feeds."""

    body: str
    version: int
    is_deleted: bool = False


@dataclass(slots=True)
class RowsCopy:
    """All rows as they were at one moment."""

    row_by_name: dict[Name, StoredRow] = field(default_factory=dict)
    version: int = 0


class Rows:
    """Rows in memory, changed by transactions."""

    def __init__(self) -> None:
        """Start empty."""
        self.row_by_name: dict[Name, StoredRow] = {}
        self.version = 0
        self.epoch = FIRST_EPOCH
        self.forgotten = 0
        self.changed = asyncio.Event()

    def copy(self) -> RowsCopy:
        """Return all rows as they are now."""
        return RowsCopy(dict(self.row_by_name), self.version)

    def come_back(self, copy: RowsCopy) -> None:
        """Lose all that was written since a copy was made.

        Versions are given out again, and whoever waits is told to read anew.
        """
        self.row_by_name = dict(copy.row_by_name)
        self.version = copy.version
        self.epoch += 1
        self.forget_history()

    def commit(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction or nothing of it."""
        expected = fields.get('expected', [])
        version_by_name = {_name(each): each['rowVersion'] for each in expected}
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
            self.row_by_name[_name(each)] = row
        for each in fields.get('deletes', []):
            self.row_by_name[_name(each)] = StoredRow('', self.version, True)
        self._wake()
        return STATUS_OK, {}

    def put(self, table: str, key: str, body: bytes, part: str = '') -> None:
        """Write a row without a condition, as other writers do."""
        entry = {
            'table': table,
            'part': part,
            'key': key,
            'value': base64.b64encode(body).decode(),
        }
        self.commit({'puts': [entry]})

    def delete(self, table: str, key: str, part: str = '') -> None:
        """Delete a row without a condition, as other writers do."""
        self.commit({'deletes': [{'table': table, 'part': part, 'key': key}]})

    def version_of(self, name: Name) -> int:
        """Return a row's version, 0 if it is not there."""
        row = self.row_by_name.get(name)
        return 0 if row is None or row.is_deleted else row.version

    def body_of(self, name: Name) -> bytes | None:
        """Return what a row holds."""
        if not self.version_of(name):
            return None
        return base64.b64decode(self.row_by_name[name].body)

    def encode(self, name: Name) -> dict[str, Any]:
        """Return a row as it goes over the wire."""
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
        """Return the rows of a part from a key on."""
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

    def forget_history(self) -> None:
        """Drop what the feeds were to be told from."""
        self.forgotten = self.version
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class SharedStore:
    """Serve rows over HTTP, with faults."""

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        """Start empty and sound."""
        self.rows = Rows()
        self._copy = RowsCopy()
        self.faults = StoreFaults()
        self.calls = 0
        self.bytes = 0
        self._clock = clock
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HttpServer(clock, self._serve, refuse_malformed, IDLE_S)

    async def async_listen(self, address: str) -> None:
        """Start to listen."""
        await self._server.async_listen(*split_address(address))

    async def async_close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        await self._server.async_close()

    async def _serve(self, raw: Request, channel: Channel) -> None:
        body = await read_body(channel)
        if raw.target == FAULT_TARGET:
            self._take_order(json.loads(body), channel)
            return
        self.calls += 1
        self.bytes += len(body) + len(raw.target)
        host, _ = channel.transport.get_extra_info('peername')
        if await self._fails(host, channel):
            return
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        parts = urlsplit(raw.target.decode())
        query = dict(parse_qsl(parts.query))
        if parts.path == PATH_TRANSACTION:
            await self._commit(json.loads(body), channel)
        elif parts.path == PATH_RANGE:
            rows = self.rows.read(
                query['table'], query.get('part', ''), query.get('startKey', '')
            )
            self._answer(channel, STATUS_OK, {'rows': rows, 'hasMore': False})
        elif parts.path == PATH_FEED:
            await self._follow(query, channel)
        else:
            self._answer(channel, STATUS_BAD, {})

    def _take_order(self, fields: dict[str, Any], channel: Channel) -> None:
        """Follow an order such as ``{"outage": "busy", "host": "127.0.0.1"}``.

        Without a host it is for all callers; a configuration is put with
        ``{"config": TEXT}``, any row with ``{"puts": [ENTRY]}``, as in a
        transaction without conditions. ``{"copy": true}`` makes a copy of all
        rows, and ``{"come_back": true}`` goes back to the last one.
        """
        if fields.get('copy'):
            self._copy = self.rows.copy()
        if fields.get('come_back'):
            self.rows.come_back(self._copy)
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
        if fields.get('count'):
            figures = {'calls': self.calls, 'bytes': self.bytes}
            self._answer(channel, STATUS_OK, figures)
            return
        if fields.get('forget'):
            self.rows.forget_history()
        self._answer(channel, STATUS_OK, {})

    async def _fails(self, host: str, channel: Channel) -> bool:
        match self.faults.outage_of(host):
            case Outage.NONE:
                return False
            case Outage.BUSY:
                self._answer(channel, STATUS_BUSY, {})
            case Outage.LIMITED:
                self._answer(channel, STATUS_LIMITED, {})
            case Outage.RESET:
                channel.abort()
            case Outage.SILENT:
                await asyncio.Event().wait()
        return True

    async def _commit(self, fields: dict[str, Any], channel: Channel) -> None:
        chance = self._random.random()
        faults = self.faults
        if chance < faults.lost_share:
            self.rows.commit(fields)
            await asyncio.Event().wait()
        if chance < faults.lost_share + faults.late_share:
            self._later(faults.late_s, lambda: self.rows.commit(fields))
            await asyncio.Event().wait()
        status, answer = self.rows.commit(fields)
        self._answer(channel, status, answer)

    def _later(self, delay_s: float, act: Callable[[], Any]) -> None:
        async def run() -> None:  # noqa: WPS430
            await asyncio.sleep(delay_s)
            act()

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow(self, query: dict[str, str], channel: Channel) -> None:
        after = int(query['after'])
        ends = self._clock.now() + int(query['waitMs']) / 1000
        while True:
            if after < self.rows.forgotten or after > self.rows.version:
                self._answer(channel, STATUS_GONE, {})
                return
            rows = self.rows.changes(query['table'], after)
            left_s = ends - self._clock.now()
            if rows or left_s <= 0:
                self._answer(channel, STATUS_OK, {'rows': rows})
                return
            changed = self.rows.changed
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _answer(
        self, channel: Channel, status: int, fields: dict[str, Any]
    ) -> None:
        fields['rowVersion'] = self.rows.version
        fields['now'] = format_time(self._clock.now())
        body = json.dumps(fields).encode()
        self.bytes += len(body)
        epoch = (HEADER_EPOCH, str(self.rows.epoch).encode())
        send_answer(channel, Answer(status, (epoch,), body))


def _name(fields: dict[str, Any]) -> Name:
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
    """Run the store's stand-in."""
    asyncio.run(async_serve(address, seed))


if __name__ == '__main__':
    main()
