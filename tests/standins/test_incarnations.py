"""Incarnations of the stand-in server, and rows of other writers."""

import asyncio
import json
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from plantaingrade.addresses import split_address
from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import Call, Reply, fetch, read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer
from standins.incarnation import Incarnation
from standins.keyed_server import KeyedServer, RunRecord, ServerPlan
from standins.malformed import Flaw
from standins.shared_store import SharedStore

REPORTS = '127.71.0.1:18144'
SERVER = '127.71.0.2:18145'
STORE = '127.71.0.3:18142'
IDLE_S = 5.0
# Only the heartbeats that a test sends.
NEVER_S = 1_000_000.0
PLAN = ServerPlan('cases', 'a', SERVER, REPORTS, heartbeat_s=NEVER_S)
GRANT = {'startKey': 0, 'to': 9, 'fence': 7, 'hold_time': '10000ms'}


@dataclass(slots=True)
class ReportReceiver:
    """Receives heartbeats and keeps them in order, with their server ids."""

    received: list[tuple[str, bytes]] = field(default_factory=list)

    async def async_serve(self, raw: Request, channel: Channel) -> None:
        """Store one heartbeat and acknowledge it."""
        instance = raw.target.decode().rsplit('/', 1)[1]
        self.received.append((instance, await read_body(channel)))
        send_answer(channel, Answer(200, (), b''))

    def heartbeats(self) -> list[dict]:
        """Return the fields of the received heartbeats."""
        return [json.loads(body) for _, body in self.received]


@asynccontextmanager
async def receiving_reports():
    receiver = ReportReceiver()
    http_server = HttpServer(
        BootClock(), receiver.async_serve, refuse_malformed, IDLE_S
    )
    await http_server.async_listen(*split_address(REPORTS))
    try:
        yield receiver
    finally:
        await http_server.async_close()


def server(
    record: RunRecord, incarnation: Incarnation | None = None
) -> KeyedServer:
    return KeyedServer(PLAN, record, BootClock(), 1, incarnation)


async def send(address: str, method: str, path: str, fields: dict) -> Reply:
    with Pool(BootClock()) as pool:
        body = json.dumps(fields).encode()
        return await fetch(pool, Call(method, address, path, (), body))


def test_next_incarnation_has_a_later_start_time() -> None:
    first = Incarnation.from_seed(3)
    second = first.next_incarnation()
    assert second.instance == first.instance
    assert second.started_at_ms > first.started_at_ms


def test_next_incarnation_starts_without_state() -> None:
    """A server crashes and restarts under its id.

    It holds no keys, knows no fence, and its heartbeats start at sequence 1;
    only ``born`` differs from the incarnation before.
    """

    async def scenario() -> None:
        record = RunRecord()
        async with receiving_reports() as receiver:
            first = server(record)
            await first.async_start()
            reply = await send(SERVER, 'POST', '/v1/grant', GRANT)
            assert reply.status == 200
            await first.async_heartbeat()
            assert first.holds_key(5)
            await first.async_crash()

            second = server(record, first.incarnation.next_incarnation())
            await second.async_start()
            assert not second.holds_key(5)
            lower = {**GRANT, 'fence': 2}
            reply = await send(SERVER, 'POST', '/v1/grant', lower)
            assert reply.status == 200
            assert [
                each.incarnation for each in record.find_stale_fences()
            ] == [second.incarnation]
            await second.async_heartbeat()
            await second.async_crash()

        names = {instance for instance, _ in receiver.received}
        assert names == {first.instance}
        sequences_by_start: dict[int, list[int]] = {}
        for heartbeat in receiver.heartbeats():
            sequences_by_start.setdefault(heartbeat['born'], []).append(
                heartbeat['sequence']
            )
        assert list(sequences_by_start) == [
            first.incarnation.started_at_ms,
            second.incarnation.started_at_ms,
        ]
        assert all(
            sequences[0] == 1 for sequences in sequences_by_start.values()
        )
        assert not record.two_owners

    asyncio.run(scenario())


def test_two_incarnations_of_one_id_are_two_owners() -> None:
    """A second incarnation at another address gets keys of the first."""

    async def scenario() -> None:
        record = RunRecord()
        first = server(record)
        await first.async_start()
        elsewhere = ServerPlan('cases', 'a', '127.71.0.4:18145', REPORTS)
        second = KeyedServer(
            elsewhere,
            record,
            BootClock(),
            2,
            first.incarnation.next_incarnation(),
        )
        await second.async_start()
        for address in (SERVER, elsewhere.address):
            await send(address, 'POST', '/v1/grant', GRANT)
        await first.async_crash()
        await second.async_crash()
        assert len(record.two_owners) == 1

    asyncio.run(scenario())


def test_a_malformed_heartbeat_uses_no_sequence_number() -> None:
    """Applied in part, it would hide the valid heartbeat that follows."""

    async def scenario() -> None:
        async with receiving_reports() as receiver:
            keyed_server = server(RunRecord())
            rng = random.Random(4)
            for flaw in Flaw:
                status = await keyed_server.reporter.async_send_malformed(
                    flaw, rng
                )
                assert status == 200
            other_id = 'i-stranger'
            await keyed_server.reporter.async_send_malformed(
                Flaw.MISSING, rng, other_id
            )
            assert await keyed_server.async_heartbeat()
            await keyed_server.async_crash()
        names = [instance for instance, _ in receiver.received]
        assert names[-2:] == [other_id, keyed_server.instance]
        assert json.loads(receiver.received[-1][1])['sequence'] == 1

    asyncio.run(scenario())


def test_store_returns_rows_of_other_writers() -> None:
    """Another writer puts undecodable bytes between the product's rows."""

    async def scenario() -> None:
        store = SharedStore(BootClock())
        await store.async_listen(STORE)
        store.rows.put('any', 'member/b', b'sound', 'cases')
        entry = {
            'table': 'any',
            'part': 'cases',
            'key': 'member/a',
            'value': '//4A',
        }
        await send(STORE, 'POST', '/-/fault', {'puts': [entry]})
        path = '/v1/rows-get?table=any&part=cases'
        reply = await send(STORE, 'GET', path, {})
        await store.async_close()
        rows = json.loads(reply.body)['rows']
        assert [row['key'] for row in rows] == ['member/a', 'member/b']
        assert store.rows.body_of(('any', 'cases', 'member/a')) == b'\xff\xfe\0'

    asyncio.run(scenario())
