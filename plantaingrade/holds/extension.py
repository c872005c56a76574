"""Extend the own lease by promises while it cannot be renewed.

Failure: the store is unavailable for longer than the base end of a lease.
"""

import asyncio

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import (
    BASE_LEASE_S,
    EXTEND_BEFORE_S,
    EXTEND_RETRY_S,
)
from plantaingrade.holds.promises import is_majority
from plantaingrade.holds.registry import Registry
from plantaingrade.holds.witnesses import Witnesses, async_collect_agreed


class LeaseExtension:
    """Asks the witnesses of the own lease when a renewal is late."""

    __slots__ = ('_clock', '_log', '_registry', '_witnesses')

    def __init__(
        self,
        registry: Registry,
        witnesses: Witnesses,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Watch one lease."""
        self._registry = registry
        self._witnesses = witnesses
        self._clock = clock
        self._log = log

    async def async_run(self) -> None:
        """Ask whenever the lease is about to end, until cancelled."""
        while True:
            await asyncio.sleep(self._pause_s())
            if self._is_due():
                await self._async_extend()

    def _pause_s(self) -> float:
        """Return the time until the lease may be close to its end.

        A write that is sent meanwhile may shorten the lease to the base end of
        the lease for which it asks.
        """
        left_s = self._registry.lease_until - self._clock.now()
        return max(EXTEND_RETRY_S, min(left_s, BASE_LEASE_S) - EXTEND_BEFORE_S)

    def _is_due(self) -> bool:
        now = self._clock.now()
        registry = self._registry
        if not registry.has_lease(now) or not registry.term.can_extend:
            return False
        return registry.lease_until - now <= EXTEND_BEFORE_S

    async def _async_extend(self) -> None:
        """Ask all relevant witnesses and apply their promises.

        The range of writes is fixed before the first request: a write that is
        sent meanwhile is not promised.
        """
        term = self._registry.term
        witness_sets = term.witness_sets()
        witnesses = sorted(
            {witness for each in witness_sets for witness in each}
        )
        request_by_witness = {
            each: term.promise_request(each) for each in witnesses
        }
        last = request_by_witness[witnesses[0]].last
        agreed = await async_collect_agreed(self._witnesses, request_by_witness)
        is_promised = all(is_majority(agreed, each) for each in witness_sets)
        if is_promised:
            term.on_promised(last)
        self._log.write(
            'lease-extended' if is_promised else 'lease-not-extended',
            asked=len(witnesses),
            agreed=len(agreed),
            last=last,
            left_s=round(self._registry.lease_until - self._clock.now(), 2),
        )
