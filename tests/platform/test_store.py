"""Tests for the store client against the stand-in of the store."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from msgspec.structs import replace

from plantaingrade.clock import BootClock
from plantaingrade.http.pool import Pool
from plantaingrade.platform import store as store_module
from plantaingrade.platform.store import StoreClient
from plantaingrade.store.entity import (
    Changes,
    Committed,
    Conflict,
    EpochEnded,
    Expected,
    HistoryGone,
    NotDone,
    OutcomeUnknown,
    Put,
    RangeRead,
    RowName,
    StoreFailure,
    Transaction,
)
from plantaingrade.store.epochs import number_of
from standins.shared_store import Outage, SharedStore

ADDRESS = '127.21.0.1:18142'
NAME = RowName('t', 'p', 'k')
FIRST = Transaction((Expected(NAME, 0),), (Put(NAME, b'one'),))
Scenario = Callable[[SharedStore, StoreClient], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    async def run() -> None:
        clock = BootClock()
        store = SharedStore(clock)
        await store.async_listen(ADDRESS)
        with Pool(clock) as pool:
            client = StoreClient(pool, ADDRESS, clock)
            try:
                await scenario(store, client)
            finally:
                await store.async_close()

    asyncio.run(run())


@pytest.fixture
def short_call_timeout(monkeypatch) -> None:
    monkeypatch.setattr(store_module, 'CALL_TIMEOUT_S', 0.2)


def test_transaction_is_applied_once_under_its_condition() -> None:
    async def scenario(store, client) -> None:
        first = await client.async_commit(FIRST)
        again = await client.async_commit(FIRST)
        assert isinstance(first, Committed)
        assert isinstance(again, Conflict)
        assert again.rows[0].body == b'one'
        assert again.rows[0].version == first.version
        read = await client.async_read('t', 'p')
        assert isinstance(read, RangeRead)
        assert [row.body for row in read.rows] == [b'one']

    run_scenario(scenario)


def test_feed_returns_changes_after_a_version() -> None:
    async def scenario(store, client) -> None:
        waiting = asyncio.create_task(client.async_follow('t', 0, 5))
        await asyncio.sleep(0.05)
        await client.async_commit(FIRST)
        changes = await waiting
        assert isinstance(changes, Changes)
        assert [row.body for row in changes.rows] == [b'one']
        nothing = await client.async_follow('t', changes.version, 0.05)
        assert nothing.rows == ()
        store.rows.drop_history()
        assert isinstance(await client.async_follow('t', 0, 1), HistoryGone)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('outage', 'failure'),
    [
        (Outage.BUSY, StoreFailure.BUSY),
        (Outage.LIMITED, StoreFailure.LIMITED),
    ],
)
def test_refused_transaction_is_not_applied(outage, failure) -> None:
    async def scenario(store, client) -> None:
        store.faults.outage = outage
        assert await client.async_commit(FIRST) == NotDone(failure)
        assert await client.async_read('t', 'p') == NotDone(failure)
        assert store.rows.body_of(('t', 'p', 'k')) is None

    run_scenario(scenario)


@pytest.mark.parametrize('outage', [Outage.SILENT, Outage.RESET])
def test_lost_response_leaves_the_outcome_unknown(
    outage, short_call_timeout
) -> None:
    """The store stops responding or resets the connection during a write.

    The write may have been applied, so it must not be reported as not done.
    """

    async def scenario(store, client) -> None:
        store.faults.outage = outage
        outcome = await client.async_commit(FIRST)
        assert isinstance(outcome, OutcomeUnknown)

    run_scenario(scenario)


def test_write_with_lost_response_shows_in_next_conflict(
    short_call_timeout,
) -> None:
    async def scenario(store, client) -> None:
        store.faults.lost_share = 1.0
        assert isinstance(await client.async_commit(FIRST), OutcomeUnknown)
        store.faults.lost_share = 0.0
        again = await client.async_commit(FIRST)
        assert isinstance(again, Conflict)
        assert again.rows[0].body == b'one'

    run_scenario(scenario)


def test_closed_store_is_reported_as_not_reached() -> None:
    async def scenario(store, client) -> None:
        await store.async_close()
        outcome = await client.async_commit(FIRST)
        assert outcome == NotDone(StoreFailure.NOT_REACHED)

    run_scenario(scenario)


def test_store_clock_is_bounded_by_the_calls() -> None:
    async def scenario(store, client) -> None:
        clock = BootClock()
        read = await client.async_read('t', 'p')
        ends = read.now_s + 5
        assert client.clock.earliest_local(ends) <= clock.now() + 5
        assert client.clock.estimate(clock.now()) >= read.now_s

    run_scenario(scenario)


def test_versions_increase_after_the_store_reuses_them() -> None:
    """A store restored from a backup assigns the same row versions again."""

    async def scenario(store, client) -> None:
        backup = store.rows.snapshot()
        before = await client.async_commit(FIRST)
        store.rows.restore(backup)
        assert (await client.async_read('t', 'p')).rows == ()
        again = replace(FIRST, epoch=client.epochs.newest)
        after = await client.async_commit(again)
        assert number_of(after.version) == number_of(before.version)
        assert after.version > before.version

    run_scenario(scenario)


def test_change_based_on_lost_rows_fails_with_epoch_ended() -> None:
    """Rows were lost in a restore, and the store reused a row's version.

    The condition of an old transaction then holds by chance, but the
    transaction must not count as committed.
    """

    async def scenario(store, client) -> None:
        backup = store.rows.snapshot()
        first = await client.async_commit(FIRST)
        store.rows.restore(backup)
        store.rows.put('t', 'k', b'of another', 'p')
        change = Transaction(
            (Expected(NAME, first.version),), (Put(NAME, b'two'),)
        )
        assert await client.async_commit(change) == EpochEnded(1)
        calls = client.calls
        assert await client.async_commit(change) == EpochEnded(1)
        assert client.calls == calls

    run_scenario(scenario)


def test_feed_after_a_lost_version_reports_history_gone() -> None:
    """A restore lost the version after which a feed waits.

    The feed must report this, or changes with lower versions would be missed.
    """

    async def scenario(store, client) -> None:
        backup = store.rows.snapshot()
        await client.async_commit(FIRST)
        after = (await client.async_read('t', 'p')).version
        waiting = asyncio.create_task(client.async_follow('t', after, 5))
        await asyncio.sleep(0.05)
        store.rows.restore(backup)
        assert isinstance(await waiting, HistoryGone)
        store.rows.put('t', 'k', b'of another', 'p')
        assert isinstance(await client.async_follow('t', after, 5), HistoryGone)

    run_scenario(scenario)
