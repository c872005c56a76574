"""Lengthen the own lease by promises while it cannot be renewed."""

import asyncio

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import (
    ASK_BEFORE_S,
    ASK_PAUSE_S,
    BASE_LEASE_S,
)
from plantaingrade.holds.promises import is_majority
from plantaingrade.holds.registry import Registry
from plantaingrade.holds.witnesses import Witnesses, async_agreed


class LeaseExtension:
    """Ask the witnesses of the own lease when a renewal is late."""

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
        """Return the time until the lease can have come close to its end.

        A write that is sent meanwhile may bound it anew, by the first end of
        the lease that it asks for.
        """
        left_s = self._registry.lease_until - self._clock.now()
        return max(ASK_PAUSE_S, min(left_s, BASE_LEASE_S) - ASK_BEFORE_S)

    def _is_due(self) -> bool:
        now = self._clock.now()
        registry = self._registry
        if not registry.has_lease(now) or not registry.term.may_grow:
            return False
        return registry.lease_until - now <= ASK_BEFORE_S

    async def _async_extend(self) -> None:
        """Ask every witness that matters; count what they have promised.

        What is asked for is fixed before the first question: a write that is
        sent meanwhile is not promised.
        """
        term = self._registry.term
        sets = term.witness_sets()
        named = sorted({witness for each in sets for witness in each})
        question_by_witness = {each: term.question(each) for each in named}
        last = question_by_witness[named[0]].last
        agreed = await async_agreed(self._witnesses, question_by_witness)
        is_promised = all(is_majority(agreed, each) for each in sets)
        if is_promised:
            term.on_promised(last)
        self._log.write(
            'lease-extended' if is_promised else 'lease-not-extended',
            asked=len(named),
            agreed=len(agreed),
            last=last,
            left_s=round(self._registry.lease_until - self._clock.now(), 2),
        )
