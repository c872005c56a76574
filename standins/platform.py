"""Stand-ins for the table service and the object store."""

import asyncio
import json
from typing import Any

import click

from plantaingrade.addresses import split_address
from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.server import HttpServer
from plantaingrade.routing.respond import refuse_malformed, send_plain
from standins.faults import Faults

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503
CONFLICT = b'{"__type": "ConditionalCheckFailedException"}'
THROTTLED = b'{"__type": "ProvisionedThroughputExceededException"}'
QUERY_LIMIT = 500


class TableStandIn:
    """Serves rows from memory by GetItem, PutItem and Query."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.faults = Faults()
        self.rows: dict[tuple[str, int], dict[str, Any]] = {}
        self.reads = 0
        self.writes = 0

    async def async_handle(self, request: Request, channel: Channel) -> None:
        """Serve one request."""
        if await self.faults.async_handle_command(request, channel):
            return
        if request.target == b'/-/counts':
            counts = {'reads': self.reads, 'writes': self.writes}
            send_plain(channel, OK, json.dumps(counts).encode())
            return
        body = json.loads(await read_body(channel))
        if self.faults.down:
            channel.abort()
            return
        await self.faults.async_delay()
        if self.faults.refuses():
            send_plain(channel, BAD_REQUEST, THROTTLED)
            return
        target = dict(request.headers)[b'x-amz-target'].decode()
        status, answer = self.execute(target.partition('.')[2], body)
        if self.faults.loses_answer():
            channel.abort()
            return
        send_plain(channel, status, answer)

    def execute(self, name: str, body: dict[str, Any]) -> tuple[int, bytes]:
        """Execute an operation; return the HTTP status and body."""
        match name:
            case 'GetItem':
                self.reads += 1
                row = self.rows.get(_primary_key(body['Key']))
                return OK, json.dumps({'Item': row} if row else {}).encode()
            case 'PutItem':
                self.writes += 1
                return self._put(body)
            case 'Query':
                self.reads += 1
                return self._query(body)
        return BAD_REQUEST, b'{"__type": "UnknownOperationException"}'

    def _put(self, body: dict[str, Any]) -> tuple[int, bytes]:
        key = _primary_key(body['Item'])
        current = self.rows.get(key)
        condition = body['ConditionExpression']
        if condition == 'attribute_not_exists(pk)':
            is_met = current is None
        elif condition == 'version = :v':
            expected = body['ExpressionAttributeValues'][':v']
            is_met = current is not None and current['version'] == expected
        else:
            return BAD_REQUEST, b'{"__type": "ValidationException"}'
        if not is_met:
            return BAD_REQUEST, CONFLICT
        self.rows[key] = body['Item']
        return OK, b'{}'

    def _query(self, body: dict[str, Any]) -> tuple[int, bytes]:
        query_values = body['ExpressionAttributeValues']
        partition = query_values[':p']['S']
        after = int(query_values[':s']['N'])
        found = sorted(
            (key[1], row)
            for key, row in self.rows.items()
            if key[0] == partition and key[1] > after
        )
        rows = [row for _, row in found[:QUERY_LIMIT]]
        return OK, json.dumps({'Items': rows}).encode()


class ObjectStandIn:
    """Serves objects from memory by PUT and GET."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.faults = Faults()
        self.body_by_name: dict[bytes, bytes] = {}

    async def async_handle(self, request: Request, channel: Channel) -> None:
        """Serve one request."""
        if await self.faults.async_handle_command(request, channel):
            return
        body = await read_body(channel)
        if self.faults.down:
            channel.abort()
            return
        await self.faults.async_delay()
        if request.method == b'PUT':
            self.body_by_name[request.target] = body
            send_plain(channel, OK, b'')
        elif request.target in self.body_by_name:
            send_plain(channel, OK, self.body_by_name[request.target])
        else:
            send_plain(channel, NOT_FOUND, b'')


def _primary_key(fields: dict[str, Any]) -> tuple[str, int]:
    return fields['pk']['S'], int(fields['sk']['N'])


async def async_serve(table: str, store: str) -> None:
    """Serve both stand-ins until cancelled."""
    clock = BootClock()
    servers = []
    for address, standin in (
        (table, TableStandIn()),
        (store, ObjectStandIn()),
    ):
        server = HttpServer(clock, standin.async_handle, refuse_malformed)
        await server.async_listen(*split_address(address))
        servers.append(server)
    await asyncio.Event().wait()


@click.command()
@click.option('--table', required=True)
@click.option('--objects', 'store', required=True)
def main(table: str, store: str) -> None:
    """Run the table service and the object store."""
    asyncio.run(async_serve(table, store))


if __name__ == '__main__':
    main()
