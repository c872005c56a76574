"""Measure latency, CPU, bytes, store calls and memory on the platform.

All values of a run are measured together on one machine, so ratios are
comparable between runs even if absolute values drift. Run by ``make bench``.
"""

import asyncio
import json
import statistics
import tempfile
from pathlib import Path

import click

from bench.measure import process_cpu_s, resident_mb
from plantaingrade.balance.entity import Load
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.connection import Connection
from plantaingrade.http.const import MAX_HEAD_BYTES
from plantaingrade.http.messages import Request, Response, Role
from plantaingrade.http.pool import Pool
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    RoutedRequest,
)
from plantaingrade.requests.hop import (
    KnownVersions,
    encode_hop,
    encode_load,
    encode_outcome,
)
from soak.cluster import HOST, Cluster

REQUESTS = 400
BLOCK = 200
IDLE_S = 20.0
SETTLE_S = 4.0
BODY_BYTES = 400
CALLER_HEADERS = (
    (b'user-agent', b'sdk-client/1.9.3'),
    (b'accept', b'*/*'),
    (b'accept-encoding', b'identity'),
    (b'cookie', b'lang=en; session=1982'),
)


async def async_latencies(
    pool: Pool, address: str, path: str, key: int, instance: str = ''
) -> list[float]:
    """Send requests sequentially and return their latencies in ms."""
    latencies = []
    loop = asyncio.get_running_loop()
    for number in range(REQUESTS):
        headers = [
            ('attempt-id', f'{number}'),
            ('deadline-ms', '1500'),
            ('shard-key', str(key)),
        ]
        if instance:
            headers.append(('expect-instance', instance))
        call = Call('GET', address, path, tuple(headers), b'', HOST)
        started_at = loop.time()
        reply = await fetch(pool, call)
        assert reply.status == 200, reply
        latencies.append((loop.time() - started_at) * 1000)
    return latencies


async def async_measure_paths() -> None:
    """Compare requests sent to the server directly and through processes."""
    folder = Path(tempfile.mkdtemp(prefix='plantaingrade-bench-'))
    with Cluster(2, BLOCK, folder, work_ms=0) as cluster:
        assert await cluster.async_start()
        await asyncio.sleep(SETTLE_S)
        first, second = cluster.instances
        routers = [
            cluster.pid(f'router-{spot.number}') for spot in cluster.instances
        ]
        with Pool(cluster.clock) as pool:
            straight = await async_latencies(
                pool, f'{first.ip}:18145', '/read/1', 0
            )
            before = sum(map(process_cpu_s, routers))
            own = await async_latencies(pool, first.callers, '/read/1', 0)
            between = sum(map(process_cpu_s, routers))
            other = await async_latencies(pool, second.callers, '/read/1', 0)
            after = sum(map(process_cpu_s, routers))
        memory = max(map(resident_mb, routers))
    base = statistics.median(straight)
    print('path of a request      median ms   ratio   CPU us a request')
    print(f'server, straight    {base:12.2f}{1:8.2f}')
    for name, latencies, cpu in (
        ('own process', own, between - before),
        ('one other process', other, after - between),
    ):
        median = statistics.median(latencies)
        per_request = cpu / REQUESTS * 1e6
        print(f'{name:20}{median:12.2f}{median / base:8.2f}{per_request:12.0f}')
    print(f'memory of a process {memory:12.1f} MB')


def print_bytes() -> None:
    """Print the bytes of a request and response between two processes."""
    caller = CallerRequest(
        b'9c41d07be2a35f68',
        b'GET',
        b'/lohu930/dedf/af6c',
        b'ficu95.example',
        59170,
        CALLER_HEADERS,
        b'',
        0,
        0.5,
    )
    routed = RoutedRequest(caller, 'huvo11a', 'huvo11a', True, 2, 0.5, 0.2)
    request = Request(
        caller.method,
        caller.target,
        encode_hop(routed, KnownVersions(12, 345), 0),
    )
    stamp = (b'server-stamp', b'3e1b.07.5a2.600.0.c9f2a4d1')
    answer = encode_outcome(Answered(Answer(200, (stamp,), b'x' * BODY_BYTES)))
    response = Response(
        200,
        (
            *answer.headers,
            encode_load(Load(0.5, 0.06, 6)),
            (b'content-length', str(BODY_BYTES).encode()),
        ),
    )
    raw = Connection(Role.CLIENT, MAX_HEAD_BYTES).send(request)
    sent = len(raw)
    server = Connection(Role.SERVER, MAX_HEAD_BYTES)
    server.receive(raw)
    server.next_event()
    received = len(server.send(response))
    print(f'bytes between processes: request {sent}, answer {received} + body')


async def async_measure_idle(count: int) -> None:
    """Print the rate of store calls while no requests are sent."""
    folder = Path(tempfile.mkdtemp(prefix='plantaingrade-bench-'))
    with Cluster(count, BLOCK, folder) as cluster:
        assert await cluster.async_start()
        await asyncio.sleep(SETTLE_S)
        first = await async_count(cluster)
        await asyncio.sleep(IDLE_S)
        last = await async_count(cluster)
    calls = (last['calls'] - first['calls']) / IDLE_S
    sent = (last['bytes'] - first['bytes']) / IDLE_S
    print(f'{count:5} processes at rest: {calls:8.1f} calls/s {sent:10.0f} B/s')


async def async_count(cluster: Cluster) -> dict[str, int]:
    """Return the counters of the store."""
    body = json.dumps({'count': True}).encode()
    call = Call('POST', cluster.store, '/-/fault', (), body)
    with Pool(cluster.clock) as pool:
        reply = await fetch(pool, call)
    return json.loads(reply.body)


@click.command()
@click.option('--count', multiple=True, type=int, default=(10, 30))
def main(count: tuple[int, ...]) -> None:
    """Measure request paths, bytes of a hop and store calls when idle."""
    asyncio.run(async_measure_paths())
    print_bytes()
    for each in count:
        asyncio.run(async_measure_idle(each))


if __name__ == '__main__':
    main()
