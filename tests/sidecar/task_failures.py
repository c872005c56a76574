"""Exceptions that are thrown into the running tasks of whole processes."""

import asyncio
import random
from collections import Counter

FAILING_SHARE = 0.4


class ThrownError(Exception):
    """Failure that no task expects."""


def running(name: str) -> list[asyncio.Task]:
    """Return the tasks of this name, in all processes of the loop."""
    return [task for task in asyncio.all_tasks() if task.get_name() == name]


async def async_throw_into(tasks: list[asyncio.Task]) -> None:
    """Let each task fail where it waits."""
    for task in tasks:
        while not _throw(task):
            await asyncio.sleep(0)


def _throw(task: asyncio.Task) -> bool:
    """Fail what a task waits for; return False if it is about to run."""
    waiter = task._fut_waiter  # noqa: SLF001
    if isinstance(waiter, asyncio.Task):
        return _throw(waiter)
    if waiter is None or waiter.done():
        return task.done()
    waiter.set_exception(ThrownError('thrown by the test'))
    return True


class JobFailures:
    """Task factory that lets some of the tasks of given coroutines fail.

    Each fails where it first waits, unless it never does.
    """

    def __init__(self, names: tuple[str, ...], seed: int) -> None:
        """Choose among coroutines by their qualified names."""
        self.failed_names: Counter[str] = Counter()
        self.is_active = False
        self._names = names
        self._random = random.Random(seed)

    def make_task(self, loop, coroutine, **options) -> asyncio.Task:
        """Make a task, which may be bound to fail."""
        name = getattr(coroutine, '__qualname__', '')
        is_chosen = self.is_active and name in self._names
        if is_chosen and self._random.random() < FAILING_SHARE:
            coroutine = self._async_fail_midway(name, coroutine)
        return asyncio.Task(coroutine, loop=loop, **options)

    async def _async_fail_midway(self, name: str, coroutine) -> None:
        try:
            awaited = coroutine.send(None)
        except StopIteration:
            return
        await asyncio.sleep(0)
        self.failed_names[name] += 1
        if awaited is not None:
            awaited.add_done_callback(_retrieve)
            awaited.cancel()
            # The callbacks of what was awaited release its socket first.
            await asyncio.sleep(0)
        coroutine.throw(ThrownError('thrown by the test'))


def _retrieve(future: asyncio.Future) -> None:
    """Take the outcome for which nothing waits any more."""
    if not future.cancelled():
        future.exception()
