"""Client of the platform's transactional table service.

It speaks the published JSON protocol of DynamoDB (API version 2012-08-10):
GetItem, PutItem with a condition, and Query, all with strong consistency.
Requests are not signed.
"""

import asyncio
import json
from typing import Any

from plantaingrade.cloud.const import (
    ATTR_BODY,
    ATTR_PARTITION,
    ATTR_SORT,
    ATTR_VERSION,
    CONDITION_FAILED,
    CONTENT_TYPE,
    TABLE_TIMEOUT_S,
    TARGET_PREFIX,
)
from plantaingrade.cloud.entity import (
    Conflicted,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    Stored,
    WriteOutcome,
)
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.const import STATUS_OK
from plantaingrade.http.pool import ConnectFailedError, Pool


class TableClient:
    """Read rows and write them under a condition."""

    __slots__ = ('_address', '_pool', '_table')

    def __init__(self, pool: Pool, address: str, table: str) -> None:
        """Use one table at one address."""
        self._pool = pool
        self._address = address
        self._table = table

    async def async_get(self, partition: str, sort: int) -> Row | None:
        """Return a row, or nothing if there is none.

        Raises:
            PlatformUnavailableError: no answer.
        """
        answer = await self._read('GetItem', {'Key': _key(partition, sort)})
        fields = answer.get('Item')
        return None if fields is None else _to_row(fields)

    async def async_query(self, partition: str, after: int) -> list[Row]:
        """Return the rows of a partition whose sort key is above ``after``.

        Raises:
            PlatformUnavailableError: no answer.
        """
        answer = await self._read(
            'Query',
            {
                'KeyConditionExpression': 'pk = :p AND sk > :s',
                'ExpressionAttributeValues': {
                    ':p': {'S': partition},
                    ':s': {'N': str(after)},
                },
            },
        )
        return [_to_row(fields) for fields in answer['Items']]

    async def async_put_new(self, row: Row) -> WriteOutcome:
        """Write a row that must not exist yet.

        Raises:
            PlatformUnavailableError: nothing was written.
            PlatformOutcomeUnknownError: the answer was lost.
        """
        return await self._put(
            row,
            {'ConditionExpression': 'attribute_not_exists(pk)'},
        )

    async def async_replace(self, row: Row, expected: int) -> WriteOutcome:
        """Write a row in place of the one with the expected version.

        Raises:
            PlatformUnavailableError: nothing was written.
            PlatformOutcomeUnknownError: the answer was lost.
        """
        return await self._put(
            row,
            {
                'ConditionExpression': 'version = :v',
                'ExpressionAttributeValues': {':v': {'N': str(expected)}},
            },
        )

    async def _put(self, row: Row, condition: dict[str, Any]) -> WriteOutcome:
        request = {'Item': _to_fields(row), **condition}
        try:
            reply = await self._call('PutItem', request)
        except (TimeoutError, ChannelClosedError) as error:
            raise PlatformOutcomeUnknownError('Table write lost.') from error
        if reply.status == STATUS_OK:
            return Stored()
        if CONDITION_FAILED in reply.body.decode():
            return Conflicted()
        raise PlatformUnavailableError('Table service refused the write.')

    async def _read(self, name: str, request: dict[str, Any]) -> Any:
        request['ConsistentRead'] = True
        try:
            reply = await self._call(name, request)
        except (TimeoutError, ChannelClosedError) as error:
            raise PlatformUnavailableError('Table read failed.') from error
        if reply.status != STATUS_OK:
            raise PlatformUnavailableError('Table service refused the read.')
        return json.loads(reply.body)

    async def _call(self, name: str, request: dict[str, Any]) -> Reply:
        request['TableName'] = self._table
        call = Call(
            'POST',
            self._address,
            '/',
            (
                ('x-amz-target', TARGET_PREFIX + name),
                ('content-type', CONTENT_TYPE),
            ),
            json.dumps(request).encode(),
        )
        try:
            async with asyncio.timeout(TABLE_TIMEOUT_S):
                return await fetch(self._pool, call)
        except ConnectFailedError as error:
            raise PlatformUnavailableError('Table not reached.') from error


def _key(partition: str, sort: int) -> dict[str, Any]:
    return {ATTR_PARTITION: {'S': partition}, ATTR_SORT: {'N': str(sort)}}


def _to_fields(row: Row) -> dict[str, Any]:
    return {
        **_key(row.partition, row.sort),
        ATTR_BODY: {'S': row.body},
        ATTR_VERSION: {'N': str(row.version)},
    }


def _to_row(fields: dict[str, Any]) -> Row:
    return Row(
        fields[ATTR_PARTITION]['S'],
        int(fields[ATTR_SORT]['N']),
        fields[ATTR_BODY]['S'],
        int(fields[ATTR_VERSION]['N']),
    )
