"""Transactions of several members in one, each with its own outcome."""

import asyncio

import pytest

from plantaingrade.store.batches import CommitBatches
from plantaingrade.store.clock import StoreClock
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    EpochEnded,
    Expected,
    NotDone,
    OutcomeUnknown,
    Put,
    Row,
    RowName,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.epochs import StoreEpochs
from plantaingrade.store.merging import MAX_MERGED_ENTRIES
from tests.virtual import run

PART = 'cases'
MEMBERS = 12
NOW_S = 50.0


def name_of(index: int, part: str = PART) -> RowName:
    return RowName('t', part, f'member/{index}')


def renewal(index: int, version: int = 1, **fields) -> Transaction:
    name = name_of(index, fields.pop('part', PART))
    return Transaction((Expected(name, version),), (Put(name, b'x'),), **fields)


class FakeStore:
    """Rows of version 1; applies a transaction only as a whole."""

    def __init__(self, outcome: TransactionOutcome | None = None) -> None:
        self.clock = StoreClock()
        self.epochs = StoreEpochs()
        self.version_by_name = {name_of(each): 1 for each in range(100)}
        self.outcome = outcome
        self.sent: list[Transaction] = []

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        self.sent.append(transaction)
        await asyncio.sleep(0.01)
        if self.outcome is not None:
            return self.outcome
        found = self.version_by_name
        if any(
            found.get(each.name, 0) != each.version
            for each in transaction.expected
        ):
            rows = tuple(
                Row(each.name, b'y', found[each.name])
                for each in transaction.expected
                if each.name in found
            )
            return Conflict(rows, NOW_S)
        version = max(found.values()) + 1
        found.update({put.name: version for put in transaction.puts})
        return Committed(version, NOW_S)


def commit_all(
    store: FakeStore, *transactions: Transaction
) -> list[TransactionOutcome]:
    async def scenario() -> list[TransactionOutcome]:
        batches = CommitBatches(store)
        return await asyncio.gather(
            *(batches.async_commit(each) for each in transactions)
        )

    return run(scenario())


def test_renewals_of_a_zone_take_one_call() -> None:
    store = FakeStore()
    outcomes = commit_all(store, *(renewal(each) for each in range(MEMBERS)))
    assert outcomes == [Committed(2, NOW_S) for _ in range(MEMBERS)]
    assert len(store.sent) == 1
    assert len(store.sent[0].expected) == MEMBERS


def test_member_that_lost_its_row_fails_alone() -> None:
    """A takeover has removed its row; the others must keep their leases."""
    store = FakeStore()
    store.version_by_name.pop(name_of(3))
    outcomes = commit_all(store, *(renewal(each) for each in range(MEMBERS)))
    assert outcomes.pop(3) == Conflict((), NOW_S)
    assert outcomes == [Committed(2, NOW_S) for _ in range(MEMBERS - 1)]
    assert len(store.sent) == 2


def test_conflict_shows_a_member_only_its_own_rows() -> None:
    store = FakeStore()
    store.version_by_name[name_of(1)] = 7
    first, second = commit_all(store, renewal(0), renewal(1))
    assert isinstance(first, Committed)
    assert second == Conflict((Row(name_of(1), b'y', 7),), NOW_S)


@pytest.mark.parametrize(
    'outcome',
    [
        OutcomeUnknown(StoreFailure.LOST),
        NotDone(StoreFailure.BUSY),
        EpochEnded(2),
    ],
)
def test_every_member_gets_an_outcome_that_is_not_a_conflict(outcome) -> None:
    """A write without an answer may be applied for each of them."""
    store = FakeStore(outcome)
    assert commit_all(store, renewal(0), renewal(1)) == [outcome, outcome]
    assert len(store.sent) == 1


def test_only_transactions_of_one_part_and_epoch_are_merged() -> None:
    store = FakeStore()
    commit_all(
        store,
        renewal(0),
        renewal(1, epoch=1),
        renewal(2, part='other'),
        renewal(3),
    )
    assert sorted(len(each.puts) for each in store.sent) == [1, 1, 2]


def test_two_writes_of_one_row_are_not_merged() -> None:
    """A member that starts again writes its row while a renewal waits."""
    store = FakeStore()
    first, second = commit_all(store, renewal(0), renewal(0))
    assert isinstance(first, Committed)
    assert isinstance(second, Conflict)


def test_merged_transactions_stay_within_the_stores_limit() -> None:
    store = FakeStore()
    commit_all(store, *(renewal(each) for each in range(100)))
    largest = max(len(each.puts) + len(each.expected) for each in store.sent)
    assert largest <= MAX_MERGED_ENTRIES
    assert sum(len(each.puts) for each in store.sent) == 100


def test_member_that_gives_up_does_not_affect_the_others() -> None:
    store = FakeStore()

    async def scenario() -> TransactionOutcome:
        batches = CommitBatches(store)
        loop = asyncio.get_running_loop()
        gone = loop.create_task(batches.async_commit(renewal(0)))
        other = loop.create_task(batches.async_commit(renewal(1)))
        await asyncio.sleep(0)
        gone.cancel()
        return await other

    assert run(scenario()) == Committed(2, NOW_S)


def test_store_that_always_conflicts_is_not_called_without_end() -> None:
    """It reports conflicts, but its rows fulfil all conditions."""
    rows = tuple(Row(name_of(each), b'y', 1) for each in range(2))
    store = FakeStore(Conflict(rows, NOW_S))
    outcomes = commit_all(store, renewal(0), renewal(1))
    busy = NotDone(StoreFailure.BUSY)
    assert outcomes == [busy, busy]
    assert len(store.sent) == 2
