"""Admit requests to the slots of one backend server."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count

from plantaingrade.admission.const import (
    LOWEST_PRIORITY,
    MAX_QUEUED_PER_SLOT,
    PRIORITY_BY_CLASS,
    RETRY_AFTER_S,
)
from plantaingrade.errors import PlantaingradeError
from plantaingrade.outcome import NotRun, NotRunReason

Turn = asyncio.Future[None]
Place = tuple[int, int, Turn]


class NotAdmittedError(PlantaingradeError):
    """Report that a request was refused before it was run."""

    advice = 'Come back after the time given.'

    def __init__(self, outcome: NotRun) -> None:
        """Keep the typed outcome."""
        super().__init__(outcome.reason)
        self.outcome = outcome


class AdmissionQueue:
    """Bound concurrency by slots and let waiting requests in by class."""

    __slots__ = ('_order', '_queue', 'in_flight', 'slots')

    def __init__(self, slots: int) -> None:
        """Start empty."""
        self.slots = slots
        self.in_flight = 0
        self._order = count()
        self._queue: list[Place] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(not entry[-1].done() for entry in self._queue)

    @asynccontextmanager
    async def slot(self, request_class: str) -> AsyncIterator[None]:
        """Hold a slot while the body of the ``async with`` runs.

        Raises:
            NotAdmittedError: the queue of waiting requests is full.
        """
        if self.in_flight < self.slots:
            self.in_flight += 1
        else:
            await self._wait(request_class)
        try:
            yield
        finally:
            self._leave()

    async def _wait(self, request_class: str) -> None:
        if len(self) >= self.slots * MAX_QUEUED_PER_SLOT:
            refusal = NotRun(NotRunReason.QUEUE_FULL, RETRY_AFTER_S)
            raise NotAdmittedError(refusal)
        turn = asyncio.get_running_loop().create_future()
        priority = PRIORITY_BY_CLASS.get(request_class, LOWEST_PRIORITY)
        heapq.heappush(self._queue, (priority, next(self._order), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._leave()
            raise

    def _leave(self) -> None:
        """Hand the slot to the first that still waits."""
        while self._queue:
            turn = heapq.heappop(self._queue)[-1]
            if not turn.done():
                turn.set_result(None)
                return
        self.in_flight -= 1
