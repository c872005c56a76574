"""Callers that keep connections until the process behind them ends."""

import asyncio
import random
import uuid
from dataclasses import dataclass

from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from soak.cluster import HOST, Cluster, Instance

DEADLINE_MS = 1500
# A caller stops waiting this long after its deadline.
EXTRA_WAIT_S = 1.0
KEYS = 65_536
HOT_KEYS = 40
HOT_SHARE = 0.5
PAUSE_S = 0.03
# The last one looks like a call between processes.
PATHS = ('/cases/1', '/read/1', '/letters/1', '/-/config')
STATUS_OK = 200
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class RequestRecord:
    """One request and the answer that its caller received."""

    request_id: str
    path: str
    key: int
    spot: int
    sent_at: float
    done_at: float = 0.0
    status: int = 0
    is_own: bool = True

    @property
    def is_unsafe(self) -> bool:
        """Return whether the request must not be run more than once."""
        return not self.path.startswith(('/read/', '/-/'))

    @property
    def reports_not_run(self) -> bool:
        """Return whether the answer says that the request has not run."""
        return self.status in NOT_RUN_STATUSES


class Callers:
    """Sends requests from several callers at each instance."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        """Create callers whose random draws are seeded one by one."""
        self.records: list[RequestRecord] = []
        self._cluster = cluster
        self._seed = seed
        self._is_stopped = False

    def stop(self) -> None:
        """Stop after the requests in flight."""
        self._is_stopped = True

    async def async_run(self, per_instance: int) -> None:
        """Send requests until stopped."""
        async with asyncio.TaskGroup() as tasks:
            for instance in self._cluster.instances:
                for number in range(per_instance):
                    tasks.create_task(
                        self._async_send_repeatedly(instance, number)
                    )

    async def async_send(
        self, pool: Pool, instance: Instance, path: str, key: int
    ) -> RequestRecord:
        """Send one request and record the answer."""
        now = self._cluster.clock.now
        record = RequestRecord(
            uuid.uuid4().hex, path, key, instance.number, now()
        )
        method = 'POST' if record.is_unsafe else 'GET'
        headers = (
            ('attempt-id', record.request_id),
            ('deadline-ms', str(DEADLINE_MS)),
            ('shard-key', str(key)),
        )
        call = Call(method, instance.callers, path, headers, b'x', HOST)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + EXTRA_WAIT_S):
                _apply_reply(record, await fetch(pool, call))
        except (TimeoutError, ChannelClosedError, ConnectFailedError):
            record.status = 0
        record.done_at = now()
        self.records.append(record)
        return record

    async def _async_send_repeatedly(
        self, instance: Instance, number: int
    ) -> None:
        rng = random.Random(f'{self._seed}-{instance.number}-{number}')
        with Pool(self._cluster.clock) as pool:
            while not self._is_stopped:
                path = rng.choice(PATHS)
                is_hot = rng.random() < HOT_SHARE
                key = rng.randrange(HOT_KEYS if is_hot else KEYS)
                record = await self.async_send(pool, instance, path, key)
                pause_s = PAUSE_S if record.status else PAUSE_S * 10
                await asyncio.sleep(rng.uniform(0, 2 * pause_s))


def _apply_reply(record: RequestRecord, reply: Reply) -> None:
    record.status = reply.status
    if reply.status == STATUS_OK:
        expected = f'done {record.request_id}'.encode()
        answered_id = reply.headers.get(b'attempt-id', b'').decode()
        is_whole = reply.body == expected
        record.is_own = is_whole and answered_id == record.request_id
