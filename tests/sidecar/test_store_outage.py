"""Outages of the store for some processes and for all."""

import asyncio

from standins.shared_store import Outage
from tests.sidecar.harness import KEYED, Harness


def test_a_member_turned_away_keeps_its_lease_through_others() -> None:
    """The store turns one instance away and serves the others.

    Its lease is renewed through another process, so its keys stay where they
    are, and requests for them are served.
    """

    async def story() -> None:
        async with Harness(51) as rig:
            first = await rig.async_add(KEYED)
            await rig.async_add(KEYED)
            await rig.async_until_served()
            host = first.settings.ip
            rig.store.faults.outage_by_host[host] = Outage.BUSY
            registry = first.process.holds.registry
            before = registry.lease_until
            await rig.async_until(lambda: registry.lease_until > before + 5)
            reply = await rig.async_ask(first, '/cases/1', 'r1', 5)
            assert reply.status == 200

    asyncio.run(story())


def test_a_configuration_reaches_a_member_turned_away() -> None:
    """The store turns one instance away, and a new configuration comes.

    The instance learns from another process that there is one, and gets it
    from there.
    """

    async def story() -> None:
        async with Harness(52) as rig:
            first = await rig.async_add(KEYED)
            second = await rig.async_add(KEYED)
            await rig.async_until_served()
            host = first.settings.ip
            rig.store.faults.outage_by_host[host] = Outage.RESET
            rig.configure(2)
            for number in range(400):
                for place in (first, second):
                    await rig.async_ask(
                        place, '/cases/1', f'{number}', number * 160
                    )
                if first.process.config_version == 2:
                    break
            assert first.process.config_version == 2

    asyncio.run(story())
