"""Client of the platform's metadata store."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import urlencode

from msgspec import Struct

from plantaingrade.clock import Clock
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.platform.const import (
    HEADER_EPOCH,
    PATH_FEED,
    PATH_RANGE,
    PATH_TRANSACTION,
    TYPE_JSON,
)
from plantaingrade.platform.units import (
    UnreadableFieldError,
    format_time,
    parse_time,
)
from plantaingrade.schema import Fields, SchemaError
from plantaingrade.store.clock import StoreClock
from plantaingrade.store.entity import (
    Changes,
    Committed,
    Conflict,
    EpochEnded,
    FeedOutcome,
    HistoryGone,
    NotDone,
    OutcomeUnknown,
    RangeRead,
    ReadOutcome,
    Row,
    RowName,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.epochs import (
    MAX_EPOCH,
    VERSIONS_PER_EPOCH,
    StoreEpochs,
    epoch_of,
    make_version,
    number_of,
)

# Timeout of a call, in seconds. A read takes 4 ms and a transaction 8 ms, and
# up to 77 times as long, 0.6 s, when the store is slow.
CALL_TIMEOUT_S = 1.0
# Additional timeout of a feed request, beyond the wait it asks for, in seconds:
# a slow store answers 0.31 s late.
FEED_SLACK_S = 0.8

MAX_EPOCH_DIGITS = 4
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_LIMITED = 429
STATUS_BUSY = 503
FAILURE_BY_STATUS = {
    STATUS_LIMITED: StoreFailure.LIMITED,
    STATUS_BUSY: StoreFailure.BUSY,
}
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
    UnreadableFieldError,
)


class EpochReply(Struct, frozen=True):
    """A reply, and the epoch of the store in which it was sent."""

    reply: Reply
    epoch: int


class ReadReply(Struct, frozen=True):
    """Fields of the reply to a read, empty if the history is gone."""

    status: int
    epoch: int
    fields: dict[str, Any]


class Page(Struct, frozen=True):
    """Some rows of a part, and whether more rows follow."""

    read: RangeRead
    has_more: bool


class StoreClient:
    """Client of the store that tracks the store's clock and epoch.

    Replies of an epoch before the newest known one are ignored.
    """

    __slots__ = ('_address', '_clock', '_pool', 'calls', 'clock', 'epochs')

    def __init__(self, pool: Pool, address: str, clock: Clock) -> None:
        """Create a client for the store at an address."""
        self._pool = pool
        self._address = address
        self._clock = clock
        self.clock = StoreClock()
        self.epochs = StoreEpochs()
        self.calls = 0

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a transaction."""
        if transaction.epoch < self.epochs.newest:
            return EpochEnded(self.epochs.newest)
        body = json.dumps(_encode_transaction(transaction)).encode()
        call = Call('POST', self._address, PATH_TRANSACTION, (TYPE_JSON,), body)
        sent_at = self._clock.now()
        try:
            response = await self._call(call, CALL_TIMEOUT_S)
        except ConnectFailedError:
            return NotDone(StoreFailure.NOT_REACHED)
        except (TimeoutError, ChannelClosedError):
            return OutcomeUnknown(StoreFailure.LOST)
        if transaction.epoch < self.epochs.newest:
            return EpochEnded(self.epochs.newest)
        try:
            return self._decode_commit(response, sent_at)
        except DECODE_ERRORS:
            return OutcomeUnknown(StoreFailure.MALFORMED)

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows of a part of a table."""
        rows: list[Row] = []
        start = ''
        while True:
            page = await self._async_read_page(table, part, start)
            if isinstance(page, NotDone):
                return page
            if rows and page.read.epoch != epoch_of(rows[0].version):
                return NotDone(StoreFailure.OUTDATED)
            read = page.read
            rows.extend(read.rows)
            if not page.has_more or not read.rows:
                return RangeRead(tuple(rows), read.version, read.now_s)
            # The smallest key that sorts after the last key returned.
            start = f'{read.rows[-1].name.key}\0'

    async def _async_read_page(
        self, table: str, part: str, start: str
    ) -> Page | NotDone:
        query = {'table': table, 'part': part}
        if start:
            query['startKey'] = start
        sent_at = self._clock.now()
        answer = await self._get(PATH_RANGE, query, CALL_TIMEOUT_S)
        if isinstance(answer, NotDone):
            return answer
        try:
            read = self._decode_rows(answer, sent_at)
        except DECODE_ERRORS:
            return NotDone(StoreFailure.MALFORMED)
        return Page(read, bool(answer.fields.get('hasMore')))

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        """Wait up to ``wait_s`` for rows changed after version ``after``."""
        epoch = epoch_of(after)
        if epoch < self.epochs.newest:
            return HistoryGone()
        query = {
            'table': table,
            'after': number_of(after),
            'waitMs': format_time(wait_s).removesuffix('ms'),
        }
        sent_at = self._clock.now()
        answer = await self._get(PATH_FEED, query, wait_s + FEED_SLACK_S)
        if isinstance(answer, NotDone):
            return answer
        if answer.status == STATUS_GONE or answer.epoch != epoch:
            return HistoryGone()
        try:
            page = self._decode_rows(answer, sent_at, is_feed=True)
        except DECODE_ERRORS:
            return NotDone(StoreFailure.MALFORMED)
        return Changes(page.rows, page.version, page.now_s)

    async def _get(
        self, path: str, query: dict[str, Any], timeout_s: float
    ) -> ReadReply | NotDone:
        target = f'{path}?{urlencode(query)}'
        try:
            response = await self._call(
                Call('GET', self._address, target), timeout_s
            )
        except (TimeoutError, ChannelClosedError, ConnectFailedError):
            return NotDone(StoreFailure.NOT_REACHED)
        reply = response.reply
        if response.epoch < self.epochs.newest:
            return NotDone(StoreFailure.OUTDATED)
        if reply.status == STATUS_GONE:
            return ReadReply(reply.status, response.epoch, {})
        if reply.status != STATUS_OK:
            return NotDone(_failure(reply.status))
        try:
            fields = json.loads(reply.body)
        except (ValueError, RecursionError):
            return NotDone(StoreFailure.MALFORMED)
        if isinstance(fields, dict):
            return ReadReply(reply.status, response.epoch, fields)
        return NotDone(StoreFailure.MALFORMED)

    async def _call(self, call: Call, timeout_s: float) -> EpochReply:
        self.calls += 1
        async with asyncio.timeout(timeout_s):
            reply = await fetch(self._pool, call)
        epoch = _read_epoch(reply)
        if epoch is None:
            return EpochReply(reply, self.epochs.newest)
        self.epochs.record(epoch)
        return EpochReply(reply, epoch)

    def _decode_commit(
        self, response: EpochReply, sent_at: float
    ) -> TransactionOutcome:
        reply = response.reply
        if reply.status == STATUS_OK:
            fields = json.loads(reply.body)
            now_s = self._observe(fields, sent_at)
            version = make_version(response.epoch, int(fields['rowVersion']))
            return Committed(version, now_s)
        if reply.status == STATUS_CONFLICT:
            fields = json.loads(reply.body)
            rows = decode_rows(fields.get('rows', ()), response.epoch)
            return Conflict(rows, self._observe(fields, sent_at))
        return NotDone(_failure(reply.status))

    def _decode_rows(
        self, answer: ReadReply, sent_at: float, *, is_feed: bool = False
    ) -> RangeRead:
        fields = answer.fields
        rows = decode_rows(fields['rows'], answer.epoch)
        # The reply to a feed request may arrive long after the request, so it
        # is too inaccurate as a sample of the store's clock.
        now_s = (
            parse_time(fields['now'])
            if is_feed
            else self._observe(fields, sent_at)
        )
        first = answer.epoch * VERSIONS_PER_EPOCH
        return RangeRead(rows, first + int(fields['rowVersion']), now_s)

    def _observe(self, fields: dict[str, Any], sent_at: float) -> float:
        now_s = parse_time(fields['now'])
        self.clock.observe(sent_at, self._clock.now(), now_s)
        return now_s


def _read_epoch(reply: Reply) -> int | None:
    """Return the epoch in a reply's header, None if missing or invalid."""
    text = reply.headers.get(HEADER_EPOCH, b'')
    if not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
        return None
    epoch = int(text)
    return epoch if epoch <= MAX_EPOCH else None


def _failure(status: int) -> StoreFailure:
    return FAILURE_BY_STATUS.get(status, StoreFailure.REFUSED)


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    return {
        'expected': [
            {
                **_encode_name(each.name),
                'rowVersion': number_of(each.version),
            }
            for each in transaction.expected
        ],
        'puts': [
            {
                **_encode_name(each.name),
                'value': base64.b64encode(each.body).decode(),
            }
            for each in transaction.puts
        ],
        'deletes': [_encode_name(name) for name in transaction.deletes],
    }


def _encode_name(name: RowName) -> dict[str, str]:
    return {'table': name.table, 'part': name.part, 'key': name.key}


def decode_rows(found: Any, epoch: int = 0) -> tuple[Row, ...]:
    """Decode the rows of a reply, without entries that have no valid name.

    Raises:
        ValueError: ``found`` is not a list of rows.
    """
    if not isinstance(found, list | tuple):
        raise ValueError('expected a list of rows')
    rows = (decode_row(raw, epoch) for raw in found)
    return tuple(row for row in rows if row is not None)


def decode_row(raw: Any, epoch: int = 0) -> Row | None:
    """Decode a row, or return None if it has no valid name or version.

    A row whose value cannot be decoded gets an empty body, which its readers
    reject as unreadable. It keeps its name and version, so that it is not taken
    for a missing row, and does not prevent reading the other rows.
    """
    try:
        fields = Fields(raw)
        part = fields.text('part', min_chars=0) if fields.has('part') else ''
        name = RowName(fields.text('table'), part, fields.text('key'))
        number = fields.integer('rowVersion') if fields.has('rowVersion') else 0
    except SchemaError:
        return None
    is_deleted = raw.get('deleted') is True
    version = make_version(epoch, number)
    return Row(name, _decode_body(raw.get('value')), version, is_deleted)


def _decode_body(encoded: Any) -> bytes:
    if not isinstance(encoded, str):
        return b''
    try:
        return base64.b64decode(encoded, validate=True)
    except ValueError:
        return b''
