"""Measure the cost of requests: straight, direct and forwarded.

Also measures the minimum cost of parsing and encoding their messages.
"""

import asyncio
import json
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path
from time import perf_counter

from bench.measure import MICROS, cpu_us, process_cpu_s, resident_mb
from demo.processes import Cluster
from demo.topology import Deployment, ServiceSpec
from plantaingrade.clock import BootClock
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.connection import Connection
from plantaingrade.http.const import MAX_HEAD_BYTES
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    Request,
    Response,
    Role,
)
from plantaingrade.http.pool import Pool

CALLERS = 4
REQUESTS = 3000
IDLE_S = 6.0
ANSWER = b'x' * 512


@dataclass(slots=True)
class PathMeasurement:
    """Measurements of one request path."""

    way: str
    requests_per_s: float
    p50_ms: float
    p99_ms: float
    router_cpu_us: float


def messages_floor_us() -> float:
    """Return the processor time to encode and parse an HTTP exchange."""
    request = Request.build(
        'GET', '/casebook/1', [('host', 'x'), ('x-request-id', 'abc')]
    )
    response = Response.build(200, [('content-length', str(len(ANSWER)))])

    def hop() -> None:
        caller = Connection(Role.CLIENT, MAX_HEAD_BYTES)
        server = Connection(Role.SERVER, MAX_HEAD_BYTES)
        raw = caller.send(request) + caller.send(EndOfMessage())
        server.receive(raw)
        server.next_event()
        server.next_event()
        raw = server.send(response) + server.send(Data(ANSWER))
        raw += server.send(EndOfMessage())
        caller.receive(raw)
        for _ in range(3):
            caller.next_event()

    # A proxy is the server of one exchange and the client of another, so the
    # cost of both sides of an exchange applies to it.
    return cpu_us(hop, 3000)


async def send_requests(address: str, target: str, count: int) -> list[float]:
    """Send requests from several callers; return durations in seconds."""
    pool = Pool(BootClock(), '127.3.0.3')
    durations: list[float] = []

    async def caller() -> None:
        call = Call('GET', address, target, (('x-request-id', 'bench'),))
        for _ in range(count // CALLERS):
            started_at = perf_counter()
            await fetch(pool, call)
            durations.append(perf_counter() - started_at)

    async with asyncio.TaskGroup() as group:
        for _ in range(CALLERS):
            group.create_task(caller())
    return durations


async def measure(
    cluster: Cluster,
    way: str,
    address: str,
    target: str,
    nodes: list[str],
) -> PathMeasurement:
    """Measure one request path."""
    await send_requests(address, target, 200)
    pids = [cluster.pid(f'node {name}') for name in nodes]
    before = sum(map(process_cpu_s, pids))
    started_at = perf_counter()
    durations = sorted(await send_requests(address, target, REQUESTS))
    elapsed_s = perf_counter() - started_at
    cpu = sum(map(process_cpu_s, pids)) - before
    return PathMeasurement(
        way,
        len(durations) / elapsed_s,
        durations[len(durations) // 2] * 1000,
        durations[len(durations) * 99 // 100] * 1000,
        cpu / len(durations) * MICROS,
    )


async def measure_idle(cluster: Cluster, names: list[str]) -> float:
    """Return the share of a core that a process uses without requests."""
    pids = [cluster.pid(f'node {name}') for name in names]
    before = sum(map(process_cpu_s, pids))
    await asyncio.sleep(IDLE_S)
    return (sum(map(process_cpu_s, pids)) - before) / IDLE_S / len(pids)


def small_deployment(*, checks_fence: bool = True) -> Deployment:
    """Return three servers without delays between them."""
    return Deployment(
        name='bench',
        block=41,
        zones=('z0', 'z1', 'z2'),
        zone_ms=0.0,
        caller_ms=0.0,
        services=(
            ServiceSpec(
                'casebook',
                3,
                12,
                3,
                keyed=True,
                dialect='status',
                checks_fence=checks_fence,
            ),
        ),
        weights='{imbalance: 1}',
        tenants=('t',),
    ).place_servers()


async def main() -> None:
    """Measure all request paths in one run."""
    deployment = small_deployment()
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(deployment, Path(folder), work_ms=0.01) as cluster:
            await cluster.async_declare()
            await cluster.async_wait_ready()
            servers = deployment.servers
            answer = await cluster.async_ask(
                servers[0], 'owner of 1 in casebook'
            )
            owner = next(
                each
                for each in servers
                if each.name == answer['owner']['server']
            )
            other = next(each for each in servers if each is not owner)
            owner_address = f'{owner.host}:7000'
            other_address = f'{other.host}:7000'
            measurements = [
                await measure(
                    cluster, 'straight', owner.backend, '/casebook/1', []
                ),
                await measure(
                    cluster,
                    'direct',
                    owner_address,
                    '/casebook/1',
                    [owner.name],
                ),
                await measure(
                    cluster,
                    'forwarded',
                    other_address,
                    '/casebook/1',
                    [owner.name, other.name],
                ),
            ]
            idle_share = await measure_idle(
                cluster, [each.name for each in servers]
            )
            memory = resident_mb(cluster.pid(f'node {owner.name}'))
    for each in measurements:
        print(
            json.dumps(
                {
                    **asdict(each),
                    'of_straight': each.p50_ms / measurements[0].p50_ms,
                }
            )
        )
    print(
        json.dumps(
            {
                'messages_floor_us': messages_floor_us(),
                'resident_mb': memory,
                'idle_share_of_a_core': idle_share,
            }
        )
    )


if __name__ == '__main__':
    asyncio.run(main())
