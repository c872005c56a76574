"""Keep the background tasks of a process running."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from types import TracebackType

from msgspec import Struct

from plantaingrade.supervision.const import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    PAUSE_JITTER,
    PROVEN_S,
)
from plantaingrade.supervision.failures import report_failure
from plantaingrade.supervision.jobs import start_job

Work = Callable[[], Awaitable[None]]


class TaskHealth(Struct, eq=False):
    """Failures of one task in a row, and when it was last started again."""

    name: str
    failures: int = 0
    failing_since: float = 0.0
    # None while the task waits to be started again.
    restarted_at: float | None = None

    def is_failing(self, now: float) -> bool:
        """Return whether the task has failed and has not proven sound since."""
        if not self.failures:
            return False
        return self.restarted_at is None or now < self.restarted_at + PROVEN_S

    def on_failure(self, now: float) -> float:
        """Count a failure; return the longest pause before a restart."""
        if not self.is_failing(now):
            self.failures = 0
            self.failing_since = now
        self.failures += 1
        self.restarted_at = None
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (self.failures - 1))


class Supervisor:
    """Starts tasks again that end by an exception.

    A failure is reported, and the task is started anew after a pause: its work
    is a function that begins with reading what it depends on. While any task
    is failing, the process does not follow something that it must follow.
    """

    __slots__ = ('_healths', '_random', '_tasks')

    def __init__(self, seed: str) -> None:
        """Supervise no task yet; ``seed`` spreads the pauses of processes."""
        self._random = random.Random(seed)
        self._healths: set[TaskHealth] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> 'Supervisor':
        """Return the supervisor."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def failing_names(self) -> list[str]:
        """Return the names of the tasks that are failing."""
        now = _now()
        return [each.name for each in self._healths if each.is_failing(now)]

    def failing_s(self, names: frozenset[str]) -> float:
        """Return for how many seconds any of these tasks has been failing."""
        now = _now()
        return max(
            (
                now - each.failing_since
                for each in self._healths
                if each.name in names and each.is_failing(now)
            ),
            default=0.0,
        )

    def start(self, name: str, work: Work) -> asyncio.Task[None]:
        """Start a task that runs until its work returns."""
        task = start_job(name, self._async_run(TaskHealth(name), work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _async_run(self, health: TaskHealth, work: Work) -> None:
        self._healths.add(health)
        try:
            while not await self._async_try(health, work):
                health.restarted_at = _now()
        finally:
            self._healths.discard(health)

    async def _async_try(self, health: TaskHealth, work: Work) -> bool:
        """Run the work; after a failure pause, and return False.

        What the work awaits may be cancelled by others. That would end the task
        as if it had been cancelled itself. A task that is cancelled ends, also
        if its work fails meanwhile.
        """
        try:
            await work()
        except (asyncio.CancelledError, Exception) as error:
            if asyncio.current_task().cancelling():
                raise
            await self._async_pause(health, error)
            return False
        return True

    async def _async_pause(
        self, health: TaskHealth, error: BaseException
    ) -> None:
        longest_s = health.on_failure(_now())
        pause_s = longest_s * self._random.uniform(*PAUSE_JITTER)
        report_failure(health.name, error, round(pause_s, 3))
        await asyncio.sleep(pause_s)


def _now() -> float:
    return asyncio.get_running_loop().time()
