"""Count the calls of one process to the store, by kind."""

from collections import Counter
from collections.abc import Callable

from plantaingrade.eventlog import EventLog
from plantaingrade.store.clock import StoreClock
from plantaingrade.store.entity import (
    FeedOutcome,
    NotDone,
    OutcomeUnknown,
    ReadOutcome,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.epochs import StoreEpochs
from plantaingrade.store.interface import Store

# Calls after which the counts are logged.
CALLS_PER_LINE = 50
FAILED = NotDone | OutcomeUnknown


class CountingStore:
    """Store that counts calls and failed calls, and logs the counts.

    A read of more rows than fit into one response counts once.
    """

    __slots__ = ('_count_by_kind', '_log', '_on_call', '_store')

    def __init__(
        self, store: Store, on_call: Callable[[str], None], log: EventLog
    ) -> None:
        """Pass the kind of each call, and of each failure, to ``on_call``."""
        self._store = store
        self._on_call = on_call
        self._log = log
        self._count_by_kind: Counter[str] = Counter()

    @property
    def clock(self) -> StoreClock:
        """Return the estimate of the store's clock."""
        return self._store.clock

    @property
    def epochs(self) -> StoreEpochs:
        """Return the known epochs of the store."""
        return self._store.epochs

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a transaction."""
        self._count('store-change')
        outcome = await self._store.async_commit(transaction)
        self._count_failure('store-change', outcome)
        return outcome

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows of one part of a table."""
        self._count('store-read')
        outcome = await self._store.async_read(table, part)
        self._count_failure('store-read', outcome)
        return outcome

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        """Wait for rows of a table that changed after a version."""
        self._count('store-follow')
        outcome = await self._store.async_follow(table, after, wait_s)
        self._count_failure('store-follow', outcome)
        return outcome

    def _count(self, kind: str) -> None:
        self._on_call(kind)
        self._count_by_kind[kind] += 1
        calls = self._count_by_kind.total()
        if calls % CALLS_PER_LINE == 0:
            self._log.write('store-calls', by_kind=dict(self._count_by_kind))

    def _count_failure(
        self,
        kind: str,
        outcome: TransactionOutcome | ReadOutcome | FeedOutcome,
    ) -> None:
        if isinstance(outcome, FAILED):
            self._on_call(f'{kind}-failed')
