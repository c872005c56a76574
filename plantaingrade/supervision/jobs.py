"""Start short tasks whose failures are reported."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from plantaingrade.supervision.failures import report_failure

Returned = TypeVar('Returned')


def start_job(
    name: str, work: Coroutine[Any, Any, Returned]
) -> asyncio.Task[Returned]:
    """Start a task that runs once, and report the exception that ends it.

    For work that something starts again in any case: a request, a datagram or
    the next round of a loop. The caller keeps the task, as the event loop does
    not.
    """
    task = asyncio.get_running_loop().create_task(work, name=name)
    task.add_done_callback(_report)
    return task


def _report(task: asyncio.Task[Any]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        report_failure(task.get_name(), error)
