"""Interface of the shared store."""

from typing import Protocol

from plantaingrade.store.clock import StoreClock
from plantaingrade.store.entity import (
    FeedOutcome,
    ReadOutcome,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.epochs import StoreEpochs


class Committer(Protocol):
    """Applies transactions."""

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a transaction."""


class Store(Committer, Protocol):
    """Versioned rows that are changed by transactions."""

    clock: StoreClock
    epochs: StoreEpochs

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows of one part of a table."""

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        """Wait for rows of a table that changed after a version.

        ``wait_s`` limits the wait at the store, in seconds.
        """
