"""The table service misbehaves, over real connections to its stand-in."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from plantaingrade.clock import BootClock
from plantaingrade.cloud.entity import (
    Conflicted,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    Stored,
)
from plantaingrade.cloud.objects import ObjectClient
from plantaingrade.cloud.table import TableClient
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.journal.coordinator import (
    JournalCoordinator,
    JournalUnavailableError,
)
from plantaingrade.journal.entity import Applied, DeclarationApplied, ServiceRow
from plantaingrade.routing.respond import refuse_malformed
from standins.platform import ObjectStandIn, TableStandIn
from tests.rig import listening_at

SERVICES = (ServiceRow('casebook', 2, True, 400),)
Story = Callable[['Bench'], Awaitable[None]]


class Bench:
    """Both stand-ins and clients to them."""

    def __init__(self) -> None:
        """Build the stand-ins."""
        clock = BootClock()
        self.table = TableStandIn()
        self.store = ObjectStandIn()
        self.pool = Pool(clock)
        self.servers = [
            HttpServer(clock, standin.async_handle, refuse_malformed)
            for standin in (self.table, self.store)
        ]

    async def __aenter__(self) -> 'Bench':
        """Listen, and connect the clients."""
        for server in self.servers:
            await server.async_listen('127.0.0.1', 0)
        table, store = map(listening_at, self.servers)
        self.client = TableClient(self.pool, table, 't')
        self.store_client = ObjectClient(self.pool, store, 'b')
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything."""
        self.pool.close()
        for server in self.servers:
            await server.async_close()

    def journal(self, author: str) -> JournalCoordinator:
        """Return a journal over the clients."""
        return JournalCoordinator(self.client, self.store_client, author)


def run(story: Story) -> None:
    """Run a story against fresh stand-ins."""

    async def play() -> None:
        async with Bench() as bench:
            await story(bench)

    asyncio.run(play())


def _row(body: str, version: int = 1) -> Row:
    return Row('p', 1, body, version)


def test_conditions_hold() -> None:
    """Of two writers of one row the second is told."""

    async def story(bench: Bench) -> None:
        assert await bench.client.async_put_new(_row('a')) == Stored()
        assert await bench.client.async_put_new(_row('b')) == Conflicted()
        replaced = await bench.client.async_replace(_row('c', 2), 1)
        assert replaced == Stored()
        stale = await bench.client.async_replace(_row('d', 2), 1)
        assert stale == Conflicted()
        assert await bench.client.async_get('p', 1) == _row('c', 2)
        assert await bench.client.async_get('p', 2) is None

    run(story)


def test_lost_answer_is_an_unknown_write() -> None:
    """The write takes effect, the answer does not come."""

    async def story(bench: Bench) -> None:
        bench.table.faults.lose_answers = 1.0
        with pytest.raises(PlatformOutcomeUnknownError):
            await bench.client.async_put_new(_row('a'))
        bench.table.faults.lose_answers = 0.0
        assert await bench.client.async_get('p', 1) == _row('a')

    run(story)


def test_throttled_write_did_nothing() -> None:
    """The service is over its rate and refuses."""

    async def story(bench: Bench) -> None:
        bench.table.faults.refuse_share = 1.0
        with pytest.raises(PlatformUnavailableError):
            await bench.client.async_put_new(_row('a'))
        with pytest.raises(PlatformUnavailableError):
            await bench.client.async_get('p', 1)
        assert not bench.table.rows

    run(story)


def test_slow_service_is_not_waited_for() -> None:
    """The service takes longer than a lease; the caller goes on without."""

    async def story(bench: Bench) -> None:
        bench.table.faults.slow_s = 3600
        with pytest.raises(PlatformUnavailableError):
            await bench.client.async_get('p', 1)

    run(story)


def test_lost_answer_does_not_double_a_record() -> None:
    """Journal and service together: the record is appended once."""

    async def story(bench: Bench) -> None:
        journal = bench.journal('a')
        await journal.async_load()
        bench.table.faults.lose_answers = 1.0
        with pytest.raises(JournalUnavailableError):
            await journal.async_append(DeclarationApplied('x', 0, SERVICES))
        bench.table.faults.lose_answers = 0.0
        await journal.async_append(DeclarationApplied('x', 0, SERVICES))
        assert journal.state.declaration_generation == 1
        assert journal.state.declaration == 'x'

    run(story)


def test_map_is_read_without_the_object_store() -> None:
    """A process starts while the object store is down."""

    async def story(bench: Bench) -> None:
        writer = bench.journal('a')
        for number in range(250):
            change = DeclarationApplied(f'{number}', number, SERVICES)
            assert await writer.async_append(change) == [Applied()]
        await writer.async_snapshot()
        assert bench.store.body_by_name
        bench.store.faults.down = True
        reader = bench.journal('b')
        await reader.async_load()
        assert reader.state == writer.state

    run(story)


def test_map_is_read_from_a_snapshot_and_what_follows() -> None:
    """A process starts after many changes."""

    async def story(bench: Bench) -> None:
        writer = bench.journal('a')
        for number in range(220):
            await writer.async_append(
                DeclarationApplied(f'{number}', number, SERVICES)
            )
        await writer.async_snapshot()
        await writer.async_append(DeclarationApplied('last', 220, SERVICES))
        before = bench.table.reads
        reader = bench.journal('b')
        await reader.async_load()
        assert reader.state == writer.state
        assert bench.table.reads - before <= 3

    run(story)
