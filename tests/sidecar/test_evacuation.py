"""Evacuation of a zone, and its return to service."""

import asyncio

from plantaingrade.admission.rate_limit import RateLimit
from tests.sidecar.harness import KEYED, PLAIN, Harness

ROW = 'evacuate/b'
KEYS = range(0, 65_536, 4_096)


async def async_ask_all(harness: Harness, name: str) -> list[int]:
    """Return the statuses of requests for many keys and without keys."""
    statuses = []
    for node in harness.nodes[:1]:
        for key in KEYS:
            reply = await harness.async_ask(
                node, '/cases/1', f'{name}-{key}', key
            )
            statuses.append(reply.status)
            reply = await harness.async_ask(
                node, '/letters/1', f'{name}-l{key}', key
            )
            statuses.append(reply.status)
    return statuses


def ran_in(harness: Harness, zone: str) -> int:
    """Return how many requests the servers of a zone have run."""
    instances = {
        server.incarnation.instance
        for server in harness.record.servers
        if server.plan.zone == zone
    }
    return sum(run.instance in instances for run in harness.record.runs)


def run_scenario(net: int, scenario, evacuate_s: float = 1.0) -> None:
    async def run() -> None:
        async with Harness(net) as harness:
            harness.evacuate_s = evacuate_s
            for zone in 'ab':
                await harness.async_add(KEYED, zone=zone)
                await harness.async_add(PLAIN, zone=zone)
            await harness.async_until_served()
            await scenario(harness)
            assert not harness.record.two_owners

    asyncio.run(run())


def test_evacuated_zone_gets_no_work_and_no_request_fails() -> None:
    """An operator requests an evacuation before a zone loses power.

    If its servers kept serving, requests would be lost with the power. The keys
    must be transferred first, and requests without keys routed elsewhere.
    """

    async def scenario(harness: Harness) -> None:
        assert set(await async_ask_all(harness, 'before')) == {200}
        assert ran_in(harness, 'b')
        harness.store.rows.put('op', ROW, b'{}')
        away = [node for node in harness.nodes if node.settings.zone == 'b']
        await harness.async_until(
            lambda: all(node.process._server_path.is_evacuated for node in away)
        )
        ran = ran_in(harness, 'b')
        assert set(await async_ask_all(harness, 'during')) == {200}
        assert ran_in(harness, 'b') == ran
        harness.store.rows.delete('op', ROW)
        await harness.async_until(
            lambda: (
                not any(node.process._server_path.is_drained for node in away)
            )
        )
        assert set(await async_ask_all(harness, 'after')) == {200}

    run_scenario(97, scenario)


def test_process_started_during_an_evacuation_serves_nothing() -> None:
    """A restarted process does not know when the evacuation began."""

    async def scenario(harness: Harness) -> None:
        harness.store.rows.put('op', ROW, b'{}')
        node = harness.nodes[-1]
        await harness.async_kill(node)
        await harness.async_start(node)
        await harness.async_until(lambda: node.process.is_ready)
        await asyncio.sleep(0)
        assert node.process._server_path.is_evacuated

    run_scenario(98, scenario, evacuate_s=60.0)


def test_second_evacuation_does_not_delay_the_first() -> None:
    """Another zone is evacuated meanwhile; the first deadline stays."""

    async def scenario(harness: Harness) -> None:
        harness.store.rows.put('op', ROW, b'{}')
        away = harness.nodes[-1].process
        await harness.async_until(lambda: away._server_path.is_drained)
        closing = away._server_evacuation._close_timer
        harness.store.rows.put('op', 'evacuate/c', b'{}')
        await harness.async_until(lambda: 'c' in away._evacuations.zones)
        assert away._server_evacuation._close_timer is closing

    run_scenario(99, scenario, evacuate_s=60.0)


def test_servers_are_cold_after_an_evacuation() -> None:
    """Servers have lost their in-memory state by the end of an evacuation.

    They must not get their full share before a heartbeat reports that.
    """

    async def scenario(harness: Harness) -> None:
        node = harness.nodes[-1]
        cold = node.process._limits.cold
        cold.apply_limit(RateLimit(1.0, 0.0))
        harness.store.rows.put('op', ROW, b'{}')
        path = node.process._server_path
        await harness.async_until(lambda: path.is_evacuated)
        node.server.cold.start(60.0)
        harness.store.rows.delete('op', ROW)
        await harness.async_until(lambda: not path.is_evacuated)
        assert cold.is_limited(harness.clock.now())

    run_scenario(100, scenario)
