"""Grants are renewed once a second, however often the map changes.

Dozens of members move keys to each other. Each change of the map made every
member send a grant for each of its ranges at once: with ten changes a second,
ten times as many as are needed.
"""

import asyncio

from plantaingrade.holds.const import GRANT_PERIOD_S
from plantaingrade.keyspace.entity import KeyRange
from tests.holds.fakes import FakeCluster, FakeServer
from tests.virtual import run

MEMBERS = 4
SETTLED_S = 6.0
CHANGES = 50
PAUSE_S = 0.1


def test_changes_of_others_keys_renew_no_grants(monkeypatch) -> None:
    granted: list[str] = []
    grant = FakeServer.grant

    def count(server: FakeServer, order, arrived: float):  # noqa: WPS430
        granted.append(server.instance)
        return grant(server, order, arrived)

    async def story() -> int:
        world = FakeCluster()
        for place in range(MEMBERS):
            world.add(f'm{place}')
        await asyncio.sleep(SETTLED_S)
        granted.clear()
        source, bystander = world.members[0], world.members[-1]
        for _ in range(CHANGES):
            own = source.maps.find('cases').owned_by('m0')[0].keys
            world.move(source, KeyRange(own.first, own.first), 'm1')
            await asyncio.sleep(PAUSE_S)
        await world.async_stop()
        return granted.count(bystander.server.instance)

    monkeypatch.setattr(FakeServer, 'grant', count)
    renewals = run(story())
    assert renewals <= CHANGES * PAUSE_S / GRANT_PERIOD_S + 2
