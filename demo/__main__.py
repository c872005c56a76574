"""Run both deployments under load and faults, and print a report."""

import asyncio
import json
import shutil
import signal
import sys
import tempfile
from dataclasses import asdict, dataclass, field
from pathlib import Path

from demo.callers import Callers
from demo.processes import Cluster
from demo.topology import Deployment, ServerSpec, lisbon, oslo
from demo.verdict import (
    Execution,
    Verdict,
    count_cut_off,
    count_ran_twice,
    count_two_owners,
    imbalance,
    key_gaps,
    percentiles,
    read_runs,
)

WORKERS = 12
RATE = 6.0
DRAIN_LIMIT_S = 20.0
RELAY_CLOSES_S = 1.7
FAULT_S = 3.5


@dataclass(slots=True)
class FaultRecord:
    """Faults injected into one deployment, and when."""

    steady: tuple[float, float] = (0.0, 0.0)
    killed_at: dict[str, float] = field(default_factory=dict)
    drained: dict[str, tuple[float, float]] = field(default_factory=dict)
    ended_at: float = 0.0
    notes: list[str] = field(default_factory=list)


async def inject_faults(cluster: Cluster, callers: Callers) -> FaultRecord:
    """Inject the faults one after the other.

    One server each is killed, drained, frozen, cut off from the network,
    silenced, and killed during an outage of the table service.
    """
    faults = FaultRecord()
    now = callers.clock.now
    servers = cluster.deployment.servers
    await asyncio.sleep(2)
    started_at = now()
    await asyncio.sleep(8)
    faults.steady = (started_at, now())
    await _kill(cluster, faults, servers[0], now(), 'with its process')
    await asyncio.sleep(6)
    await _drain(cluster, faults, callers, servers[1])
    await asyncio.sleep(3)
    await _freeze(cluster, faults, servers[3])
    await asyncio.sleep(4)
    await _cut(cluster, faults, servers[4])
    await asyncio.sleep(4)
    await _silence(cluster, faults, servers[5])
    await asyncio.sleep(4)
    await cluster.async_inject(cluster.deployment.table, {'down': True})
    await asyncio.sleep(2)
    await _kill(cluster, faults, servers[2], now(), 'while the table is down')
    await asyncio.sleep(5)
    await cluster.async_inject(cluster.deployment.table, {'down': False})
    await asyncio.sleep(5)
    callers.stop()
    faults.ended_at = now()
    return faults


async def _kill(
    cluster: Cluster,
    faults: FaultRecord,
    server: ServerSpec,
    at: float,
    how: str,
) -> None:
    name = server.name
    cluster.signal(f'backend {name}', signal.SIGKILL)
    cluster.signal(f'node {name}', signal.SIGKILL)
    faults.killed_at[name] = at
    fault = {'refused': [f'{server.host}:{port}' for port in (7000, 7002)]}
    await cluster.async_inject(cluster.deployment.network, fault)
    faults.notes.append(f'killed {name} {how}')


async def _freeze(
    cluster: Cluster, faults: FaultRecord, server: ServerSpec
) -> None:
    names = (f'node {server.name}', f'backend {server.name}')
    for name in names:
        cluster.signal(name, signal.SIGSTOP)
    await asyncio.sleep(FAULT_S)
    for name in names:
        cluster.signal(name, signal.SIGCONT)
    faults.notes.append(f'froze {server.name} for {FAULT_S} s')


async def _cut(
    cluster: Cluster, faults: FaultRecord, server: ServerSpec
) -> None:
    network = cluster.deployment.network
    await cluster.async_inject(network, {'cut_hosts': [server.host]})
    await asyncio.sleep(FAULT_S)
    await cluster.async_inject(network, {})
    faults.notes.append(f'cut {server.name} off for {FAULT_S} s')


async def _silence(
    cluster: Cluster,
    faults: FaultRecord,
    server: ServerSpec,
) -> None:
    network = cluster.deployment.network
    await cluster.async_inject(network, {'silence': [server.host]})
    faults.notes.append(f'silenced the open connections of {server.name}')


async def _drain(
    cluster: Cluster,
    faults: FaultRecord,
    callers: Callers,
    server: ServerSpec,
) -> None:
    name = server.name
    started_at = callers.clock.now()
    cluster.signal(f'node {name}', signal.SIGTERM)
    # The relay must not accept connections that the process rejects.
    await asyncio.sleep(RELAY_CLOSES_S)
    fault = {'refused': [f'{server.host}:7000']}
    await cluster.async_inject(cluster.deployment.network, fault)
    code = await cluster.async_wait_exit(f'node {name}', DRAIN_LIMIT_S)
    ended = callers.clock.now()
    faults.drained[name] = (started_at, ended)
    cluster.signal(f'backend {name}', signal.SIGTERM)
    faults.notes.append(
        f'drained {name} in {ended - started_at:.2f} s, exit code {code}',
    )


async def run_deployment(
    deployment: Deployment,
    folder: Path,
    seed: int,
) -> Verdict:
    """Start a deployment, inject faults under load and verify it."""
    folder.mkdir()
    with Cluster(deployment, folder) as cluster:
        await cluster.async_declare()
        await cluster.async_wait_ready()
        callers = Callers(deployment, seed)
        load = asyncio.ensure_future(callers.async_run(WORKERS, RATE))
        faults = await inject_faults(cluster, callers)
        await load
    lines = [json.dumps(asdict(each)) for each in callers.records]
    (folder / 'callers.txt').write_text('\n'.join(lines))
    (folder / 'story.txt').write_text(json.dumps(asdict(faults)))
    runs = read_runs(folder)
    verdict = verify(deployment, callers, runs, faults)
    report(deployment, callers, faults, verdict)
    return verdict


def verify(
    deployment: Deployment,
    callers: Callers,
    runs: list[Execution],
    faults: FaultRecord,
) -> Verdict:
    """Compare the records of callers and servers."""
    records = callers.records
    ran = {run.request_id for run in runs}
    answered = [each for each in records if each.outcome == 'answered']
    gaps = key_gaps(records, faults.ended_at)
    p50, p99 = percentiles(records)
    moved = {each.slice_id for each in records if each.slice_id}
    owners = {
        slice_id: {
            each.server for each in answered if each.slice_id == slice_id
        }
        for slice_id in moved
    }
    direct = [each for each in answered if each.owner == each.contacted]
    return Verdict(
        requests=len(records),
        answered=len(answered),
        not_run=sum(each.outcome == 'not-run' for each in records),
        unknown=sum(each.outcome == 'unknown' for each in records),
        wrong_answers=sum(not each.whole for each in records)
        + sum(each.outcome == 'none' for each in records)
        + sum(each.request_id not in ran for each in answered),
        two_owners=count_two_owners(runs, faults.killed_at),
        ran_twice=count_ran_twice(runs),
        not_run_but_ran=sum(
            each.outcome == 'not-run' and each.request_id in ran
            for each in records
        ),
        cut_off_by_drain=count_cut_off(
            [
                (server.name, server.http, *faults.drained[server.name])
                for server in deployment.servers
                if server.name in faults.drained
            ],
            runs,
            records,
        ),
        unavailable_key_seconds=sum(map(sum, gaps.values())),
        longest_key_gap_s=max(map(max, gaps.values()), default=0.0),
        imbalance=imbalance(deployment, runs, faults.steady),
        churn=sum(len(each) - 1 for each in owners.values()) / len(owners),
        direct_share=len(direct) / len(answered),
        p50_ms=p50,
        p99_ms=p99,
    )


def report(
    deployment: Deployment,
    callers: Callers,
    faults: FaultRecord,
    verdict: Verdict,
) -> None:
    """Print faults, failed requests and measures as text."""
    print(f'== {deployment.name}')
    for note in faults.notes:
        print(f'   {note}')
    reasons: dict[str, int] = {}
    for each in callers.records:
        if each.outcome != 'answered':
            name = f'{each.outcome} ({each.reason})'
            reasons[name] = reasons.get(name, 0) + 1
    for name, count in sorted(reasons.items()):
        print(f'   {name}: {count}')
    for name, figure in asdict(verdict).items():
        print(f'   {name:26}{figure:12.3f}')


def combine(verdicts: list[Verdict]) -> Verdict:
    """Sum up the counts, and take the worst of the other measures."""
    added = {
        name
        for name, figure in asdict(verdicts[0]).items()
        if isinstance(figure, int)
    } | {'unavailable_key_seconds'}
    total = Verdict()
    for name in asdict(total):
        figures = [getattr(each, name) for each in verdicts]
        if name in added:
            setattr(total, name, sum(figures))
        elif name == 'direct_share':
            setattr(total, name, min(figures))
        else:
            setattr(total, name, max(figures))
    return total


async def main() -> int:
    """Run both deployments and return the exit code."""
    folder = Path(tempfile.mkdtemp(prefix='plantaingrade-demo-'))
    verdicts = await asyncio.gather(
        run_deployment(lisbon(), folder / 'lisbon', 1),
        run_deployment(oslo(), folder / 'oslo', 2),
    )
    total = combine(list(verdicts))
    violated = total.violated_guarantees()
    if violated:
        print(f'Broken: {", ".join(violated)}; records are in {folder}')
    else:
        shutil.rmtree(folder)
    print(json.dumps(asdict(total)))
    return 1 if violated else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
