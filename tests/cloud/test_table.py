"""Faults of the table service and the object store, over real connections."""

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
from tests.harness import listen_address

SERVICES = (ServiceRow('casebook', 2, True, 400),)
Scenario = Callable[['Harness'], Awaitable[None]]


class Harness:
    """Stand-ins of both services, with connected clients."""

    def __init__(self) -> None:
        """Create the stand-ins and their servers."""
        clock = BootClock()
        self.table = TableStandIn()
        self.store = ObjectStandIn()
        self.pool = Pool(clock)
        self.servers = [
            HttpServer(clock, standin.async_handle, refuse_malformed)
            for standin in (self.table, self.store)
        ]

    async def __aenter__(self) -> 'Harness':
        """Listen, and connect the clients."""
        for server in self.servers:
            await server.async_listen('127.0.0.1', 0)
        table, store = map(listen_address, self.servers)
        self.client = TableClient(self.pool, table, 't')
        self.store_client = ObjectClient(self.pool, store, 'b')
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the connections and stop the stand-ins."""
        self.pool.close()
        for server in self.servers:
            await server.async_close()

    def journal(self, author: str) -> JournalCoordinator:
        """Return a journal that uses the clients."""
        return JournalCoordinator(self.client, self.store_client, author)


def run(scenario: Scenario) -> None:
    """Run a scenario against new stand-ins."""

    async def run_scenario() -> None:
        async with Harness() as harness:
            await scenario(harness)

    asyncio.run(run_scenario())


def _row(body: str, version: int = 1) -> Row:
    return Row('p', 1, body, version)


def test_conditional_writes() -> None:
    """The second of two writers of a row must get a conflict."""

    async def scenario(harness: Harness) -> None:
        assert await harness.client.async_put_new(_row('a')) == Stored()
        assert await harness.client.async_put_new(_row('b')) == Conflicted()
        replaced = await harness.client.async_replace(_row('c', 2), 1)
        assert replaced == Stored()
        stale = await harness.client.async_replace(_row('d', 2), 1)
        assert stale == Conflicted()
        assert await harness.client.async_get('p', 1) == _row('c', 2)
        assert await harness.client.async_get('p', 2) is None

    run(scenario)


def test_lost_answer_gives_unknown_outcome() -> None:
    """A write whose answer is lost must be reported as unknown."""

    async def scenario(harness: Harness) -> None:
        harness.table.faults.lose_answers = 1.0
        with pytest.raises(PlatformOutcomeUnknownError):
            await harness.client.async_put_new(_row('a'))
        harness.table.faults.lose_answers = 0.0
        assert await harness.client.async_get('p', 1) == _row('a')

    run(scenario)


def test_throttled_write_did_nothing() -> None:
    """A request refused by throttling must be reported as not done."""

    async def scenario(harness: Harness) -> None:
        harness.table.faults.refuse_share = 1.0
        with pytest.raises(PlatformUnavailableError):
            await harness.client.async_put_new(_row('a'))
        with pytest.raises(PlatformUnavailableError):
            await harness.client.async_get('p', 1)
        assert not harness.table.rows

    run(scenario)


def test_slow_service_times_out() -> None:
    """A service slower than a lease must not block the caller."""

    async def scenario(harness: Harness) -> None:
        harness.table.faults.slow_s = 3600
        with pytest.raises(PlatformUnavailableError):
            await harness.client.async_get('p', 1)

    run(scenario)


def test_lost_answer_does_not_duplicate_a_record() -> None:
    """A record must not be appended twice if the first answer is lost."""

    async def scenario(harness: Harness) -> None:
        journal = harness.journal('a')
        await journal.async_load()
        harness.table.faults.lose_answers = 1.0
        with pytest.raises(JournalUnavailableError):
            await journal.async_append(DeclarationApplied('x', 0, SERVICES))
        harness.table.faults.lose_answers = 0.0
        await journal.async_append(DeclarationApplied('x', 0, SERVICES))
        assert journal.state.declaration_generation == 1
        assert journal.state.declaration == 'x'

    run(scenario)


def test_map_is_read_without_the_object_store() -> None:
    """A process must be able to start while the object store is down."""

    async def scenario(harness: Harness) -> None:
        writer = harness.journal('a')
        for number in range(250):
            change = DeclarationApplied(f'{number}', number, SERVICES)
            assert await writer.async_append(change) == [Applied()]
        await writer.async_snapshot()
        assert harness.store.body_by_name
        harness.store.faults.down = True
        reader = harness.journal('b')
        await reader.async_load()
        assert reader.state == writer.state

    run(scenario)


def test_map_is_read_from_a_snapshot_and_later_records() -> None:
    """A start after many changes must take only a few reads."""

    async def scenario(harness: Harness) -> None:
        writer = harness.journal('a')
        for number in range(220):
            await writer.async_append(
                DeclarationApplied(f'{number}', number, SERVICES)
            )
        await writer.async_snapshot()
        await writer.async_append(DeclarationApplied('last', 220, SERVICES))
        before = harness.table.reads
        reader = harness.journal('b')
        await reader.async_load()
        assert reader.state == writer.state
        assert harness.table.reads - before <= 3

    run(scenario)
