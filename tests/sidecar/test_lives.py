"""Servers that start again under their ids, and heartbeats of strangers."""

import asyncio
import json

from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import Pool
from standins.life import Life
from standins.shared_store import Outage
from tests.sidecar.harness import KEYED, PLAIN, Node, Harness

RESTART_S = 0.3
STEP_S = 0.02
AWAY_S = 3.5
STEPPED_BACK_MS = 4000
BACK_S = 2.0


async def async_report(
    rig: Harness, place: Node, instance: str, body: bytes
) -> Reply:
    """Send something to where a server sends its heartbeats."""
    pool = Pool(rig.clock)
    call = Call(
        'PUT',
        place.settings.listeners.reports,
        f'/v1/instances/{instance}',
        (),
        body,
    )
    try:
        return await fetch(pool, call)
    finally:
        pool.close()


async def async_restart(rig: Harness, place: Node, pause_s: float) -> None:
    """Crash a server and start it under its id, until its process knows."""
    await place.server.async_crash()
    await asyncio.sleep(pause_s)
    await rig.async_start_server(place, place.server.life.next_life())
    await rig.async_until(lambda: is_known(place))


def heartbeat(place: Node, **changes: object) -> bytes:
    fields = {
        'service': place.plan.service,
        'address': place.plan.address,
        'zone': place.plan.zone,
        'version': 'v1',
        'capacity': 4,
        'state': 'ready',
        'coldRemaining': '0ms',
        'sequence': 10_000,
        'born': place.server.life.born_ms,
    }
    return json.dumps({**fields, **changes}).encode()


def present(place: Node):
    return place.process._life.present


def is_known(place: Node) -> bool:
    return present(place).born_ms == place.server.life.born_ms


def fences(place: Node) -> set[int]:
    return {hold.fence for hold in place.server.holds}


def test_a_restart_under_the_id_gets_new_fences() -> None:
    """A server crashes and is back under its id between two renewals.

    Its new life holds nothing and counts its heartbeats anew. They were
    passed over for as long as the life before had sent some, so that it kept
    the id's old figures, and what it was granted depended on luck.
    """

    async def story() -> None:
        async with Harness(141) as rig:
            place = await rig.async_add(KEYED)
            await rig.async_add(KEYED)
            await rig.async_until_served()
            # Some heartbeats, so that the count of the next life is lower.
            await asyncio.sleep(2)
            for _ in range(2):
                before = fences(place)
                instance = place.server.instance
                await async_restart(rig, place, RESTART_S)
                await rig.async_until_served()
                assert present(place).instance == instance
                assert min(fences(place)) > max(before)
            assert not rig.record.two_owners

    asyncio.run(story())


def test_a_restart_after_leaving_is_used_again() -> None:
    """A server drains, ends, and starts again under the id that it had.

    The life that drained stays over; the new one takes work at once. Without
    its start it was taken for the one that drains, for good.
    """

    async def story() -> None:
        async with Harness(142) as rig:
            place = await rig.async_add(PLAIN)
            await rig.async_add(KEYED)
            await rig.async_until(lambda: place.process.is_ready)
            await asyncio.sleep(1)
            assert await place.server.async_drain()
            await place.server.async_crash()
            await asyncio.sleep(STEP_S)
            await rig.async_start_server(place, place.server.life.next_life())
            await rig.async_until(lambda: place.process._life.accepts_work)
            reply = await rig.async_ask(place, '/letters/1', 'after', 5)
            assert reply.status == 200

    asyncio.run(story())


def test_heartbeats_of_strangers_change_nothing() -> None:
    """Another writer sends heartbeats to the process of a server.

    Some name another service or address, some cannot be read. Each is
    refused and counted, and the server goes on as it was.
    """

    async def story() -> None:
        async with Harness(143) as rig:
            place = await rig.async_add(KEYED)
            await rig.async_until_served()
            life = present(place)
            bodies = (
                heartbeat(place, state='draining', service=PLAIN),
                heartbeat(place, state='draining', address='127.0.0.1:1'),
                heartbeat(place, state='draining', sequence='9'),
                heartbeat(place, state='draining', born='soon'),
                heartbeat(place, state='draining', capacity=True),
                heartbeat(place, state='gone'),
                b'\xff',
                b'[' * 50_000,
            )
            for body in bodies:
                reply = await async_report(
                    rig, place, place.server.instance, body
                )
                assert reply.status == 400
            reply = await async_report(rig, place, 'i%0d%0a', heartbeat(place))
            assert reply.status == 400
            assert present(place) == life
            assert place.process._life.accepts_work
            counted = place.process._figures.to_text().decode()
            line = next(
                line
                for line in counted.splitlines()
                if 'kind="report-rejected"' in line
            )
            assert float(line.split()[-1]) == len(bodies) + 1
            reply = await rig.async_ask(place, '/cases/1', 'r1', 9)
            assert reply.status == 200

    asyncio.run(story())


def test_a_heartbeat_of_the_life_before_arrives_late() -> None:
    """A cut held up a heartbeat in which the life before said that it drains.

    The server has crashed and is back under its id when it arrives.
    """

    async def story() -> None:
        async with Harness(144) as rig:
            place = await rig.async_add(KEYED)
            await rig.async_until_served()
            old = place.server
            late = heartbeat(place, state='draining')
            await async_restart(rig, place, STEP_S)
            reply = await async_report(rig, place, old.instance, late)
            assert reply.status == 200
            assert place.process._life.accepts_work
            await rig.async_until_served()

    asyncio.run(story())


def test_a_process_that_stops_takes_no_keys_for_a_new_life() -> None:
    """A process is told to stop, and its server starts again meanwhile.

    The new life made the process take keys again: others gave it some, which
    nobody served once it had ended.
    """

    async def story() -> None:
        async with Harness(145) as rig:
            place = await rig.async_add(KEYED)
            await rig.async_add(KEYED)
            await rig.async_until_served()
            leaving = asyncio.create_task(place.process.async_leave())
            await asyncio.sleep(STEP_S)
            await async_restart(rig, place, STEP_S)
            assert not place.process.holds.registry.accepts_keys
            await leaving
            assert not place.process.holds.owns_keys

    asyncio.run(story())


def test_no_connection_outlasts_the_life_that_it_reached() -> None:
    """A machine loses power and is back; its server starts under its id.

    The connections that were kept look whole, as nobody closed them. Work
    that must not run twice went out on one and was lost: its caller could not
    be told that it had not run.
    """

    async def story() -> None:
        async with Harness(146) as rig:
            place = await rig.async_add(PLAIN)
            await rig.async_add(KEYED)
            await rig.async_until(lambda: place.process.is_ready)
            await rig.async_until(lambda: is_known(place))
            await rig.async_ask(place, '/letters/1', 'before', 5)
            idle = place.process._pools.server._idle_by_address
            assert idle[place.plan.address]
            life = place.server.life.next_life()
            body = heartbeat(place, born=life.born_ms, sequence=1)
            await async_report(rig, place, life.instance, body)
            assert present(place).born_ms == life.born_ms
            assert not idle[place.plan.address]

    asyncio.run(story())


def test_a_restart_while_the_store_is_away_waits_for_new_fences() -> None:
    """The store answers nobody, and a server starts again under its id.

    Its keys can have no new fences until the store is back. Meanwhile they
    are refused rather than granted under the fences of the life before.
    """

    async def story() -> None:
        async with Harness(148) as rig:
            place = await rig.async_add(KEYED)
            await rig.async_add(KEYED)
            await rig.async_until_served()
            await rig.async_until(lambda: is_known(place))
            rig.store.faults.outage = Outage.SILENT
            await async_restart(rig, place, STEP_S)
            await asyncio.sleep(AWAY_S)
            assert not place.server.holds
            rig.store.faults.outage = Outage.NONE
            await rig.async_until_served()
            assert not rig.record.two_owners
            assert not rig.record.old_fences()

    asyncio.run(story())


def test_an_id_that_moves_to_another_address_takes_nothing_along() -> None:
    """A server is back under its id at the address of another instance.

    There it holds the keys of that instance; its own are given new owners or
    wait for a server where it was.
    """

    async def story() -> None:
        async with Harness(149) as rig:
            first = await rig.async_add(KEYED)
            second = await rig.async_add(KEYED)
            await rig.async_until_served()
            moved = first.server.life.next_life()
            await first.server.async_crash()
            await second.server.async_crash()
            await rig.async_start_server(second, moved)
            await rig.async_until(lambda: is_known(second))
            body = heartbeat(second)
            reply = await async_report(rig, first, moved.instance, body)
            assert reply.status == 400
            await rig.async_start_server(first)
            await rig.async_until_served()
            assert not rig.record.two_owners
            assert not rig.record.old_fences()

    asyncio.run(story())


def test_a_server_whose_clock_stepped_back_is_used_within_two_seconds() -> None:
    """A server drains, its clock steps back by seconds, and it starts again
    under its id. Its start seems to lie before that of the life that drained.

    Taken for that life, or for one before it, it would get no work for good.
    """

    async def story() -> None:
        async with Harness(150) as rig:
            place = await rig.async_add(PLAIN)
            await rig.async_add(KEYED)
            await rig.async_until(lambda: place.process.is_ready)
            await rig.async_until(lambda: is_known(place))
            assert await place.server.async_drain()
            before = place.server.life
            await place.server.async_crash()
            born = before.born_ms - STEPPED_BACK_MS
            began = rig.clock.now()
            await rig.async_start_server(place, Life(before.instance, born))
            await rig.async_until(lambda: is_known(place))
            assert rig.clock.now() - began < BACK_S
            assert place.process._life.accepts_work
            reply = await rig.async_ask(place, '/letters/1', 'after', 5)
            assert reply.status == 200

    asyncio.run(story())
