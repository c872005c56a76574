"""A zone is evacuated, and comes back."""

import asyncio

from plantaingrade.admission.cold import ColdLimit
from tests.sidecar.harness import KEYED, PLAIN, Harness

ROW = 'evacuate/b'
KEYS = range(0, 65_536, 4_096)


async def async_ask_all(rig: Harness, name: str) -> list[int]:
    """Return the statuses of requests for many keys and of some without."""
    statuses = []
    for place in rig.nodes[:1]:
        for key in KEYS:
            reply = await rig.async_ask(place, '/cases/1', f'{name}-{key}', key)
            statuses.append(reply.status)
            reply = await rig.async_ask(
                place, '/letters/1', f'{name}-l{key}', key
            )
            statuses.append(reply.status)
    return statuses


def ran_in(rig: Harness, zone: str) -> int:
    """Return how many requests the servers of a zone have run."""
    instances = {
        server.life.instance
        for server in rig.record.servers
        if server.plan.zone == zone
    }
    return sum(run.instance in instances for run in rig.record.runs)


def play(net: int, story, evacuate_s: float = 1.0) -> None:
    async def run() -> None:
        async with Harness(net) as rig:
            rig.evacuate_s = evacuate_s
            for zone in 'ab':
                await rig.async_add(KEYED, zone=zone)
                await rig.async_add(PLAIN, zone=zone)
            await rig.async_until_served()
            await story(rig)
            assert not rig.record.two_owners

    asyncio.run(run())


def test_an_evacuated_zone_gets_nothing_and_nobody_misses_it() -> None:
    """An operator asks for a zone to be evacuated before work on its power.

    Nothing knew of it: its servers went on serving, and requests were lost
    with the power. Keys pass on first, and requests without keys go elsewhere.
    """

    async def story(rig: Harness) -> None:
        assert set(await async_ask_all(rig, 'before')) == {200}
        assert ran_in(rig, 'b')
        rig.store.rows.put('op', ROW, b'{}')
        away = [place for place in rig.nodes if place.settings.zone == 'b']
        await rig.async_until(
            lambda: all(
                place.process._server_path.is_evacuated for place in away
            )
        )
        ran = ran_in(rig, 'b')
        assert set(await async_ask_all(rig, 'during')) == {200}
        assert ran_in(rig, 'b') == ran
        rig.store.rows.delete('op', ROW)
        await rig.async_until(
            lambda: (
                not any(place.process._server_path.is_drained for place in away)
            )
        )
        assert set(await async_ask_all(rig, 'after')) == {200}

    play(97, story)


def test_a_process_that_starts_within_an_evacuation_serves_nothing() -> None:
    """A process of the zone restarts meanwhile; it cannot know since when."""

    async def story(rig: Harness) -> None:
        rig.store.rows.put('op', ROW, b'{}')
        place = rig.nodes[-1]
        await rig.async_kill(place)
        await rig.async_start(place)
        await rig.async_until(lambda: place.process.is_ready)
        await asyncio.sleep(0)
        assert place.process._server_path.is_evacuated

    play(98, story, evacuate_s=60.0)


def test_a_second_zone_does_not_lengthen_the_first_evacuation() -> None:
    """Another zone is evacuated half-way; the first one's end stays."""

    async def story(rig: Harness) -> None:
        rig.store.rows.put('op', ROW, b'{}')
        away = rig.nodes[-1].process
        await rig.async_until(lambda: away._server_path.is_drained)
        closing = away._retreat._closing
        rig.store.rows.put('op', 'evacuate/c', b'{}')
        await rig.async_until(lambda: 'c' in away._evacuations.zones)
        assert away._retreat._closing is closing

    play(99, story, evacuate_s=60.0)


def test_a_zone_comes_back_cold() -> None:
    """Servers have lost their memory by the end of an evacuation.

    They would get their whole share before their next heartbeat says so.
    """

    async def story(rig: Harness) -> None:
        place = rig.nodes[-1]
        cold = place.process._gate.queue.cold
        cold.apply_limit(ColdLimit(1.0, 0.0))
        rig.store.rows.put('op', ROW, b'{}')
        path = place.process._server_path
        await rig.async_until(lambda: path.is_evacuated)
        place.server.cold.turn(60.0)
        rig.store.rows.delete('op', ROW)
        await rig.async_until(lambda: not path.is_evacuated)
        assert cold.is_limited(rig.clock.now())

    play(100, story)
