"""Callers that keep their connections until the process behind is gone."""

import asyncio
import random
import uuid
from dataclasses import dataclass

from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from soak.cluster import HOST, Instance, Cluster

DEADLINE_MS = 1500
# A caller gives up this long after its deadline.
PATIENCE_S = 1.0
KEYS = 65_536
HOT_KEYS = 40
HOT_SHARE = 0.5
PAUSE_S = 0.03
STATUS_OK = 200
PROMISES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Told:
    """What a caller was told about one request."""

    request_id: str
    path: str
    key: int
    spot: int
    sent_at: float
    done_at: float = 0.0
    status: int = 0
    is_own: bool = True

    @property
    def is_once(self) -> bool:
        """Tell whether the request may be run once only."""
        return not self.path.startswith('/read/')

    @property
    def promises_not_run(self) -> bool:
        """Tell whether the caller was told that it has not run."""
        return self.status in PROMISES


class Callers:
    """Some callers at each instance."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        """Prepare callers; each takes its own way from the seed."""
        self.told: list[Told] = []
        self._cluster = cluster
        self._seed = seed
        self._is_stopped = False

    def stop(self) -> None:
        """End after the requests in flight."""
        self._is_stopped = True

    async def async_run(self, per_instance: int) -> None:
        """Ask until stopped."""
        async with asyncio.TaskGroup() as tasks:
            for instance in self._cluster.instances:
                for number in range(per_instance):
                    tasks.create_task(self._async_ask_on(instance, number))

    async def async_ask(
        self, pool: Pool, instance: Instance, path: str, key: int
    ) -> Told:
        """Send one request and note what came of it."""
        now = self._cluster.clock.now
        told = Told(uuid.uuid4().hex, path, key, instance.number, now())
        method = 'POST' if told.is_once else 'GET'
        headers = (
            ('attempt-id', told.request_id),
            ('deadline-ms', str(DEADLINE_MS)),
            ('shard-key', str(key)),
        )
        call = Call(method, instance.callers, path, headers, b'x', HOST)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + PATIENCE_S):
                _judge(told, await fetch(pool, call))
        except (TimeoutError, ChannelClosedError, ConnectFailedError):
            told.status = 0
        told.done_at = now()
        self.told.append(told)
        return told

    async def _async_ask_on(self, instance: Instance, number: int) -> None:
        chooser = random.Random(f'{self._seed}-{instance.number}-{number}')
        with Pool(self._cluster.clock) as pool:
            while not self._is_stopped:
                path = chooser.choice(('/cases/1', '/read/1', '/letters/1'))
                is_hot = chooser.random() < HOT_SHARE
                key = chooser.randrange(HOT_KEYS if is_hot else KEYS)
                told = await self.async_ask(pool, instance, path, key)
                pause_s = PAUSE_S if told.status else PAUSE_S * 10
                await asyncio.sleep(chooser.uniform(0, 2 * pause_s))


def _judge(told: Told, reply: Reply) -> None:
    told.status = reply.status
    if reply.status == STATUS_OK:
        expected = f'done {told.request_id}'.encode()
        named = reply.headers.get(b'attempt-id', b'').decode()
        is_whole = reply.body == expected
        told.is_own = is_whole and named == told.request_id
