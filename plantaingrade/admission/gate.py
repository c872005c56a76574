"""Let requests wait for the slots of the server beside this process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.slots import (
    Refuse,
    SlotQueue,
    Start,
    Ticket,
    Verdict,
    Wait,
)
from plantaingrade.clock import Clock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.requests.entity import NotRun


class RefusedError(PlantaingradeError):
    """Report a request that was refused before it was sent to the server."""

    advice = 'Come back after the time given.'

    def __init__(self, outcome: NotRun) -> None:
        """Keep the typed outcome."""
        super().__init__(outcome.reason)
        self.outcome = outcome


class Gate:
    """Act on the decisions of a slot queue."""

    __slots__ = ('_clock', '_refill', '_turn_by_ticket', 'queue')

    def __init__(self, queue: SlotQueue, clock: Clock) -> None:
        """Use a queue."""
        self.queue = queue
        self._clock = clock
        self._turn_by_ticket: dict[Ticket, asyncio.Future[Verdict]] = {}
        self._refill: asyncio.TimerHandle | None = None

    @classmethod
    def from_slots(cls, slots: int, clock: Clock) -> 'Gate':
        """Return a gate to an idle server of which nothing else is known."""
        return cls(SlotQueue(slots, WorkEstimate()), clock)

    @asynccontextmanager
    async def slot(self, ticket: Ticket) -> AsyncIterator[None]:
        """Hold a slot while the body of the ``async with`` runs.

        Raises:
            RefusedError: the request would not end in time.
        """
        verdict = self.queue.offer(ticket, self._clock.now())
        while isinstance(verdict, Wait):
            verdict = await self._wait(verdict)
        if isinstance(verdict, Refuse):
            raise RefusedError(verdict.outcome)
        try:
            yield
        finally:
            self._release(ticket)

    def resize(self, slots: int) -> None:
        """Follow the server's number of slots."""
        self.queue.slots = slots
        self._fill()

    async def _wait(self, wait: Wait) -> Verdict:
        turn = asyncio.get_running_loop().create_future()
        self._turn_by_ticket[wait.ticket] = turn
        self._plan_refill()
        try:
            async with asyncio.timeout(wait.give_up_at - self._clock.now()):
                return await turn
        except TimeoutError:
            if self._has_slot(wait.ticket):
                return Start(wait.ticket)
            return self.queue.give_up(wait.ticket, self._clock.now())
        except asyncio.CancelledError:
            self._leave(wait.ticket)
            raise
        finally:
            self._turn_by_ticket.pop(wait.ticket, None)

    def _fill(self) -> None:
        if self._refill is not None:
            self._refill.cancel()
        self._refill = None
        self._act(self.queue.fill(self._clock.now()))
        self._plan_refill()

    def _plan_refill(self) -> None:
        """Look again when a cold server may get one more request.

        Else slots stay empty until another request ends, which may be never.
        """
        if self._refill is not None:
            return
        pause_s = self.queue.refill_s(self._clock.now())
        if pause_s is not None:
            loop = asyncio.get_running_loop()
            self._refill = loop.call_later(pause_s, self._fill)

    def _leave(self, ticket: Ticket) -> None:
        """Give up a place, or the slot that came at the same moment."""
        if self._has_slot(ticket):
            self._release(ticket)
        else:
            self.queue.withdraw(ticket)

    def _has_slot(self, ticket: Ticket) -> bool:
        return not ticket.is_waiting

    def _release(self, ticket: Ticket) -> None:
        self._act(self.queue.release(ticket, self._clock.now()))
        self._plan_refill()

    def _act(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            turn = self._turn_by_ticket.get(verdict.ticket)
            if turn is not None and not turn.done():
                turn.set_result(verdict)
