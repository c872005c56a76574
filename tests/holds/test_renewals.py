"""Grants are renewed once a second, however often the map changes.

Dozens of members move keys to each other. If each change of the map made every
member renew all its grants at once, ten changes a second would cause ten times
as many grants as needed.
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

    async def scenario() -> int:
        cluster = FakeCluster()
        for index in range(MEMBERS):
            cluster.add(f'm{index}')
        await asyncio.sleep(SETTLED_S)
        granted.clear()
        source, bystander = cluster.members[0], cluster.members[-1]
        for _ in range(CHANGES):
            own = source.maps.find('cases').owned_by('m0')[0].keys
            cluster.move(source, KeyRange(own.first, own.first), 'm1')
            await asyncio.sleep(PAUSE_S)
        await cluster.async_stop()
        return granted.count(bystander.server.instance)

    monkeypatch.setattr(FakeServer, 'grant', count)
    renewals = run(scenario())
    assert renewals <= CHANGES * PAUSE_S / GRANT_PERIOD_S + 2
