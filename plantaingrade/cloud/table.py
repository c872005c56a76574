"""Client of the platform's transactional table service.

It uses the JSON protocol of DynamoDB (API version 2012-08-10):
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
    """Read rows, and write rows on a condition."""

    __slots__ = ('_address', '_pool', '_table')

    def __init__(self, pool: Pool, address: str, table: str) -> None:
        """Use a table of the service at an address."""
        self._pool = pool
        self._address = address
        self._table = table

    async def async_get(self, partition: str, sort: int) -> Row | None:
        """Return a row, or None if it does not exist.

        Raises:
            PlatformUnavailableError: the service did not answer.
        """
        answer = await self._read('GetItem', {'Key': _key(partition, sort)})
        fields = answer.get('Item')
        return None if fields is None else _to_row(fields)

    async def async_query(self, partition: str, after: int) -> list[Row]:
        """Return the rows of a partition whose sort key is above ``after``.

        Raises:
            PlatformUnavailableError: the service did not answer.
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
        """Write a row if it does not exist yet.

        Raises:
            PlatformUnavailableError: nothing was written.
            PlatformOutcomeUnknownError: the answer was lost.
        """
        return await self._put(
            row,
            {'ConditionExpression': 'attribute_not_exists(pk)'},
        )

    async def async_replace(self, row: Row, expected: int) -> WriteOutcome:
        """Replace a row if it has the expected version.

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
            raise PlatformOutcomeUnknownError(
                'No answer to a table write.'
            ) from error
        if reply.status == STATUS_OK:
            return Stored()
        if CONDITION_FAILED in reply.body.decode():
            return Conflicted()
        raise PlatformUnavailableError('Table service refused the write.')

    async def _read(self, operation: str, request: dict[str, Any]) -> Any:
        request['ConsistentRead'] = True
        try:
            reply = await self._call(operation, request)
        except (TimeoutError, ChannelClosedError) as error:
            raise PlatformUnavailableError('Table read failed.') from error
        if reply.status != STATUS_OK:
            raise PlatformUnavailableError('Table service refused the read.')
        return json.loads(reply.body)

    async def _call(self, operation: str, request: dict[str, Any]) -> Reply:
        request['TableName'] = self._table
        call = Call(
            'POST',
            self._address,
            '/',
            (
                ('x-amz-target', TARGET_PREFIX + operation),
                ('content-type', CONTENT_TYPE),
            ),
            json.dumps(request).encode(),
        )
        try:
            async with asyncio.timeout(TABLE_TIMEOUT_S):
                return await fetch(self._pool, call)
        except ConnectFailedError as error:
            raise PlatformUnavailableError(
                'Table service not reachable.'
            ) from error


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
