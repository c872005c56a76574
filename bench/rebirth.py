"""Keys unserved after servers start again, and what the new fences cost.

Members, their grants and the store's transactions are the product's; store and
servers are the stand-ins in memory of ``tests/holds``, on virtual time, so the
figures are the same in every run. Nobody is told of a restart: no heartbeat, no
closed connection. What tells of it in practice only shortens the gap.
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
SETTLED_S = 10.0
PAUSE_S = 3.0
LOOK_S = 0.01
GIVEN_UP_S = 30.0


@dataclass(slots=True)
class Rebirths:
    """Gaps until all keys are held again, in seconds, and costs a life."""

    median_s: float
    worst_s: float
    transactions: float
    grants: float


def crash(place: FakeMember) -> None:
    """End a server's life."""
    place.server.is_up = False
    place.server.holds.clear()


def start(world: FakeCluster, place: FakeMember) -> None:
    """Begin its next life."""
    place.server = world.add_server()
    place.orders.server = place.server


async def async_gap(world: FakeCluster, places: list[FakeMember]) -> float:
    """Restart servers; return how long keys are then unheld."""
    for place in places:
        crash(place)
    await asyncio.sleep(random.uniform(*DOWN_S))
    for place in places:
        start(world, place)
    loop = asyncio.get_running_loop()
    began = loop.time()
    while world.held_keys() < KEY_COUNT and loop.time() < began + GIVEN_UP_S:
        await asyncio.sleep(LOOK_S)
    return loop.time() - began


async def async_measure(at_once: int) -> Rebirths:
    """Restart some servers at once, several times."""
    random.seed(1)
    world = FakeCluster(1)
    for number in range(MEMBERS):
        world.add(f'm{number}')
    await asyncio.sleep(SETTLED_S)
    gaps = []
    transactions = 0
    grants = 0
    for _ in range(RESTARTS):
        await asyncio.sleep(PAUSE_S + random.random())
        places = random.sample(world.members, at_once)
        version = world.members[0].maps.find('cases').fence
        gaps.append(await async_gap(world, places))
        await asyncio.sleep(PAUSE_S)
        transactions += world.members[0].maps.find('cases').fence - version
        grants += sum(len(place.server.fences) for place in places)
    await world.async_stop()
    runs = RESTARTS * at_once
    return Rebirths(
        round(median(gaps), 3),
        round(max(gaps), 3),
        round(transactions / runs, 2),
        round(grants / runs, 2),
    )


def main() -> None:
    """Measure one restart, and that of half of all servers."""
    for at_once in (1, MEMBERS // 2):
        found = run(async_measure(at_once))
        print(json.dumps({'at_once': at_once, **asdict(found)}))


if __name__ == '__main__':
    main()
