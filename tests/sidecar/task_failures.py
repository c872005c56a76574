"""Exceptions that are thrown into the running tasks of whole processes."""

import asyncio


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
