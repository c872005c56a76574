"""Runs one case and turns its result into the exit code of the script."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common.cluster import CannotRunError, Cluster

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
LIMIT_S = 115.0


def run(
    cluster: Cluster,
    play: Callable[[Cluster, bool], Awaitable[list[str]]],
    folder: str,
) -> None:
    """Play a case, which returns one line for each breach of the rule."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    code = asyncio.run(_async_run(cluster, play, Path(folder), has_trouble))
    sys.exit(code)


async def _async_run(
    cluster: Cluster,
    play: Callable[[Cluster, bool], Awaitable[list[str]]],
    folder: Path,
    has_trouble: bool,
) -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            breaches = await play(cluster, has_trouble)
    except (CannotRunError, TimeoutError, OSError) as error:
        print(f'could not run: {error!r}')
        cluster.record.write('could-not-run', why=repr(error))
        return COULD_NOT_RUN
    finally:
        cluster.stop()
        cluster.record.save(str(folder / 'record.txt'))
    for line in breaches:
        cluster.record.write('breach', what=line)
    cluster.record.save(str(folder / 'record.txt'))
    print(f'{len(cluster.record.sent)} requests, {len(breaches)} breaches')
    for line in breaches[:10]:
        print(line)
    return BROKEN if breaches else HELD
