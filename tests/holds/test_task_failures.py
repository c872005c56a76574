"""Which server holds which keys, while tasks of a member fail."""

import asyncio
import os
import random

import pytest

from plantaingrade.eventlog import EventLog
from plantaingrade.holds import rows
from plantaingrade.holds.const import LEASE_S
from plantaingrade.holds.granter import Granter
from plantaingrade.keyspace.entity import KEY_COUNT, KeyRange
from plantaingrade.peers import service_rows
from tests.holds.fakes import (
    RAISED_FAULTS,
    FakeCluster,
    FakeMember,
    Fault,
    ThrownError,
)
from tests.holds.test_coordinator import (
    NAMES,
    clear_faults,
    inject_fault,
    wait_until_settled,
    watch,
)
from tests.virtual import LoopClock, run

KINDS = 11
CASES = 40


def run_cluster(scenario) -> list[BaseException]:
    """Run a scenario with a settled cluster; return the reported failures."""
    failures: list[BaseException] = []

    async def run_scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context['exception'])
        )
        cluster = FakeCluster()
        members = [cluster.add(name) for name in NAMES]
        await wait_until_settled(cluster)
        await scenario(cluster, members)
        await cluster.async_stop()

    run(run_scenario())
    return failures


async def async_move(member: FakeMember, target: str) -> None:
    """Give a range away; the transfer may raise."""
    given = member.maps.find('cases').owned_by(member.name)[0].keys
    try:
        await member.holds.async_transfer([given], target)
    except ThrownError:
        return


@pytest.mark.parametrize('fault', RAISED_FAULTS)
def test_transfer_that_fails_while_it_may_be_applied_gives_nothing_twice(
    fault,
) -> None:
    """Guards against two owners after an exception in a transfer."""

    async def scenario(cluster, members) -> None:
        members[0].store.late_s = 1.5
        members[0].store.faults.append(fault)
        await async_move(members[0], 'm2')
        for _ in range(40):
            await watch(cluster, 0.1)
            await members[1].holds.registry.async_read()
        await watch(cluster, 6.0)
        assert cluster.held_keys() == KEY_COUNT

    failures = run_cluster(scenario)
    assert {type(each) for each in failures} == {ThrownError}


@pytest.mark.parametrize('seed', range(12))
def test_failures_of_tasks_among_other_faults_never_give_a_key_twice(
    seed,
) -> None:
    """Guards against two owners, and keys without one, after exceptions."""

    async def scenario(cluster, members) -> None:
        rng = random.Random(seed)
        for _ in range(CASES):
            member = rng.choice(cluster.members)
            member.store.late_s = rng.uniform(0.2, 4.0)
            if rng.choice((True, False)):
                member.store.faults.append(rng.choice(RAISED_FAULTS))
            inject_fault(cluster, rng, kinds=KINDS)
            await watch(cluster, rng.uniform(0.1, 2.0))
            assert not cluster.stale_fence_grants()
        clear_faults(cluster)
        await watch(cluster, LEASE_S + 20)
        assert not cluster.stale_fence_grants()
        assert cluster.held_keys() == KEY_COUNT

    run_cluster(scenario)


def test_member_whose_grants_keep_failing_lets_others_have_its_keys(
    monkeypatch,
) -> None:
    """Guards against keys that stay with a member which can't grant them."""

    async def scenario(cluster, members) -> None:
        failing = members[0].holds.granter
        start = Granter.start_grants

        def fail_at_one(granter: Granter) -> None:
            if granter is failing:
                raise ThrownError
            start(granter)

        monkeypatch.setattr(Granter, 'start_grants', fail_at_one)
        await watch(cluster, LEASE_S + 10)
        assert cluster.held_keys() == KEY_COUNT
        assert not members[1].maps.find('cases').owned_by('m1')
        monkeypatch.undo()
        await watch(cluster, 10)
        assert members[0].holds.registry.is_joined
        assert not members[0].holds.supervisor.failing_names

    assert run_cluster(scenario)


@pytest.mark.parametrize('reader', (rows, service_rows))
def test_row_at_which_the_program_fails_does_not_hide_the_others(
    monkeypatch, reader
) -> None:
    """Guards against one odd row that stops all members at once."""
    decode = reader.decode_member_row

    def fail_at_odd(name: str, *args):
        if name == 'm2':
            raise ThrownError
        return decode(name, *args)

    events: list[str] = []

    async def scenario(cluster, members) -> None:
        monkeypatch.setattr(reader, 'decode_member_row', fail_at_odd)
        log = EventLog('t', LoopClock(), os.open(os.devnull, os.O_WRONLY))
        for each in (log, cluster._log):
            each.set_event_callback(events.append)
        met = []
        readers = service_rows.ServiceRows(
            members[0].holds.registry.member,
            members[0].store,
            members[0].maps,
            lambda: ['cases'],
            lambda member: met.append(member.name),
            lambda desired: None,
            log,
        )
        assert await readers.async_read()
        assert 'm3' in met
        await watch(cluster, LEASE_S + 10)
        assert cluster.held_keys() == KEY_COUNT

    run_cluster(scenario)
    assert 'task-failed' in events


def test_grants_that_are_cancelled_before_they_begin_are_sent_again() -> None:
    """Guards against keys that are never granted after holds start again."""

    async def scenario(cluster, members) -> None:
        granter = members[0].holds.granter
        granter.ledger.forget(KeyRange(0, KEY_COUNT - 1))
        granter.start_grants()
        await granter.async_stop()
        await watch(cluster, 6.0)
        assert cluster.held_keys() == KEY_COUNT

    assert not run_cluster(scenario)


@pytest.mark.parametrize('fault', (Fault.LATE, Fault.LOST))
@pytest.mark.parametrize('delay_s', (0.02, 0.3, 0.9))
def test_transfer_that_is_cancelled_as_holds_start_again_gives_nothing_twice(
    fault, delay_s
) -> None:
    """Guards against two owners after a failure of what holds all tasks."""

    async def scenario(cluster, members) -> None:
        member = members[0]
        given = member.maps.find('cases').owned_by('m1')[0].keys
        member.store.late_s = 1.5
        member.store.faults.append(fault)
        cluster.move(member, given, 'm2')
        await asyncio.sleep(delay_s)
        member.task.cancel()
        await asyncio.gather(member.task, return_exceptions=True)
        loop = asyncio.get_running_loop()
        member.task = loop.create_task(member.holds.async_run())
        for _ in range(40):
            await watch(cluster, 0.1)
            await members[1].holds.registry.async_read()
        await watch(cluster, 6.0)
        assert cluster.held_keys() == KEY_COUNT

    run_cluster(scenario)
