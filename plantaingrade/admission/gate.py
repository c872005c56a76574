"""Asynchronous access to the slots of the local backend server."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from plantaingrade.admission.entity import Decision, Refuse, Start, Ticket, Wait
from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.slots import SlotQueue
from plantaingrade.clock import Clock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.requests.entity import NotRun


class RefusedError(PlantaingradeError):
    """Raised for a request refused before it was sent to the server."""

    advice = 'Retry after the given delay.'

    def __init__(self, outcome: NotRun) -> None:
        """Store the outcome returned to the caller."""
        super().__init__(outcome.reason)
        self.outcome = outcome


class Gate:
    """Make requests wait according to the decisions of a slot queue."""

    __slots__ = ('_clock', '_fill_timer', '_waiter_by_ticket', 'queue')

    def __init__(self, queue: SlotQueue, clock: Clock) -> None:
        """Create a gate in front of a slot queue."""
        self.queue = queue
        self._clock = clock
        self._waiter_by_ticket: dict[Ticket, asyncio.Future[Decision]] = {}
        self._fill_timer: asyncio.TimerHandle | None = None

    @classmethod
    def from_slots(cls, slots: int, clock: Clock) -> 'Gate':
        """Return a gate for an idle server without known durations."""
        return cls(SlotQueue(slots, WorkEstimate()), clock)

    @asynccontextmanager
    async def slot(self, ticket: Ticket) -> AsyncIterator[None]:
        """Hold a slot while the body of the ``async with`` runs.

        Raises:
            RefusedError: the request is not expected to complete in time.
        """
        decision = self.queue.offer(ticket, self._clock.now())
        while isinstance(decision, Wait):
            decision = await self._wait(decision)
        if isinstance(decision, Refuse):
            raise RefusedError(decision.outcome)
        try:
            yield
        finally:
            self._release(ticket)

    def resize(self, slots: int) -> None:
        """Apply a new number of slots and start waiting requests."""
        self.queue.slots = slots
        self._fill()

    def refuse_waiting(self, outcome: NotRun) -> int:
        """Refuse the waiting requests that others may serve; return the count.

        The server accepts no more of them.
        """
        return self.refuse_by(
            lambda ticket: None if ticket.is_bound else outcome
        )

    def refuse_by(self, find: Callable[[Ticket], NotRun | None]) -> int:
        """Refuse the waiting requests for which ``find`` returns an outcome.

        Return their count.
        """
        waiting = [
            ticket
            for ticket, waiter in self._waiter_by_ticket.items()
            if ticket.is_waiting and not waiter.done()
        ]
        outcome_by_ticket = {ticket: find(ticket) for ticket in waiting}
        refusals = [
            Refuse(ticket, outcome)
            for ticket, outcome in outcome_by_ticket.items()
            if outcome is not None
        ]
        for refusal in refusals:
            self.queue.remove(refusal.ticket)
        self._wake_waiters(refusals)
        return len(refusals)

    async def _wait(self, wait: Wait) -> Decision:
        waiter = asyncio.get_running_loop().create_future()
        self._waiter_by_ticket[wait.ticket] = waiter
        self._schedule_fill()
        try:
            async with asyncio.timeout(wait.timeout_at - self._clock.now()):
                return await waiter
        except TimeoutError:
            if self._has_slot(wait.ticket):
                return Start(wait.ticket)
            return self.queue.on_timeout(wait.ticket, self._clock.now())
        except asyncio.CancelledError:
            self._abandon(wait.ticket)
            raise
        finally:
            self._waiter_by_ticket.pop(wait.ticket, None)

    def _fill(self) -> None:
        if self._fill_timer is not None:
            self._fill_timer.cancel()
        self._fill_timer = None
        self._wake_waiters(self.queue.fill(self._clock.now()))
        self._schedule_fill()

    def _schedule_fill(self) -> None:
        """Schedule a check for the time a limited server may get more requests.

        Without it free slots would stay unused until another request ends,
        which may never happen.
        """
        delay_s = self.queue.next_fill_s(self._clock.now())
        if delay_s is None:
            return
        fill_at = asyncio.get_running_loop().time() + delay_s
        if self._fill_timer is not None:
            if self._fill_timer.when() <= fill_at:
                return
            self._fill_timer.cancel()
        self._fill_timer = asyncio.get_running_loop().call_at(
            fill_at, self._fill
        )

    def _abandon(self, ticket: Ticket) -> None:
        """Leave the queue, or release a slot assigned at the same moment."""
        if self._has_slot(ticket):
            self._release(ticket)
        else:
            self.queue.remove(ticket)

    def _has_slot(self, ticket: Ticket) -> bool:
        return not ticket.is_waiting

    def _release(self, ticket: Ticket) -> None:
        self._wake_waiters(self.queue.release(ticket, self._clock.now()))
        self._schedule_fill()

    def _wake_waiters(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            waiter = self._waiter_by_ticket.get(decision.ticket)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
