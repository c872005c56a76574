"""Commit transactions of several processes together, on their behalf."""

import asyncio

from msgspec import Struct

from plantaingrade.store.entity import (
    Conflict,
    NotDone,
    OutcomeUnknown,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.interface import Store
from plantaingrade.store.merging import can_merge, conflict_of, merge
from plantaingrade.supervision.jobs import start_job

# Time from the first transaction to the commit. Members send their renewals at
# the same reading of the store's clock, which they know within some 20 ms, and
# a busy process is later by as much.
COLLECT_S = 0.1
# Commits of one group: one transaction that conflicts is left out of the
# second.
MAX_COMMITS = 2


class WaitingCommit(Struct):
    """A transaction whose process waits for its outcome."""

    transaction: Transaction
    answer: asyncio.Future[TransactionOutcome]


class CommitBatches:
    """Merges transactions that arrive within ``COLLECT_S``."""

    __slots__ = ('_flushes', '_store', '_waiting')

    def __init__(self, store: Store) -> None:
        """Use only direct store calls, so that relays cannot form a loop."""
        self._store = store
        self._waiting: list[WaitingCommit] = []
        self._flushes: set[asyncio.Task[None]] = set()

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a transaction together with others of its part."""
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[TransactionOutcome] = loop.create_future()
        self._waiting.append(WaitingCommit(transaction, answer))
        if len(self._waiting) == 1:
            flush = start_job('commit-batch', self._async_flush())
            self._flushes.add(flush)
            flush.add_done_callback(self._flushes.discard)
        return await answer

    async def _async_flush(self) -> None:
        waiting = self._waiting
        try:
            await asyncio.sleep(COLLECT_S)
            self._waiting = []
            await asyncio.gather(
                *(self._async_commit_group(group) for group in _group(waiting))
            )
        except BaseException:
            # Cancelled or failed, the commits may still be applied.
            if self._waiting is waiting:
                self._waiting = []
            _answer_all(waiting, OutcomeUnknown(StoreFailure.LOST))
            raise

    async def _async_commit_group(self, group: list[WaitingCommit]) -> None:
        for _ in range(MAX_COMMITS):
            outcome = await self._async_commit_merged(group)
            if not isinstance(outcome, Conflict):
                _answer_all(group, outcome)
                return
            group = _answer_conflicts(group, outcome)
            if not group:
                return
        _answer_all(group, NotDone(StoreFailure.BUSY))

    async def _async_commit_merged(
        self, group: list[WaitingCommit]
    ) -> TransactionOutcome:
        merged = merge([each.transaction for each in group])
        return await self._store.async_commit(merged)


def _group(waiting: list[WaitingCommit]) -> list[list[WaitingCommit]]:
    """Return groups whose transactions can be merged."""
    groups: list[list[WaitingCommit]] = []
    for each in waiting:
        fitting = (group for group in groups if _can_join(group, each))
        group = next(fitting, None)
        if group is None:
            groups.append([each])
        else:
            group.append(each)
    return groups


def _can_join(group: list[WaitingCommit], waiting: WaitingCommit) -> bool:
    merged = [each.transaction for each in group]
    return can_merge(merged, waiting.transaction)


def _answer_conflicts(
    group: list[WaitingCommit], merged: Conflict
) -> list[WaitingCommit]:
    """Answer those whose conditions don't hold; return the others."""
    others: list[WaitingCommit] = []
    for waiting in group:
        conflict = conflict_of(waiting.transaction, merged)
        if conflict is None:
            others.append(waiting)
        else:
            _answer_all([waiting], conflict)
    return others


def _answer_all(
    group: list[WaitingCommit], outcome: TransactionOutcome
) -> None:
    for waiting in group:
        # The process may have given up.
        if not waiting.answer.done():
            waiting.answer.set_result(outcome)
