"""Tests of the search for unhandled exceptions."""

import asyncio
import gc
import os
import subprocess
import sys

import pytest
from click.testing import CliRunner

from plantaingrade.eventlog import EventLog
from plantaingrade.supervision.failures import FailureLog
from tests.virtual import LoopClock, run
from tools.unhandled import find_unhandled, main

PROGRAMS = (
    'raise ValueError',
    'import asyncio\nasync def f(): 1 / 0\n'
    'async def g():\n asyncio.create_task(f())\n await asyncio.sleep(0.01)\n'
    'asyncio.run(g())',
    'import asyncio\nasync def g():\n'
    ' asyncio.get_running_loop().call_soon(lambda: 1 / 0)\n'
    ' await asyncio.sleep(0.01)\nasyncio.run(g())',
    'class A:\n def __del__(self): 1 / 0\nA()',
)


@pytest.mark.parametrize('program', PROGRAMS)
def test_exceptions_that_the_interpreter_prints_are_found(program) -> None:
    """Guards against a run that passes beside a process that has failed."""
    done = subprocess.run(
        [sys.executable, '-c', program], capture_output=True, check=False
    )
    assert find_unhandled(done.stderr.decode().splitlines())


def test_events_of_failed_tasks_are_found_and_others_are_not(tmp_path) -> None:
    """Guards against a run that passes beside a failed task."""
    path = tmp_path / 'router.log'

    async def scenario() -> None:
        log = EventLog('n', LoopClock(), os.open(path, os.O_CREAT | os.O_RDWR))
        FailureLog(log).install()
        log.write('request', why='no Traceback here')
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_soon(gc.collect, 'no generation')
        await asyncio.sleep(0.1)

    run(scenario())
    assert len(find_unhandled(path.read_text().splitlines())) == 1
    outcome = CliRunner().invoke(main, [str(path)])
    assert outcome.exit_code == 1
    assert 'task-failed' in outcome.output
