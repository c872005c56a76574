"""The client of the store, against the stand-in."""

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
Story = Callable[[SharedStore, StoreClient], Awaitable[None]]


def play(story: Story) -> None:
    async def run() -> None:
        clock = BootClock()
        store = SharedStore(clock)
        await store.async_listen(ADDRESS)
        with Pool(clock) as pool:
            client = StoreClient(pool, ADDRESS, clock)
            try:
                await story(store, client)
            finally:
                await store.async_close()

    asyncio.run(run())


@pytest.fixture
def quick(monkeypatch) -> None:
    monkeypatch.setattr(store_module, 'CALL_TIMEOUT_S', 0.2)


def test_a_transaction_is_applied_once_under_its_condition() -> None:
    async def story(store, client) -> None:
        first = await client.async_commit(FIRST)
        again = await client.async_commit(FIRST)
        assert isinstance(first, Committed)
        assert isinstance(again, Conflict)
        assert again.rows[0].body == b'one'
        assert again.rows[0].version == first.version
        read = await client.async_read('t', 'p')
        assert isinstance(read, RangeRead)
        assert [row.body for row in read.rows] == [b'one']

    play(story)


def test_changes_are_told_in_order_and_from_where_one_left_off() -> None:
    async def story(store, client) -> None:
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

    play(story)


@pytest.mark.parametrize(
    ('outage', 'failure'),
    [
        (Outage.BUSY, StoreFailure.BUSY),
        (Outage.LIMITED, StoreFailure.LIMITED),
    ],
)
def test_what_the_store_refused_was_not_done(outage, failure) -> None:
    async def story(store, client) -> None:
        store.faults.outage = outage
        assert await client.async_commit(FIRST) == NotDone(failure)
        assert await client.async_read('t', 'p') == NotDone(failure)
        assert store.rows.body_of(('t', 'p', 'k')) is None

    play(story)


@pytest.mark.parametrize('outage', [Outage.SILENT, Outage.RESET])
def test_a_lost_answer_leaves_the_outcome_open(outage, quick) -> None:
    """The store falls silent, or resets the connection, during a write.

    Nobody can tell whether it was done, so it must not count as not done.
    """

    async def story(store, client) -> None:
        store.faults.outage = outage
        outcome = await client.async_commit(FIRST)
        assert isinstance(outcome, OutcomeUnknown)

    play(story)


def test_a_write_done_without_an_answer_shows_in_the_next_conflict(
    quick,
) -> None:
    async def story(store, client) -> None:
        store.faults.lost_share = 1.0
        assert isinstance(await client.async_commit(FIRST), OutcomeUnknown)
        store.faults.lost_share = 0.0
        again = await client.async_commit(FIRST)
        assert isinstance(again, Conflict)
        assert again.rows[0].body == b'one'

    play(story)


def test_a_store_that_is_not_there_was_not_reached() -> None:
    async def story(store, client) -> None:
        await store.async_close()
        outcome = await client.async_commit(FIRST)
        assert outcome == NotDone(StoreFailure.NOT_REACHED)

    play(story)


def test_the_stores_clock_is_bounded_by_the_calls() -> None:
    async def story(store, client) -> None:
        clock = BootClock()
        read = await client.async_read('t', 'p')
        ends = read.now_s + 5
        assert client.clock.earliest_local(ends) <= clock.now() + 5
        assert client.clock.estimate(clock.now()) >= read.now_s

    play(story)


def test_versions_rise_although_the_store_gives_them_out_again() -> None:
    async def story(store, client) -> None:
        copy = store.rows.snapshot()
        before = await client.async_commit(FIRST)
        store.rows.restore(copy)
        assert (await client.async_read('t', 'p')).rows == ()
        again = replace(FIRST, epoch=client.epochs.newest)
        after = await client.async_commit(again)
        assert number_of(after.version) == number_of(before.version)
        assert after.version > before.version

    play(story)


def test_a_change_made_from_lost_rows_counts_as_of_an_epoch_that_ended() -> (
    None
):
    """The condition holds by chance: its version was given out again."""

    async def story(store, client) -> None:
        copy = store.rows.snapshot()
        first = await client.async_commit(FIRST)
        store.rows.restore(copy)
        store.rows.put('t', 'k', b'of another', 'p')
        change = Transaction(
            (Expected(NAME, first.version),), (Put(NAME, b'two'),)
        )
        assert await client.async_commit(change) == EpochEnded(1)
        calls = client.calls
        assert await client.async_commit(change) == EpochEnded(1)
        assert client.calls == calls

    play(story)


def test_a_wait_from_a_version_of_lost_rows_reads_anew() -> None:
    """Else a change is missed whose version is below the one waited from."""

    async def story(store, client) -> None:
        copy = store.rows.snapshot()
        await client.async_commit(FIRST)
        after = (await client.async_read('t', 'p')).version
        waiting = asyncio.create_task(client.async_follow('t', after, 5))
        await asyncio.sleep(0.05)
        store.rows.restore(copy)
        assert isinstance(await waiting, HistoryGone)
        store.rows.put('t', 'k', b'of another', 'p')
        assert isinstance(await client.async_follow('t', after, 5), HistoryGone)

    play(story)
