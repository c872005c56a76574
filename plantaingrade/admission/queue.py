"""Queue requests for the slots of one backend server by class."""

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

Waiter = asyncio.Future[None]
QueueEntry = tuple[int, int, Waiter]


class NotAdmittedError(PlantaingradeError):
    """Raised for a request refused before it was run."""

    advice = 'Retry after the given delay.'

    def __init__(self, outcome: NotRun) -> None:
        """Store the outcome returned to the caller."""
        super().__init__(outcome.reason)
        self.outcome = outcome


class AdmissionQueue:
    """Limit concurrency to the slots and admit by class priority."""

    __slots__ = ('_sequence', '_queue', 'in_flight', 'slots')

    def __init__(self, slots: int) -> None:
        """Create an empty queue with all slots free."""
        self.slots = slots
        self.in_flight = 0
        self._sequence = count()
        self._queue: list[QueueEntry] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
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
            self._release()

    async def _wait(self, request_class: str) -> None:
        if len(self) >= self.slots * MAX_QUEUED_PER_SLOT:
            refusal = NotRun(NotRunReason.QUEUE_FULL, RETRY_AFTER_S)
            raise NotAdmittedError(refusal)
        waiter = asyncio.get_running_loop().create_future()
        priority = PRIORITY_BY_CLASS.get(request_class, LOWEST_PRIORITY)
        heapq.heappush(self._queue, (priority, next(self._sequence), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        """Pass the slot to the first request that still waits."""
        while self._queue:
            waiter = heapq.heappop(self._queue)[-1]
            if not waiter.done():
                waiter.set_result(None)
                return
        self.in_flight -= 1
