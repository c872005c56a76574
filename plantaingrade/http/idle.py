"""Bound the time for which a connection waits for its next request."""

import asyncio


class IdleLimit:
    """One timer for all waits of a connection.

    A timer for each wait is set and cancelled with each request, which takes
    7 us (thread time, one core). This one stays, and looks when it fires
    whether the wait that goes on then is over its time.
    """

    __slots__ = ('_ends_at', '_is_over', '_loop', '_task', '_timer')

    def __init__(self, task: asyncio.Task[None]) -> None:
        """Bound waits of a task; none goes on yet."""
        self._task = task
        self._loop = task.get_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._ends_at: float | None = None
        self._is_over = False

    def begin(self, limit_s: float) -> None:
        """Cancel the task if the wait that begins now takes this long."""
        ends_at = self._loop.time() + limit_s
        self._ends_at = ends_at
        if self._timer is not None and self._timer.when() > ends_at:
            self.stop()
        if self._timer is None:
            self._timer = self._loop.call_at(ends_at, self._look)

    def end(self) -> None:
        """Note that the wait is over."""
        self._ends_at = None

    def take_cancellation(self) -> bool:
        """Tell whether only this limit has cancelled the task, and undo it."""
        if not self._is_over:
            return False
        self._is_over = False
        return self._task.uncancel() == 0

    def stop(self) -> None:
        """Drop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look(self) -> None:
        self._timer = None
        if self._ends_at is None:
            return
        if self._ends_at > self._loop.time():
            self._timer = self._loop.call_at(self._ends_at, self._look)
            return
        self._is_over = True
        self._task.cancel()
