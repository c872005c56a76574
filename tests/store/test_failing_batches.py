"""A batch of commits that fails by an exception."""

import asyncio

from plantaingrade.store.batches import CommitBatches
from plantaingrade.store.entity import (
    Committed,
    Expected,
    OutcomeUnknown,
    Put,
    RowName,
    StoreFailure,
    Transaction,
)
from tests.holds.fakes import FakeRows, FakeStore
from tests.virtual import run


class ThrownError(Exception):
    """Failure that no task expects."""


class FailingStore:
    """Store whose commits raise an exception."""

    async def async_commit(self, transaction: Transaction):
        await asyncio.sleep(0.01)
        raise ThrownError


def test_batch_that_fails_while_it_collects_ends_no_later_batch() -> None:
    """Guards against commits that nothing sends any more."""

    async def scenario() -> None:
        batches = CommitBatches(FakeStore(FakeRows()))
        name = RowName('t', 'p', '1')
        change = Transaction((Expected(name, 0),), (Put(name, b''),))
        lost = asyncio.ensure_future(batches.async_commit(change))
        await asyncio.sleep(0.01)
        for task in asyncio.all_tasks():
            if task.get_name() == 'commit-batch':
                task.cancel()
        assert await lost == OutcomeUnknown(StoreFailure.LOST)
        assert isinstance(await batches.async_commit(change), Committed)

    run(scenario())


def test_commits_of_a_batch_that_fails_are_answered() -> None:
    """Guards against renewals that wait for ever for a task that has ended."""
    failures = []

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context['task_name'])
        )
        batches = CommitBatches(FailingStore())
        names = [RowName('t', 'p', str(number)) for number in range(3)]
        outcomes = await asyncio.gather(
            *(
                batches.async_commit(
                    Transaction((Expected(name, 1),), (Put(name, b''),))
                )
                for name in names
            )
        )
        assert set(outcomes) == {OutcomeUnknown(StoreFailure.LOST)}

    run(scenario())
    assert failures == ['commit-batch']
