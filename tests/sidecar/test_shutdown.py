"""Planned shutdowns of processes and servers."""

import asyncio

from standins.shared_store import Outage
from tests.sidecar.harness import KEYED, PLAIN, WAIT_LIMIT_S, Harness


def test_shutdown_transfers_keys_and_no_request_fails() -> None:
    """A process shuts down while callers keep sending requests for its keys.

    Its keys are transferred to the other process, and all requests succeed.
    """

    async def scenario() -> None:
        async with Harness(41) as harness:
            first = await harness.async_add(KEYED)
            second = await harness.async_add(KEYED)
            await harness.async_until_served()
            leaving = asyncio.create_task(first.process.async_shut_down())
            statuses = []
            for number in range(60):
                reply = await harness.async_ask(
                    second, '/cases/1', f'r{number}', number * 1000
                )
                statuses.append(reply.status)
            await leaving
            await harness.async_kill(first)
            await harness.async_until_served()
            assert set(statuses) == {200}
            assert len(harness.record.runs) == 60
            assert not harness.record.two_owners

    asyncio.run(scenario())


def test_shutdown_ends_during_a_store_outage() -> None:
    """The store stops answering, then a process is told to shut down.

    Its keys cannot be transferred. It must refuse new work in time, or the
    platform kills it while requests run, and callers see closed connections.
    """

    async def scenario() -> None:
        async with Harness(42) as harness:
            node = await harness.async_add(KEYED)
            await harness.async_until_served()
            harness.store.faults.outage = Outage.SILENT
            # Another change holds the lock until the store answers. A renewal
            # under way may hold it as well, and then never frees it, so
            # acquiring it here directly might never end.
            writing = node.process.holds.registry._writing
            change = asyncio.create_task(writing.acquire())
            await harness.async_until(writing.locked)
            leaving = asyncio.create_task(node.process.async_shut_down())
            async with asyncio.timeout(WAIT_LIMIT_S):
                while not leaving.done():
                    reply = await harness.async_ask(node, '/cases/1', 'r', 5)
                    await asyncio.sleep(0.05)
            change.cancel()
            assert reply.status == 503
            assert b'retry-after' in reply.headers

    asyncio.run(scenario())


def test_shutdown_removes_the_row_of_a_member_without_keys() -> None:
    """A process whose server has no keys shuts down for good.

    A remaining row would give processes that start later an address where
    nothing listens, and their requests would wait there.
    """

    async def scenario() -> None:
        async with Harness(44) as harness:
            first = await harness.async_add(PLAIN)
            second = await harness.async_add(PLAIN)
            await harness.async_until(lambda: _rows_of(harness, PLAIN) == 2)
            await harness.async_until(lambda: second.process.is_ready)
            await first.process.async_shut_down()
            await harness.async_kill(first)
            assert _rows_of(harness, PLAIN) == 1

    asyncio.run(scenario())


def _rows_of(harness: Harness, service: str) -> int:
    return sum(
        name[1] == service and not row.is_deleted
        for name, row in harness.store.rows.row_by_name.items()
    )


def test_draining_server_gets_no_work_and_loses_its_keys() -> None:
    """A server reports that it drains. Its process still serves its callers,
    and the other server serves the keys.
    """

    async def scenario() -> None:
        async with Harness(43) as harness:
            first = await harness.async_add(KEYED)
            await harness.async_add(KEYED)
            await harness.async_until_served()
            assert await first.server.async_drain()
            await harness.async_until(lambda: not first.process.holds.owns_keys)
            before = len(harness.record.runs)
            for key in (0, 30_000, 65_000):
                reply = await harness.async_ask(
                    first, '/cases/1', f'k{key}', key
                )
                assert reply.status == 200
            late = {run.instance for run in harness.record.runs[before:]}
            assert first.server.instance not in late
            assert not harness.record.two_owners

    asyncio.run(scenario())
