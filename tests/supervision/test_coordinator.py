"""Tests of the supervisor of background tasks, in virtual time."""

import asyncio

import pytest

from plantaingrade.supervision.const import MAX_PAUSE_S, PROVEN_S
from plantaingrade.supervision.coordinator import Supervisor
from tests.virtual import run

# Time in seconds within which a change must be active.
APPLY_S = 2.0


class OddRowError(Exception):
    """Failure that no task expects."""


class Work:
    """Work of a task that fails at times set by the test."""

    def __init__(self, fails_after_s: float = 0.0) -> None:
        self.starts = 0
        self.is_poisoned = False
        self.is_running = False
        self._fails_after_s = fails_after_s
        self._fails = asyncio.Event()

    async def async_run(self) -> None:
        self.starts += 1
        self.is_running = True
        try:
            if self.is_poisoned:
                await asyncio.sleep(self._fails_after_s)
                raise OddRowError
            await self._fails.wait()
            self._fails.clear()
            raise OddRowError
        finally:
            self.is_running = False

    def fail(self) -> None:
        self._fails.set()


def supervise(scenario, work: Work) -> list[dict]:
    """Run a scenario with one supervised task; return reported failures."""
    failures: list[dict] = []

    async def run_scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context)
        )
        async with Supervisor('p1') as supervisor:
            supervisor.start('config', work.async_run)
            await asyncio.sleep(0.01)
            await scenario(supervisor)
        assert not work.is_running

    run(run_scenario())
    return failures


def test_task_that_fails_once_runs_again_in_time() -> None:
    """Guards against a process that follows nothing after one exception."""
    work = Work()

    async def scenario(supervisor: Supervisor) -> None:
        assert not supervisor.failing_names
        work.fail()
        await asyncio.sleep(APPLY_S / 2)
        assert work.is_running
        await asyncio.sleep(PROVEN_S)
        assert not supervisor.failing_names

    failures = supervise(scenario, work)
    assert [each['task_name'] for each in failures] == ['config']
    assert work.starts == 2


@pytest.mark.parametrize('fails_after_s', [0.0, 0.3, 0.7])
def test_task_that_fails_on_and_on_is_failing_at_any_time(
    fails_after_s,
) -> None:
    """Guards against a ready process whose task only starts and fails."""
    work = Work(fails_after_s)

    async def scenario(supervisor: Supervisor) -> None:
        work.is_poisoned = True
        work.fail()
        await asyncio.sleep(0.01)
        for _ in range(600):
            await asyncio.sleep(0.1)
            assert supervisor.failing_names == ['config']
        assert supervisor.failing_s(frozenset(('config',))) > 59
        assert supervisor.failing_s(frozenset(('lease',))) == 0
        work.is_poisoned = False
        await asyncio.sleep(MAX_PAUSE_S + PROVEN_S + fails_after_s)
        assert not supervisor.failing_names
        assert supervisor.failing_s(frozenset(('config',))) == 0

    supervise(scenario, work)


def test_poisoned_input_costs_few_starts() -> None:
    """Guards against processes that start again without end at an odd row."""
    work = Work()

    async def scenario(supervisor: Supervisor) -> None:
        work.is_poisoned = True
        work.fail()
        await asyncio.sleep(60)

    failures = supervise(scenario, work)
    assert work.starts == len(failures)
    assert 60 / MAX_PAUSE_S < len(failures) < 4 * 60 / MAX_PAUSE_S


def test_processes_that_fail_together_start_again_apart() -> None:
    """Guards against calls of all processes at one moment."""
    pauses = set()

    async def scenario(seed: str) -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: pauses.add(context['retry_s'])
        )
        async with Supervisor(seed) as supervisor:
            work = Work()
            work.is_poisoned = True
            supervisor.start('config', work.async_run)
            await asyncio.sleep(0.01)

    for number in range(20):
        run(scenario(f'p{number}'))
    assert len(pauses) > 4


def test_task_whose_await_is_cancelled_by_others_runs_again() -> None:
    """Guards against a task that ends as if it had been cancelled itself."""
    failures: list[BaseException] = []
    starts: list[asyncio.Future[None]] = []

    async def async_work() -> None:
        starts.append(asyncio.get_running_loop().create_future())
        await starts[-1]

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context['exception'])
        )
        async with Supervisor('p1') as supervisor:
            task = supervisor.start('balance', async_work)
            await asyncio.sleep(0.01)
            starts[0].cancel()
            await asyncio.sleep(1)
            assert len(starts) == 2
            task.cancel()
            await asyncio.sleep(1)
            assert task.cancelled()
        assert len(starts) == 2

    run(scenario())
    assert [type(each) for each in failures] == [asyncio.CancelledError]


def test_task_that_fails_while_it_is_cancelled_is_not_started_again() -> None:
    """Guards against a process that can't end."""
    starts: list[int] = []
    failures: list[BaseException] = []

    async def async_work() -> None:
        starts.append(1)
        try:
            await asyncio.sleep(9)
        finally:
            raise OddRowError

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context['exception'])
        )
        async with asyncio.timeout(5):
            async with Supervisor('p1') as supervisor:
                supervisor.start('balance', async_work)
                await asyncio.sleep(0.01)

    run(scenario())
    assert starts == [1]
    assert [type(each) for each in failures] == [OddRowError]


def test_work_that_returns_is_not_started_again() -> None:
    async def scenario() -> None:
        done = []

        async def async_work() -> None:
            done.append(1)

        async with Supervisor('p1') as supervisor:
            await supervisor.start('introduction', async_work)
            await asyncio.sleep(10)
            assert not supervisor.failing_names
        assert done == [1]

    run(scenario())


def test_tasks_end_with_their_supervisor_also_while_they_pause() -> None:
    """Guards against a task that outlives its process in a pause."""
    work = Work()

    async def scenario(supervisor: Supervisor) -> None:
        work.is_poisoned = True
        work.fail()
        await asyncio.sleep(7)

    supervise(scenario, work)
