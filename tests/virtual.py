"""An event loop whose time passes only while everything waits.

Stories of many seconds then run in milliseconds, and always the same way.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

# Least time of a turn of the loop, in seconds: a timer that is due within
# the clock's resolution fires at once, and whoever waits looks at the time.
MIN_STEP_S = 1e-8


class VirtualSelector(selectors.SelectSelector):
    """Let time pass instead of waiting."""

    def __init__(self) -> None:
        """Start at a time that is not zero, as a boot clock would."""
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; otherwise move the time on."""
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError(
                'Everything waits for something that never comes'
            )
        self.now += max(MIN_STEP_S, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time."""

    def __init__(self) -> None:
        """Use a selector that moves the time on."""
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now


class LoopClock:
    """Clock that reads the running loop's time."""

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()


def run(story: Coroutine[Any, Any, Any]) -> Any:
    """Run a story on virtual time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(story)
    finally:
        _end_tasks(loop)
        loop.close()


def _end_tasks(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        ended = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(ended)
