"""Measure unserved keys after server restarts, and the cost of new fences.

Members, grants and store transactions run the production code. Store and
servers are the in-memory fakes of ``tests/holds`` on virtual time, so results
are the same in every run. Members get no notice of a restart, neither by a
heartbeat nor by a closed connection; in practice such notices shorten the gap.
"""

import asyncio
import json
import random
from dataclasses import asdict, dataclass
from statistics import median

from plantaingrade.keyspace.entity import KEY_COUNT
from tests.holds.fakes import FakeCluster, FakeMember
from tests.virtual import run

MEMBERS = 20
RESTARTS = 40
DOWN_S = (0.05, 0.3)
SETTLE_S = 10.0
PAUSE_S = 3.0
POLL_INTERVAL_S = 0.01
GAP_LIMIT_S = 30.0


@dataclass(slots=True)
class RestartCosts:
    """Gaps until all keys are held again, and the cost per incarnation."""

    median_s: float
    worst_s: float
    transactions: float
    grants: float


def crash(member: FakeMember) -> None:
    """End the current incarnation of a server."""
    member.server.is_up = False
    member.server.holds.clear()


def start(cluster: FakeCluster, member: FakeMember) -> None:
    """Start the next incarnation of a server."""
    member.server = cluster.add_server()
    member.orders.server = member.server


async def async_gap(cluster: FakeCluster, members: list[FakeMember]) -> float:
    """Restart servers; return the seconds until all keys are held again."""
    for member in members:
        crash(member)
    await asyncio.sleep(random.uniform(*DOWN_S))
    for member in members:
        start(cluster, member)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while (
        cluster.held_keys() < KEY_COUNT
        and loop.time() < started_at + GAP_LIMIT_S
    ):
        await asyncio.sleep(POLL_INTERVAL_S)
    return loop.time() - started_at


async def async_measure(at_once: int) -> RestartCosts:
    """Restart several servers at once, repeatedly."""
    random.seed(1)
    cluster = FakeCluster(1)
    for number in range(MEMBERS):
        cluster.add(f'm{number}')
    await asyncio.sleep(SETTLE_S)
    gaps = []
    transactions = 0
    grants = 0
    for _ in range(RESTARTS):
        await asyncio.sleep(PAUSE_S + random.random())
        members = random.sample(cluster.members, at_once)
        version = cluster.members[0].maps.find('cases').fence
        gaps.append(await async_gap(cluster, members))
        await asyncio.sleep(PAUSE_S)
        transactions += cluster.members[0].maps.find('cases').fence - version
        grants += sum(len(member.server.fences) for member in members)
    await cluster.async_stop()
    runs = RESTARTS * at_once
    return RestartCosts(
        round(median(gaps), 3),
        round(max(gaps), 3),
        round(transactions / runs, 2),
        round(grants / runs, 2),
    )


def main() -> None:
    """Measure restarts of one server, and of half of all servers."""
    for at_once in (1, MEMBERS // 2):
        found = run(async_measure(at_once))
        print(json.dumps({'at_once': at_once, **asdict(found)}))


if __name__ == '__main__':
    main()
