"""Log lines about exceptions that nothing handles."""

import traceback

from plantaingrade.eventlog import EventLog

EVENT_TASK_FAILED = 'task-failed'
# Limits on the length of a log line.
MAX_FRAMES = 8
MAX_REASON_CHARS = 300


def write_failure(
    log: EventLog,
    task_name: str | None,
    error: BaseException | None,
    message: str | None = None,
    retry_s: float | None = None,
) -> None:
    """Write one line about an exception.

    ``retry_s`` is the pause in seconds before the task is started again.
    """
    log.write(
        EVENT_TASK_FAILED,
        task=task_name,
        message=message,
        error=type(error).__name__,
        why=str(error)[:MAX_REASON_CHARS],
        trace=_frames(error),
        retry_s=retry_s,
    )


def _frames(error: BaseException | None) -> list[str]:
    """Return the innermost calls, as ``module:line function``."""
    if error is None:
        return []
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return [
        f'{_module_path(frame.filename)}:{frame.lineno} {frame.name}'
        for frame in frames
    ]


def _module_path(filename: str) -> str:
    """Return a path from the package on, without the place it lies in."""
    _, package, rest = filename.rpartition('plantaingrade/')
    return f'{package}{rest}'
