"""Renew a lease through the member that commits the renewals of its zone."""

from typing import Protocol

from plantaingrade.clock import Clock
from plantaingrade.codec import MalformedMessageError
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.renewal_schedule import pause_until_renewal
from plantaingrade.peers.delegates import Delegates
from plantaingrade.peers.entity import Member
from plantaingrade.store.batches import CommitBatches
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    EpochEnded,
    NotDone,
    OutcomeUnknown,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.interface import Store
from plantaingrade.store.relay import COMMIT_CODEC, TRANSACTION_CODEC

PATH_RENEW = '/-/store/renew'
# Time limit of a call to the committer: its collecting time and one call. After
# that, time is left for an own renewal before witnesses are asked to promise
# the lease.
SHARED_LIMIT_S = 0.4
FAILED = NotDone | OutcomeUnknown


class CommitterCalls(Protocol):
    """Client for the committer of a zone."""

    async def async_post(
        self, member: Member, path: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Call a member; return None without an answer."""


class SharedRenewals:
    """Commits renewals of one member together with those of its zone."""

    __slots__ = (
        '_batches',
        '_calls',
        '_clock',
        '_delegates',
        '_log',
        '_own',
        '_store',
    )

    def __init__(
        self,
        own: Member,
        store: Store,
        batches: CommitBatches,
        calls: CommitterCalls,
        delegates: Delegates,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Use ``batches`` where the own member is the delegate."""
        self._own = own
        self._store = store
        self._batches = batches
        self._calls = calls
        self._delegates = delegates
        self._clock = clock
        self._log = log

    def pause_s(self, renew_s: float) -> float:
        """Return the time until the next renewal; at most ``renew_s`` or so."""
        now = self._clock.now()
        store_now_s = self._store.clock.estimate(now)
        if store_now_s is None or self._delegates.choose(now) is None:
            return renew_s
        return pause_until_renewal(store_now_s, renew_s)

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a renewal; it has the outcomes of a call to the store.

        Without an answer it may have been applied, and may still be: the caller
        follows it up as it does after a lost answer of the store.
        """
        committer = self._delegates.choose(self._clock.now())
        if committer is None:
            return await self._store.async_commit(transaction)
        if committer.name == self._own.name:
            outcome = await self._batches.async_commit(transaction)
        else:
            outcome = await self._async_send(committer, transaction)
        if isinstance(outcome, FAILED):
            self._on_failure(committer, outcome)
        else:
            self._delegates.failures.on_success(committer.name)
        if isinstance(outcome, NotDone):
            return await self._store.async_commit(transaction)
        if isinstance(outcome, EpochEnded):
            self._store.epochs.record(outcome.epoch)
        if transaction.epoch < self._store.epochs.newest:
            return EpochEnded(self._store.epochs.newest)
        return outcome

    async def _async_send(
        self, committer: Member, transaction: Transaction
    ) -> TransactionOutcome:
        body = TRANSACTION_CODEC.encode(transaction)
        sent_at = self._clock.now()
        answer = await self._calls.async_post(
            committer, PATH_RENEW, body, SHARED_LIMIT_S
        )
        if answer is None:
            return OutcomeUnknown(StoreFailure.LOST)
        try:
            outcome = COMMIT_CODEC.decode(answer)
        except MalformedMessageError:
            return OutcomeUnknown(StoreFailure.MALFORMED)
        if isinstance(outcome, Committed | Conflict):
            received_at = self._clock.now()
            self._store.clock.observe(sent_at, received_at, outcome.now_s)
        return outcome

    def _on_failure(
        self, committer: Member, outcome: NotDone | OutcomeUnknown
    ) -> None:
        self._delegates.failures.on_failure(committer.name, self._clock.now())
        self._log.write(
            'committer-failed', member=committer.name, why=outcome.failure
        )
