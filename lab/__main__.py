"""Play a deployment against policies, and compare what callers got."""

import asyncio
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from lab.callers import Callers
from lab.deployment import DeploymentError, load
from lab.policies import POLICY_BY_NAME
from lab.tally import Tally
from lab.troubles import Troubles
from lab.world import World
from tests.virtual import run

EXIT_BAD_INPUT = 2
WORDS = ('in-time', 'late', 'refused', 'refused-again', 'failed', 'too-late')


def play(path: str, policy: str, seed: int) -> dict:
    """Return the figures of one play."""
    deployment = load(Path(path))
    tally = Tally()

    async def story() -> World:
        world = World(deployment, POLICY_BY_NAME[policy], tally, seed)
        tasks = [
            asyncio.create_task(each.balance.async_run())
            for each in world.instances
            if each.service.is_keyed
        ]
        tasks.append(asyncio.create_task(Troubles(world).async_run()))
        await Callers(world, tally).async_run()
        for task in tasks:
            task.cancel()
        return world

    world = run(story())
    kinds = {
        name: {word: round(shares.get(word, 0.0), 4) for word in shares}
        for name, shares in tally.rows()
    }
    calls = {
        name: {word: count[word] / count['asked'] for word in count}
        for name, count in tally.calls_by_kind.items()
    }
    holds = [each.holds for each in world.instances]
    return {
        'policy': policy,
        'seed': seed,
        'worth': tally.worth(),
        'served': tally.served(),
        'nines': tally.nines(),
        'questions': world.questions,
        'moves': sum(each.moves_done for each in holds),
        'moves_failed': sum(each.moves_failed for each in holds),
        'kinds': kinds,
        'calls': calls,
    }


@click.command()
@click.argument('paths', nargs=-1, required=True)
@click.option('--seeds', default=3, help='Plays of each policy.')
@click.option(
    '--policy',
    'policies',
    multiple=True,
    type=click.Choice(sorted(POLICY_BY_NAME)),
    help='May be given several times; all by default.',
)
@click.option('--jobs', default=4, help='Plays at a time.')
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
            load(Path(path))
    except DeploymentError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_INPUT)
    plays = [
        (path, policy, seed)
        for path in paths
        for policy in policies or POLICY_BY_NAME
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(play, *zip(*plays, strict=True)))
    if as_json:
        click.echo(json.dumps(results))
        return
    for (path, policy, seed), found in zip(plays, results, strict=True):
        click.echo(
            f'{Path(path).stem} {policy} seed {seed}: worth '
            f'{found["worth"]:.3f}, served {found["served"]:.3f}, nines '
            f'{found["nines"]:.3f}, moves {found["moves"]} '
            f'(failed {found["moves_failed"]})'
        )
        for name, shares in found['kinds'].items():
            told = ', '.join(
                f'{word} {shares.get(word, 0.0):.3f}' for word in WORDS
            )
            click.echo(f'  {name}: {told}')
        for name, shares in found['calls'].items():
            click.echo(f'  {name} (calls): served {shares["served"]:.3f}')


if __name__ == '__main__':
    compare()
