"""Checks from outside which configuration the processes use."""

import asyncio

from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from soak.cluster import CALL_LIMIT_S, HOST, Cluster, Instance

# Time after a disturbance from which a process counts as in touch, and a margin
# for the answer to the question.
CONTACT_S = 3.1
STATUS_NOT_FOUND = 404


class Disturbances:
    """Times of all faults of a run but changes of the configuration."""

    def __init__(self) -> None:
        """Start without faults."""
        self._active = 0
        self._ended_at = 0.0

    def begin(self) -> None:
        """Count a fault that begins."""
        self._active += 1

    def end(self, now: float) -> None:
        """Count a fault that ends."""
        self._active -= 1
        self._ended_at = now

    def are_over(self, now: float) -> bool:
        """Return whether every process is in touch."""
        return not self._active and now - self._ended_at >= CONTACT_S


async def async_count_old(cluster: Cluster, version: int) -> int:
    """Return how many processes don't know a route of a version."""
    with Pool(cluster.clock) as pool:
        asked = [
            _async_is_old(pool, instance, version)
            for instance in cluster.instances
        ]
        return sum(await asyncio.gather(*asked))


async def _async_is_old(pool: Pool, instance: Instance, version: int) -> bool:
    headers = (
        ('attempt-id', f'check-{version}-{instance.number}'),
        ('deadline-ms', '900'),
    )
    path = f'/added{version}/1'
    call = Call('GET', instance.callers, path, headers, b'', HOST)
    try:
        async with asyncio.timeout(CALL_LIMIT_S):
            reply = await fetch(pool, call, fresh=True)
    except (TimeoutError, ChannelClosedError, ConnectFailedError):
        return False
    return reply.status == STATUS_NOT_FOUND
