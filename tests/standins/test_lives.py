"""Lives of the stand-in for a backend server, and rows of other writers."""

import asyncio
import json
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import Call, Reply, fetch, read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.pool import Pool, split_address
from plantaingrade.http.server import HttpServer
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer
from standins.keyed_server import KeyedServer, RunRecord, ServerPlan
from standins.life import Life
from standins.shared_store import SharedStore
from standins.strange import Flaw

REPORTS = '127.71.0.1:18144'
SERVER = '127.71.0.2:18145'
STORE = '127.71.0.3:18142'
IDLE_S = 5.0
# No heartbeat but those that a test asks for.
NEVER_S = 1_000_000.0
PLAN = ServerPlan('cases', 'a', SERVER, REPORTS, heartbeat_s=NEVER_S)
GRANT = {'startKey': 0, 'to': 9, 'fence': 7, 'hold_time': '10000ms'}


@dataclass(slots=True)
class Listener:
    """What was said to it, by id, in order."""

    said: list[tuple[str, bytes]] = field(default_factory=list)

    async def take(self, raw: Request, channel: Channel) -> None:
        """Keep one heartbeat and acknowledge it."""
        instance = raw.target.decode().rsplit('/', 1)[1]
        self.said.append((instance, await read_body(channel)))
        send_answer(channel, Answer(200, (), b''))

    def heartbeats(self) -> list[dict]:
        """Return the fields of what was said."""
        return [json.loads(body) for _, body in self.said]


@asynccontextmanager
async def listening():
    listener = Listener()
    front = HttpServer(BootClock(), listener.take, refuse_malformed, IDLE_S)
    await front.async_listen(*split_address(REPORTS))
    try:
        yield listener
    finally:
        await front.async_close()


def server(record: RunRecord, life: Life | None = None) -> KeyedServer:
    return KeyedServer(PLAN, record, BootClock(), 1, life)


async def send(address: str, method: str, path: str, fields: dict) -> Reply:
    with Pool(BootClock()) as pool:
        body = json.dumps(fields).encode()
        return await fetch(pool, Call(method, address, path, (), body))


def test_a_later_life_of_one_id_is_born_later() -> None:
    first = Life.from_seed(3)
    second = first.next_life()
    assert second.instance == first.instance
    assert second.born_ms > first.born_ms


def test_a_life_under_the_same_id_holds_and_knows_nothing() -> None:
    """A server crashes and is back under its id.

    It holds no keys, has seen no fence, and counts its heartbeats anew; only
    ``born`` tells it from the life before.
    """

    async def story() -> None:
        record = RunRecord()
        async with listening() as listener:
            first = server(record)
            await first.async_start()
            reply = await send(SERVER, 'POST', '/v1/grant', GRANT)
            assert reply.status == 200
            await first.async_heartbeat()
            assert first.holds_key(5)
            await first.async_crash()

            second = server(record, first.life.next_life())
            await second.async_start()
            assert not second.holds_key(5)
            lower = {**GRANT, 'fence': 2}
            reply = await send(SERVER, 'POST', '/v1/grant', lower)
            assert reply.status == 200
            assert [each.life for each in record.old_fences()] == [second.life]
            await second.async_heartbeat()
            await second.async_crash()

        names = {instance for instance, _ in listener.said}
        assert names == {first.instance}
        by_born: dict[int, list[int]] = {}
        for beat in listener.heartbeats():
            by_born.setdefault(beat['born'], []).append(beat['sequence'])
        assert list(by_born) == [first.life.born_ms, second.life.born_ms]
        assert all(counts[0] == 1 for counts in by_born.values())
        assert not record.two_owners

    asyncio.run(story())


def test_two_lives_of_one_id_are_two_owners() -> None:
    """A life under the same id elsewhere gets keys that the first holds."""

    async def story() -> None:
        record = RunRecord()
        first = server(record)
        await first.async_start()
        elsewhere = ServerPlan('cases', 'a', '127.71.0.4:18145', REPORTS)
        second = KeyedServer(
            elsewhere, record, BootClock(), 2, first.life.next_life()
        )
        await second.async_start()
        for address in (SERVER, elsewhere.address):
            await send(address, 'POST', '/v1/grant', GRANT)
        await first.async_crash()
        await second.async_crash()
        assert len(record.two_owners) == 1

    asyncio.run(story())


def test_a_flawed_heartbeat_uses_up_no_sequence() -> None:
    """What was taken up of it would shadow the sound one that follows."""

    async def story() -> None:
        async with listening() as listener:
            sender = server(RunRecord())
            chooser = random.Random(4)
            for flaw in Flaw:
                status = await sender.reporter.async_say_strange(flaw, chooser)
                assert status == 200
            stranger = 'i-stranger'
            await sender.reporter.async_say_strange(
                Flaw.MISSING, chooser, stranger
            )
            assert await sender.async_heartbeat()
            await sender.async_crash()
        names = [instance for instance, _ in listener.said]
        assert names[-2:] == [stranger, sender.instance]
        assert json.loads(listener.said[-1][1])['sequence'] == 1

    asyncio.run(story())


def test_the_store_holds_rows_of_other_writers() -> None:
    """Another writer puts bytes between the rows of the product."""

    async def story() -> None:
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

    asyncio.run(story())
