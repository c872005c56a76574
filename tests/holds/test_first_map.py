"""Members that start together create one map, and take turns to scan."""

import asyncio

from plantaingrade.holds.const import BOOTSTRAP_WAIT_S, SCAN_PERIOD_S
from tests.holds.fakes import FakeCluster
from tests.virtual import run

MEMBERS = 40
# Members that may try to create the map before the first one's has arrived.
MAX_ATTEMPTS = 10
# All power is lost and returns: keys are served again within this time.
RECOVERY_S = 15.0


def start_members(cluster: FakeCluster) -> None:
    for index in range(MEMBERS):
        cluster.add(f'm{index}')


def count_reads(cluster: FakeCluster) -> int:
    return sum(member.store.reads for member in cluster.members)


def test_few_members_try_to_create_the_first_map() -> None:
    """Otherwise all of them read the rows and all but one get a conflict."""

    async def scenario() -> int:
        cluster = FakeCluster()
        start_members(cluster)
        await asyncio.sleep(BOOTSTRAP_WAIT_S)
        before = count_reads(cluster)
        await asyncio.sleep(SCAN_PERIOD_S)
        assert cluster.held_keys()
        attempts = count_reads(cluster) - before
        await cluster.async_stop()
        return attempts

    assert run(scenario()) <= MAX_ATTEMPTS


def test_lost_member_is_taken_over_when_all_others_restart() -> None:
    """Members that restart together still scan each second in total."""

    async def scenario() -> None:
        cluster = FakeCluster()
        start_members(cluster)
        await asyncio.sleep(BOOTSTRAP_WAIT_S + SCAN_PERIOD_S)
        all_keys = cluster.held_keys()
        for member in list(cluster.members):
            cluster.kill(member)
        lost = cluster.members.pop()
        lost.server.is_up = False
        for member in list(cluster.members):
            cluster.restart(member)
        await asyncio.sleep(RECOVERY_S)
        assert cluster.held_keys() == all_keys
        await cluster.async_stop()

    run(scenario())
