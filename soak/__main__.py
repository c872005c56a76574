"""Run seeds in sequence and print a verdict for each."""

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
from soak.cluster import ZONES, Cluster
from soak.faults import FaultInjector
from soak.notices import count_after_leaving, count_over_limit
from soak.schedule import ALL_FAULTS, FaultKind, make_schedule
from soak.verdict import (
    Verdict,
    count_unhandled,
    judge,
    read_acquisitions,
    read_runs,
    read_told,
)

# All keys must be served again within this time after the last fault: the rest
# of a lease, the wait after an outage, and a takeover.
RECOVERY_LIMIT_S = 22.0
CALLERS_PER_INSTANCE = 3
# Concurrent runs use separate blocks of loopback addresses.
BLOCK_COUNT = 80
PROBE_STEP = 8192
DEFAULT_SECONDS = 15.0


async def async_run(
    seed: int,
    seconds: float,
    spots: int,
    block: int,
    folder: Path,
    kinds: tuple[FaultKind, ...] = ALL_FAULTS,
) -> Verdict:
    """Run one seed and return its verdict."""
    with Cluster(spots, block, folder) as cluster:
        if not await cluster.async_start():
            return Verdict(unserved_at_end=1)
        callers = Callers(cluster, seed)
        load = asyncio.create_task(callers.async_run(CALLERS_PER_INSTANCE))
        steps = make_schedule(seed, seconds, spots, kinds)
        (folder / 'schedule.json').write_text(
            json.dumps([asdict(step) for step in steps], indent=1)
        )
        injector = FaultInjector(cluster)
        await injector.async_execute(steps)
        unserved = await _async_wait_served(cluster, callers)
        callers.stop()
        await load
        ended = cluster.ended()
        lines = [json.dumps(asdict(each)) for each in callers.records]
        (folder / 'told.jsonl').write_text('\n'.join(lines))
    run_log = folder / 'runs.jsonl'
    runs = read_runs(run_log)
    told = read_told(run_log)
    verdict = judge(
        callers.records, runs, injector.pauses, read_acquisitions(run_log)
    )
    verdict.over_limit = count_over_limit(runs, told)
    verdict.after_leaving = count_after_leaving(
        callers.records, runs, told, [*injector.pauses, *injector.restarts]
    )
    verdict.unserved_at_end = unserved
    verdict.config_checks = injector.config_checks
    verdict.old_configs = injector.old_configs
    verdict.unfelt_faults = len(injector.felt.unfelt())
    verdict.ended_by_itself = len(ended)
    verdict.unhandled = count_unhandled(folder)
    return verdict


async def _async_wait_served(cluster: Cluster, callers: Callers) -> int:
    """Probe until all are served or time is up; return how many are not."""
    deadline = cluster.clock.now() + RECOVERY_LIMIT_S
    unserved = 1
    while unserved and cluster.clock.now() < deadline:
        await asyncio.sleep(1)
        with Pool(cluster.clock) as pool:
            probes = [
                callers.async_send(pool, instance, '/read/1', key)
                for instance in cluster.instances
                for key in range(instance.number, KEYS, PROBE_STEP)
            ]
            records = await asyncio.gather(*probes)
        unserved = sum(each.status != STATUS_OK for each in records)
    return unserved


@click.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--count', type=int, default=1, show_default=True)
@click.option(
    '--seconds', type=float, default=DEFAULT_SECONDS, show_default=True
)
@click.option('--spots', type=int, default=6, show_default=True)
def main(seed: int, count: int, seconds: float, spots: int) -> None:
    """Run seeds, and keep the folder of each that broke a guarantee."""
    # An interrupt ends the child processes too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    block = 1 + os.getpid() % BLOCK_COUNT * ZONES
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
