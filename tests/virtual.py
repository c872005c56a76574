"""An event loop on virtual time, which advances only while all tasks wait.

Scenarios of many seconds run in milliseconds and are deterministic.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

# Minimum time step in seconds. The loop runs timers that are due within the
# clock resolution at once; without a step, code that waits for a time would
# read the same time again and again.
MIN_STEP_S = 1e-8


class VirtualSelector(selectors.PollSelector):
    """Selector that advances the virtual time instead of blocking."""

    def __init__(self) -> None:
        """Start at a non-zero time, like a boot clock."""
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return ready events, or advance the time by the timeout.

        Raises RuntimeError if no timer is pending: the scenario would hang.
        """
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError(
                'Deadlock: all tasks wait and no timer is pending'
            )
        self.now += max(MIN_STEP_S, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that uses virtual time."""

    def __init__(self) -> None:
        """Create the loop with a selector that advances the time."""
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now


class LoopClock:
    """Clock that returns the time of the running loop."""

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()


def run(scenario: Coroutine[Any, Any, Any]) -> Any:
    """Run a scenario in virtual time and return its result.

    It fails if an exception ends a task or a callback, unless the scenario
    handles the exceptions of its loop.
    """
    loop = VirtualLoop()
    failures: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, context: failures.append(context))
    try:
        returned = loop.run_until_complete(scenario)
    finally:
        _end_tasks(loop)
        loop.close()
    assert not failures
    return returned


def _end_tasks(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        ended = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(ended)
