"""Simulate a deployment under several policies and compare the results."""

import asyncio
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path

import click

from lab.callers import Callers
from lab.deployment import DeploymentError, read_deployment
from lab.faults import FaultInjector
from lab.policies import POLICY_BY_NAME, PRESENT
from lab.simulation import Simulation
from lab.statistics import Statistics, shares_by_kind
from tests.virtual import run

EXIT_BAD_INPUT = 2
RESULT_NAMES = (
    'in-time',
    'late',
    'refused',
    'refused-again',
    'failed',
    'too-late',
    'lost-beside-room',
)


def simulate(path: str, policy: str, seed: int) -> dict:
    """Simulate a deployment once and return the figures."""
    deployment = read_deployment(Path(path))
    statistics = Statistics()

    async def scenario() -> Simulation:
        simulation = Simulation(
            deployment, POLICY_BY_NAME[policy], statistics, seed
        )
        tasks = [
            asyncio.create_task(each.balance.async_run())
            for each in simulation.instances
            if each.service.is_keyed
        ]
        tasks.append(asyncio.create_task(FaultInjector(simulation).async_run()))
        await Callers(simulation, statistics).async_run()
        for task in tasks:
            task.cancel()
        return simulation

    with POLICY_BY_NAME[policy].applied():
        simulation = run(scenario())
    holds = [each.holds for each in simulation.instances]
    return {
        'policy': policy,
        'seed': seed,
        'worth': statistics.worth(),
        'served': statistics.served(),
        'nines': statistics.nines(),
        'questions': simulation.polls,
        'moves': sum(each.moves_done for each in holds),
        'moves_failed': sum(each.moves_failed for each in holds),
        'kinds': shares_by_kind(statistics.count_by_kind),
        'calls': shares_by_kind(statistics.calls_by_kind),
    }


@click.command()
@click.argument('paths', nargs=-1, required=True)
@click.option('--seeds', default=3, help='Simulations of each policy.')
@click.option(
    '--policy',
    'policies',
    multiple=True,
    type=click.Choice(sorted(POLICY_BY_NAME)),
    help='Repeatable; the present policy by default.',
)
@click.option('--jobs', default=4, help='Simulations run at the same time.')
@click.option('--json', 'as_json', is_flag=True)
def compare(
    paths: tuple[str, ...],
    seeds: int,
    policies: tuple[str, ...],
    jobs: int,
    as_json: bool,
) -> None:
    """Compare policies on deployments, each with the same seeds."""
    try:
        for path in paths:
            read_deployment(Path(path))
    except DeploymentError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_INPUT)
    runs = list(product(paths, policies or (PRESENT,), range(1, seeds + 1)))
    with ProcessPoolExecutor(jobs) as pool:
        figures_by_run = list(pool.map(simulate, *zip(*runs, strict=True)))
    if as_json:
        click.echo(json.dumps(figures_by_run))
        return
    for (path, _, _), figures in zip(runs, figures_by_run, strict=True):
        _print_figures(Path(path).stem, figures)


def _print_figures(name: str, figures: dict) -> None:
    """Print the figures of one simulation."""
    click.echo(
        f'{name} {figures["policy"]} seed {figures["seed"]}: worth '
        f'{figures["worth"]:.3f}, served {figures["served"]:.3f}, nines '
        f'{figures["nines"]:.3f}, moves {figures["moves"]} '
        f'(failed {figures["moves_failed"]})'
    )
    for kind, shares in figures['kinds'].items():
        columns = ', '.join(
            f'{result_name} {shares.get(result_name, 0.0):.3f}'
            for result_name in RESULT_NAMES
        )
        click.echo(f'  {kind}: {columns}')
    for kind, shares in figures['calls'].items():
        click.echo(f'  {kind} (calls): served {shares.get("served", 0):.3f}')


if __name__ == '__main__':
    compare()
