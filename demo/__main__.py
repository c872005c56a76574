"""Run both deployments under load and faults; print a report."""

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
    Run,
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
class Story:
    """What was done to one deployment, and when."""

    steady: tuple[float, float] = (0.0, 0.0)
    killed_at: dict[str, float] = field(default_factory=dict)
    drained: dict[str, tuple[float, float]] = field(default_factory=dict)
    ended_at: float = 0.0
    notes: list[str] = field(default_factory=list)


async def play(cluster: Cluster, callers: Callers) -> Story:
    """Kill, drain, freeze, cut off, silence a server; kill in an outage."""
    story = Story()
    now = callers.clock.now
    servers = cluster.deployment.servers
    await asyncio.sleep(2)
    began = now()
    await asyncio.sleep(8)
    story.steady = (began, now())
    await _kill(cluster, story, servers[0], now(), 'with its process')
    await asyncio.sleep(6)
    await _drain(cluster, story, callers, servers[1])
    await asyncio.sleep(3)
    await _freeze(cluster, story, servers[3])
    await asyncio.sleep(4)
    await _cut(cluster, story, servers[4])
    await asyncio.sleep(4)
    await _silence(cluster, story, servers[5])
    await asyncio.sleep(4)
    await cluster.async_order(cluster.deployment.table, {'down': True})
    await asyncio.sleep(2)
    await _kill(cluster, story, servers[2], now(), 'while the table is down')
    await asyncio.sleep(5)
    await cluster.async_order(cluster.deployment.table, {'down': False})
    await asyncio.sleep(5)
    callers.stop()
    story.ended_at = now()
    return story


async def _kill(
    cluster: Cluster,
    story: Story,
    server: ServerSpec,
    at: float,
    how: str,
) -> None:
    name = server.name
    cluster.signal(f'backend {name}', signal.SIGKILL)
    cluster.signal(f'node {name}', signal.SIGKILL)
    story.killed_at[name] = at
    order = {'refused': [f'{server.host}:{port}' for port in (7000, 7002)]}
    await cluster.async_order(cluster.deployment.network, order)
    story.notes.append(f'killed {name} {how}')


async def _freeze(cluster: Cluster, story: Story, server: ServerSpec) -> None:
    names = (f'node {server.name}', f'backend {server.name}')
    for name in names:
        cluster.signal(name, signal.SIGSTOP)
    await asyncio.sleep(FAULT_S)
    for name in names:
        cluster.signal(name, signal.SIGCONT)
    story.notes.append(f'froze {server.name} for {FAULT_S} s')


async def _cut(cluster: Cluster, story: Story, server: ServerSpec) -> None:
    network = cluster.deployment.network
    await cluster.async_order(network, {'cut_hosts': [server.host]})
    await asyncio.sleep(FAULT_S)
    await cluster.async_order(network, {})
    story.notes.append(f'cut {server.name} off for {FAULT_S} s')


async def _silence(
    cluster: Cluster,
    story: Story,
    server: ServerSpec,
) -> None:
    network = cluster.deployment.network
    await cluster.async_order(network, {'silence': [server.host]})
    story.notes.append(f'silenced the open connections of {server.name}')


async def _drain(
    cluster: Cluster,
    story: Story,
    callers: Callers,
    server: ServerSpec,
) -> None:
    name = server.name
    began = callers.clock.now()
    cluster.signal(f'node {name}', signal.SIGTERM)
    # The relay must not accept what the process no longer does.
    await asyncio.sleep(RELAY_CLOSES_S)
    order = {'refused': [f'{server.host}:7000']}
    await cluster.async_order(cluster.deployment.network, order)
    code = await cluster.async_wait_exit(f'node {name}', DRAIN_LIMIT_S)
    ended = callers.clock.now()
    story.drained[name] = (began, ended)
    cluster.signal(f'backend {name}', signal.SIGTERM)
    story.notes.append(
        f'drained {name} in {ended - began:.2f} s, exit code {code}',
    )


async def run_deployment(
    deployment: Deployment,
    folder: Path,
    seed: int,
) -> Verdict:
    """Run one deployment from start to verdict."""
    folder.mkdir()
    with Cluster(deployment, folder) as cluster:
        await cluster.async_declare()
        await cluster.async_wait_ready()
        callers = Callers(deployment, seed)
        load = asyncio.ensure_future(callers.async_run(WORKERS, RATE))
        story = await play(cluster, callers)
        await load
    lines = [json.dumps(asdict(each)) for each in callers.told]
    (folder / 'callers.txt').write_text('\n'.join(lines))
    (folder / 'story.txt').write_text(json.dumps(asdict(story)))
    runs = read_runs(folder)
    verdict = judge(deployment, callers, runs, story)
    report(deployment, callers, story, verdict)
    return verdict


def judge(
    deployment: Deployment,
    callers: Callers,
    runs: list[Run],
    story: Story,
) -> Verdict:
    """Compare both sides' records."""
    told = callers.told
    ran = {run.request_id for run in runs}
    answered = [each for each in told if each.outcome == 'answered']
    gaps = key_gaps(told, story.ended_at)
    p50, p99 = percentiles(told)
    moved = {each.slice_id for each in told if each.slice_id}
    owners = {
        slice_id: {
            each.server for each in answered if each.slice_id == slice_id
        }
        for slice_id in moved
    }
    direct = [each for each in answered if each.owner == each.contacted]
    return Verdict(
        requests=len(told),
        answered=len(answered),
        not_run=sum(each.outcome == 'not-run' for each in told),
        unknown=sum(each.outcome == 'unknown' for each in told),
        wrong_answers=sum(not each.whole for each in told)
        + sum(each.outcome == 'none' for each in told)
        + sum(each.request_id not in ran for each in answered),
        two_owners=count_two_owners(runs, story.killed_at),
        ran_twice=count_ran_twice(runs),
        not_run_but_ran=sum(
            each.outcome == 'not-run' and each.request_id in ran
            for each in told
        ),
        cut_off_by_drain=count_cut_off(
            [
                (server.name, server.http, *story.drained[server.name])
                for server in deployment.servers
                if server.name in story.drained
            ],
            runs,
            told,
        ),
        unavailable_key_seconds=sum(map(sum, gaps.values())),
        longest_key_gap_s=max(map(max, gaps.values()), default=0.0),
        imbalance=imbalance(deployment, runs, story.steady),
        churn=sum(len(each) - 1 for each in owners.values()) / len(owners),
        direct_share=len(direct) / len(answered),
        p50_ms=p50,
        p99_ms=p99,
    )


def report(
    deployment: Deployment,
    callers: Callers,
    story: Story,
    verdict: Verdict,
) -> None:
    """Print what happened, for people."""
    print(f'== {deployment.name}')
    for note in story.notes:
        print(f'   {note}')
    reasons: dict[str, int] = {}
    for each in callers.told:
        if each.outcome != 'answered':
            name = f'{each.outcome} ({each.reason})'
            reasons[name] = reasons.get(name, 0) + 1
    for name, count in sorted(reasons.items()):
        print(f'   {name}: {count}')
    for name, figure in asdict(verdict).items():
        print(f'   {name:26}{figure:12.3f}')


def combine(verdicts: list[Verdict]) -> Verdict:
    """Add counts up, and take the worst of the other measures."""
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
    broken = total.broken_promises()
    if broken:
        print(f'Broken: {", ".join(broken)}; records are in {folder}')
    else:
        shutil.rmtree(folder)
    print(json.dumps(asdict(total)))
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
