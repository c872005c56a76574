"""Each background task of a process fails in turn, and the promises hold."""

import asyncio
from contextlib import suppress
from itertools import count

import pytest

from plantaingrade.config.coordinator import ConfigFollower
from tests.sidecar.harness import HOST, KEYED, PLAIN, Harness, Node
from tests.sidecar.task_failures import (
    JobFailures,
    ThrownError,
    async_throw_into,
    running,
)

# Tasks of every process, and those of processes whose servers own keys.
TASKS = ('config', 'membership')
KEYED_TASKS = (
    'holds',
    'lease',
    'lease-extension',
    'grants',
    'fences',
    'takeovers',
    'map-hints',
    'balance',
)
SERVICES = (KEYED, KEYED, PLAIN)
PAUSE_S = 0.02
# Short tasks, which something starts again.
JOBS = (
    'Granter._async_grant',
    'Transfers._async_transfer',
    'KeyMover._async_run',
    'MapFollower._async_pull',
    'PeerCoordinator._async_look_up',
    'CommitBatches._async_flush',
    'Session._async_open_spare',
    'ServerWatch.async_identify',
)
FAILING_S = 4.0
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
# Answers that promise nothing about the run.
UNKNOWN_STATUSES = frozenset((502, 504))


class Callers:
    """Callers at all processes, until they are stopped."""

    def __init__(self, harness: Harness) -> None:
        self._harness = harness
        self.status_by_id: dict[str, int] = {}
        self.is_stopped = False

    async def async_run(self) -> None:
        for number in count():
            if self.is_stopped:
                return
            asks = [self._async_ask(node, number) for node in self.nodes()]
            await asyncio.gather(*asks)
            await asyncio.sleep(PAUSE_S)

    def nodes(self) -> list[Node]:
        return self._harness.nodes

    async def _async_ask(self, node: Node, number: int) -> None:
        name = f'{node.settings.ip}-{number}'
        key = number * 7919 % 65_536
        reply = await self._harness.async_ask(node, '/cases/1', name, key)
        self.status_by_id[name] = reply.status

    def check(self, *, may_be_unknown: bool = False) -> None:
        """Check that each answer is true, and that nothing ran twice."""
        runs_of = self._harness.record.count_runs
        for name, status in self.status_by_id.items():
            if may_be_unknown and status in UNKNOWN_STATUSES:
                assert runs_of(name) <= 1
                continue
            assert status in {STATUS_OK, STATUS_UNAVAILABLE}
            assert runs_of(name) == (status == STATUS_OK)


async def async_check_following(harness: Harness, version: int) -> None:
    """Check that all processes are ready, follow changes and serve all keys."""
    harness.configure(
        version,
        added={
            'host': HOST,
            'prefix': f'/added{version}/',
            'type': 'safe',
            'timeout': '2000ms',
            'targetLatency': '300ms',
            'priority': 1,
            'service': PLAIN,
            'maxAttempts': 2,
        },
    )
    await harness.async_until(
        lambda: all(
            node.process.config_version == version for node in harness.nodes
        )
    )
    await harness.async_until_served()
    for node in harness.nodes:
        for key in (0, 40_000):
            name = f'{version}-{node.settings.ip}-{key}'
            path = f'/added{version}/1'
            assert (
                await harness.async_ask(node, path, f'{name}-a', key)
            ).status == STATUS_OK


async def async_fail(
    harness: Harness, name: str, *, is_everywhere: bool
) -> None:
    """Fail a task, in one process or all, until it runs again."""
    tasks = running(name)
    assert tasks, name
    failing = tasks if is_everywhere else tasks[:1]
    await async_throw_into(failing)
    await harness.async_take_failures(ThrownError, len(failing))
    await harness.async_until(lambda: len(running(name)) >= len(tasks))


@pytest.mark.parametrize('is_everywhere', [False, True])
def test_process_follows_on_after_each_of_its_tasks_has_failed(
    is_everywhere,
) -> None:
    """Guards against a ready process that has stopped following something."""

    async def scenario() -> None:
        async with Harness(151 + is_everywhere) as harness:
            for service in SERVICES:
                await harness.async_add(service)
            await harness.async_until_served()
            callers = Callers(harness)
            load = asyncio.create_task(callers.async_run())
            leases = [
                node.process.holds.registry
                for node in harness.nodes
                if node.settings.service == KEYED
            ]
            for version, name in enumerate(TASKS + KEYED_TASKS, start=2):
                await async_fail(harness, name, is_everywhere=is_everywhere)
                await async_check_following(harness, version)
            until = [lease.lease_until for lease in leases]
            await harness.async_until(
                lambda: all(
                    lease.lease_until > before
                    for lease, before in zip(leases, until, strict=True)
                )
            )
            callers.is_stopped = True
            await load
            callers.check()
            assert not harness.record.two_owners

    asyncio.run(scenario())


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_while_short_tasks_fail(seed) -> None:
    """Guards against two owners and false answers after exceptions."""

    async def scenario() -> None:
        jobs = JobFailures(JOBS, seed)
        asyncio.get_running_loop().set_task_factory(jobs.make_task)
        async with Harness(154 + seed) as harness:
            for service in SERVICES:
                await harness.async_add(service)
            await harness.async_until_served()
            callers = Callers(harness)
            load = asyncio.create_task(callers.async_run())
            jobs.is_active = True
            await async_move_keys(harness)
            jobs.is_active = False
            await async_check_following(harness, 2)
            callers.is_stopped = True
            await load
            assert jobs.failed_names[JOBS[0]]
            callers.check(may_be_unknown=True)
            assert not harness.record.two_owners
            await harness.async_take_failures(ThrownError, 1)

    asyncio.run(scenario())


async def async_move_keys(harness: Harness) -> None:
    """Move ranges back and forth between the two keyed members."""
    one, other = [node.process.holds for node in harness.nodes[:2]]
    ends = harness.clock.now() + FAILING_S
    while harness.clock.now() < ends:
        registry = one.registry
        owned = registry.key_map.owned_by(registry.member.name)
        target = other.registry.member.name
        with suppress(ThrownError):
            await one.async_transfer([each.keys for each in owned[:1]], target)
        await asyncio.sleep(PAUSE_S)
        one, other = other, one


def test_process_is_not_ready_while_a_task_fails_again_and_again(
    monkeypatch,
) -> None:
    """Guards against a ready process that has stopped following something."""

    async def scenario() -> None:
        async with Harness(153) as harness:
            for service in SERVICES:
                await harness.async_add(service)
            await harness.async_until_served()
            monkeypatch.setattr(ConfigFollower, '_async_read', _async_fail)
            await async_throw_into(running('config'))
            await harness.async_take_failures(ThrownError, 3 * len(SERVICES))
            assert not any(node.process.is_ready for node in harness.nodes)
            monkeypatch.undo()
            await async_check_following(harness, 2)

    asyncio.run(scenario())


async def _async_fail(_) -> None:
    raise ThrownError('thrown by the test')
