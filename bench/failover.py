"""Measure the phases of failover after the loss of an owner."""

import asyncio
import json
import signal
import tempfile
from pathlib import Path
from statistics import median

from bench.path import small_deployment
from demo.processes import Cluster
from demo.topology import Deployment, ServerSpec
from plantaingrade.clock import BootClock
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool

RUNS = 5
POLL_INTERVAL_S = 0.01
CONNECTION_ERRORS = (ChannelClosedError, ConnectFailedError, TimeoutError)


async def ask(pool: Pool, address: str, target: str) -> dict[str, object]:
    """Return the JSON response of a process, or an empty dict."""
    try:
        async with asyncio.timeout(0.5):
            reply = await fetch(pool, Call('GET', address, target))
    except CONNECTION_ERRORS:
        return {}
    return json.loads(reply.body) if reply.status == 200 else {}


async def measure_loss(deployment: Deployment) -> dict[str, float]:
    """Kill an owner and its server; return the phases in seconds."""
    clock = BootClock()
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(deployment, Path(folder)) as cluster:
            await cluster.async_declare()
            await cluster.async_wait_ready()
            answer = await cluster.async_ask(
                deployment.servers[0],
                'owner of 1 in casebook',
            )
            owner = _find_server(deployment, answer['owner']['server'])
            successor = _find_server(
                deployment, answer['slice']['successor'].split('#')[0]
            )
            cluster.signal(f'node {owner.name}', signal.SIGKILL)
            cluster.signal(f'backend {owner.name}', signal.SIGKILL)
            killed_at = clock.now()
            return await _measure_phases(clock, successor, killed_at)


async def _measure_phases(
    clock: BootClock,
    successor: ServerSpec,
    killed_at: float,
) -> dict[str, float]:
    pool = Pool(clock, '127.3.0.4')
    address = f'{successor.host}:7000'
    while not await ask(pool, address, '/casebook/1'):
        await asyncio.sleep(POLL_INTERVAL_S)
    answered_at = clock.now()
    status = await ask(pool, address, '/-/status')
    takeover = status['last_takeover']
    return {
        'lease_and_testimony_s': takeover['proven_at'] - killed_at,
        'grace_s': takeover['taken_at'] - takeover['proven_at'],
        'first_answer_s': answered_at - takeover['taken_at'],
        'whole_gap_s': answered_at - killed_at,
    }


def _find_server(deployment: Deployment, name: str) -> ServerSpec:
    return next(each for each in deployment.servers if each.name == name)


async def main() -> None:
    """Measure servers with and without fence checks several times each."""
    for checks in (True, False):
        runs = [
            await measure_loss(small_deployment(checks_fence=checks))
            for _ in range(RUNS)
        ]
        phases = {
            name: [round(median(durations), 3), round(max(durations), 3)]
            for name in runs[0]
            if (durations := [run[name] for run in runs])
        }
        print(json.dumps({'checks_fence': checks, 'median_and_max': phases}))


if __name__ == '__main__':
    asyncio.run(main())
