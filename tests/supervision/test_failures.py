"""Tests of the lines about exceptions that end tasks and callbacks."""

import asyncio
import gc
import json
import os

import pytest

from plantaingrade.eventlog import EventLog
from plantaingrade.supervision.failures import FailureLog, report_failure
from plantaingrade.supervision.jobs import start_job
from tests.virtual import LoopClock, run


class OddRowError(Exception):
    """Failure that no task expects."""


async def fail() -> None:
    raise OddRowError('odd row')


def fail_at_once() -> None:
    raise OddRowError('odd row')


def lines_of(scenario) -> list[dict]:
    """Run a scenario and return the lines that it writes."""
    reading, writing = os.pipe()
    counted = []

    async def run_scenario() -> None:
        log = EventLog('n', LoopClock(), writing)
        log.set_event_callback(counted.append)
        FailureLog(log).install()
        await scenario()
        await asyncio.sleep(1)

    run(run_scenario())
    os.close(writing)
    with os.fdopen(reading) as text:
        lines = [json.loads(line) for line in text]
    assert counted == [line['event'] for line in lines]
    return lines


async def start_failing_job() -> None:
    start_job('map-pull', fail())


async def leave_failing_task() -> None:
    asyncio.get_running_loop().create_task(fail(), name='forgotten')
    await asyncio.sleep(0.1)
    gc.collect()


async def set_failing_timer() -> None:
    asyncio.get_running_loop().call_later(0.1, fail_at_once)


async def report_with_retry() -> None:
    try:
        await fail()
    except OddRowError as error:
        report_failure('config', error, 0.2)


@pytest.mark.parametrize(
    ('scenario', 'task', 'retry_s'),
    [
        (start_failing_job, 'map-pull', None),
        (leave_failing_task, 'forgotten', None),
        (set_failing_timer, None, None),
        (report_with_retry, 'config', 0.2),
    ],
)
def test_failure_is_one_line_that_is_counted(scenario, task, retry_s) -> None:
    """Guards against a task that ends unseen."""
    lines = lines_of(scenario)
    assert [each['event'] for each in lines] == ['task-failed']
    line = lines[0]
    assert line['task'] == task
    assert line['error'] == 'OddRowError'
    assert line['why'] == 'odd row'
    assert line['retry_s'] == retry_s
    assert line['trace'][-1].endswith(
        'fail_at_once' if task is None else ' fail'
    )


def test_cancelled_task_is_no_failure() -> None:
    async def scenario() -> None:
        task = start_job('map-pull', asyncio.sleep(9))
        await asyncio.sleep(0)
        task.cancel()

    assert not lines_of(scenario)


def test_line_of_a_long_error_is_short() -> None:
    def recurse(depth: int) -> None:
        if not depth:
            raise OddRowError('x' * 100_000)
        recurse(depth - 1)

    async def scenario() -> None:
        asyncio.get_running_loop().call_soon(recurse, 200)

    lines = lines_of(scenario)
    assert len(lines) == 1
    assert len(json.dumps(lines)) < 2_000
