"""Report exceptions that end a task or a callback.

All of them go through the exception handler of the event loop, those that the
loop finds itself among them: in timers, datagrams and protocols, and in tasks
that nobody awaits.
"""

import asyncio
from typing import Any

from plantaingrade.eventlog import EventLog
from plantaingrade.supervision.lines import write_failure

KEY_TASK_NAME = 'task_name'
KEY_RETRY_S = 'retry_s'


def report_failure(
    task_name: str, error: BaseException, retry_s: float | None = None
) -> None:
    """Report an exception that ended a task.

    ``retry_s`` is the pause in seconds before the task is started again.
    """
    asyncio.get_running_loop().call_exception_handler(
        {
            'message': 'A background task failed',
            'exception': error,
            KEY_TASK_NAME: task_name,
            KEY_RETRY_S: retry_s,
        }
    )


class FailureLog:
    """Exception handler of an event loop: one log line for each failure."""

    __slots__ = ('_log',)

    def __init__(self, log: EventLog) -> None:
        """Write to a log, which also counts the lines of each kind."""
        self._log = log

    def install(self) -> None:
        """Handle the exceptions of the running event loop from now on."""
        asyncio.get_running_loop().set_exception_handler(self.on_exception)

    def on_exception(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Write one line about an exception that nothing else handles."""
        write_failure(
            self._log,
            _task_name(context),
            context.get('exception'),
            context.get('message'),
            context.get(KEY_RETRY_S),
        )


def _task_name(context: dict[str, Any]) -> str | None:
    task = context.get('task') or context.get('future')
    if isinstance(task, asyncio.Task):
        return task.get_name()
    return context.get(KEY_TASK_NAME)
