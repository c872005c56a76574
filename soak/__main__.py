"""Run seeds one after the other and print a verdict for each."""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

from plantaingrade.http.pool import Pool
from soak.callers import KEYS, STATUS_OK, Callers
from soak.schedule import ALL_TROUBLES, Trouble, make_schedule
from soak.trouble import Troubles
from soak.verdict import Verdict, judge, read_runs, read_taken
from soak.cluster import ZONES, Cluster

# After the last fault, everything must be served again within this time: the
# rest of a lease, the wait after an outage, and a takeover.
RECOVERY_S = 22.0
CALLERS_PER_INSTANCE = 3
# Runs beside each other use loopback addresses of their own.
BLOCKS = 80
PROBE_STEP = 8192
DEFAULT_SECONDS = 15.0


async def async_run(
    seed: int,
    seconds: float,
    spots: int,
    block: int,
    folder: Path,
    troubles: tuple[Trouble, ...] = ALL_TROUBLES,
) -> Verdict:
    """Play one seed from start to verdict."""
    with Cluster(spots, block, folder) as cluster:
        if not await cluster.async_start():
            return Verdict(unserved_at_end=1)
        callers = Callers(cluster, seed)
        load = asyncio.create_task(callers.async_run(CALLERS_PER_INSTANCE))
        steps = make_schedule(seed, seconds, spots, troubles)
        (folder / 'schedule.json').write_text(
            json.dumps([asdict(step) for step in steps], indent=1)
        )
        player = Troubles(cluster)
        await player.async_play(steps)
        unserved = await _async_until_served(cluster, callers)
        callers.stop()
        await load
        ended = cluster.ended()
        told = [json.dumps(asdict(each)) for each in callers.told]
        (folder / 'told.jsonl').write_text('\n'.join(told))
    record = folder / 'runs.jsonl'
    verdict = judge(
        callers.told, read_runs(record), player.pauses, read_taken(record)
    )
    verdict.unserved_at_end = unserved
    verdict.ended_by_itself = len(ended)
    return verdict


async def _async_until_served(cluster: Cluster, callers: Callers) -> int:
    """Return how many probes at the end find no server, after a while."""
    ends = cluster.clock.now() + RECOVERY_S
    unserved = 1
    while unserved and cluster.clock.now() < ends:
        await asyncio.sleep(1)
        with Pool(cluster.clock) as pool:
            asks = [
                callers.async_ask(pool, instance, '/read/1', key)
                for instance in cluster.instances
                for key in range(instance.number, KEYS, PROBE_STEP)
            ]
            told = await asyncio.gather(*asks)
        unserved = sum(each.status != STATUS_OK for each in told)
    return unserved


@click.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--count', type=int, default=1, show_default=True)
@click.option(
    '--seconds', type=float, default=DEFAULT_SECONDS, show_default=True
)
@click.option('--spots', type=int, default=6, show_default=True)
def main(seed: int, count: int, seconds: float, spots: int) -> None:
    """Play seeds, and keep the folder of each that broke a promise."""
    # Ending by a signal must end the processes too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    block = 1 + os.getpid() % BLOCKS * ZONES
    for each in range(seed, seed + count):
        folder = Path(tempfile.mkdtemp(prefix=f'plantaingrade-soak-{each}-'))
        verdict = asyncio.run(async_run(each, seconds, spots, block, folder))
        broken = verdict.broken()
        failed += bool(broken)
        click.echo(json.dumps({'seed': each, **asdict(verdict)}))
        if broken:
            click.echo(f'seed {each} broke {", ".join(broken)}: {folder}')
        else:
            shutil.rmtree(folder)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
