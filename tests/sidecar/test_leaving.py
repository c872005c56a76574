"""Planned stops of processes and servers."""

import asyncio

from standins.shared_store import Outage
from tests.sidecar.harness import KEYED, PLAIN, WAIT_LIMIT_S, Harness


def test_a_stop_hands_keys_over_and_loses_nothing() -> None:
    """A process is told to stop while callers keep asking for its keys.

    Its keys pass to the other process, and every caller is answered.
    """

    async def story() -> None:
        async with Harness(41) as rig:
            first = await rig.async_add(KEYED)
            second = await rig.async_add(KEYED)
            await rig.async_until_served()
            leaving = asyncio.create_task(first.process.async_leave())
            statuses = []
            for number in range(60):
                reply = await rig.async_ask(
                    second, '/cases/1', f'r{number}', number * 1000
                )
                statuses.append(reply.status)
            await leaving
            await rig.async_kill(first)
            await rig.async_until_served()
            assert set(statuses) == {200}
            assert len(rig.record.runs) == 60
            assert not rig.record.two_owners

    asyncio.run(story())


def test_a_stop_ends_while_the_store_answers_nobody() -> None:
    """The store falls silent, then a process is told to stop.

    Its keys cannot be handed over. It must refuse new work in time all the
    same, or the platform ends it in the middle of requests, and callers get
    closed connections.
    """

    async def story() -> None:
        async with Harness(42) as rig:
            place = await rig.async_add(KEYED)
            await rig.async_until_served()
            rig.store.faults.outage = Outage.SILENT
            # Another change waits for the store and ends only with it.
            # A renewal that is under way may hold the lock just so; then it
            # never comes free, and waiting for it here would never end.
            writing = place.process.holds.registry._writing
            change = asyncio.create_task(writing.acquire())
            await rig.async_until(writing.locked)
            leaving = asyncio.create_task(place.process.async_leave())
            async with asyncio.timeout(WAIT_LIMIT_S):
                while not leaving.done():
                    reply = await rig.async_ask(place, '/cases/1', 'r', 5)
                    await asyncio.sleep(0.05)
            change.cancel()
            assert reply.status == 503
            assert b'retry-after' in reply.headers

    asyncio.run(story())


def test_a_stop_leaves_no_row_of_a_member_without_keys() -> None:
    """A process beside a server without keys is stopped for good.

    Its row went on to tell processes that started later of an address where
    nobody answers, and their requests waited there.
    """

    async def story() -> None:
        async with Harness(44) as rig:
            first = await rig.async_add(PLAIN)
            second = await rig.async_add(PLAIN)
            await rig.async_until(lambda: _rows_of(rig, PLAIN) == 2)
            await rig.async_until(lambda: second.process.is_ready)
            await first.process.async_leave()
            await rig.async_kill(first)
            assert _rows_of(rig, PLAIN) == 1

    asyncio.run(story())


def _rows_of(rig: Harness, service: str) -> int:
    return sum(
        name[1] == service and not row.is_deleted
        for name, row in rig.store.rows.row_by_name.items()
    )


def test_a_leaving_server_gets_no_work_and_its_keys_pass_on() -> None:
    """A server says that it drains. Its process goes on for its callers, and
    the keys are served by the other server.
    """

    async def story() -> None:
        async with Harness(43) as rig:
            first = await rig.async_add(KEYED)
            await rig.async_add(KEYED)
            await rig.async_until_served()
            assert await first.server.async_drain()
            await rig.async_until(lambda: not first.process.holds.owns_keys)
            before = len(rig.record.runs)
            for key in (0, 30_000, 65_000):
                reply = await rig.async_ask(first, '/cases/1', f'k{key}', key)
                assert reply.status == 200
            late = {run.instance for run in rig.record.runs[before:]}
            assert first.server.instance not in late
            assert not rig.record.two_owners

    asyncio.run(story())
