"""Outages of the store for some of the processes."""

import asyncio

from standins.shared_store import Outage
from tests.sidecar.harness import KEYED, Harness


def test_lease_is_renewed_through_a_peer() -> None:
    """The store refuses one instance and serves the others.

    The lease is renewed through another process, so the keys keep their owner,
    and requests for them are served.
    """

    async def scenario() -> None:
        async with Harness(51) as harness:
            first = await harness.async_add(KEYED)
            await harness.async_add(KEYED)
            await harness.async_until_served()
            host = first.settings.ip
            harness.store.faults.outage_by_host[host] = Outage.BUSY
            registry = first.process.holds.registry
            before = registry.lease_until
            await harness.async_until(lambda: registry.lease_until > before + 5)
            reply = await harness.async_ask(first, '/cases/1', 'r1', 5)
            assert reply.status == 200

    asyncio.run(scenario())


def test_configuration_is_received_from_a_peer() -> None:
    """The store refuses one instance, and the configuration changes.

    The instance learns of the new version from another process and receives it
    from there.
    """

    async def scenario() -> None:
        async with Harness(52) as harness:
            first = await harness.async_add(KEYED)
            second = await harness.async_add(KEYED)
            await harness.async_until_served()
            host = first.settings.ip
            harness.store.faults.outage_by_host[host] = Outage.RESET
            harness.configure(2)
            for number in range(400):
                for node in (first, second):
                    await harness.async_ask(
                        node, '/cases/1', f'{number}', number * 160
                    )
                if first.process.config_version == 2:
                    break
            assert first.process.config_version == 2

    asyncio.run(scenario())
