"""Measure start time and memory of the single-file binary."""

import asyncio
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from time import perf_counter

from bench.failover import ask
from bench.measure import resident_mb
from plantaingrade.clock import BootClock
from plantaingrade.http.pool import Pool
from tools.binary import TARGET

HOST = '127.51.0.1'
TABLE = '127.51.0.2:9000'
STORE = '127.51.0.2:9001'


async def main() -> None:
    """Run the binary until it answers, and print metrics of its process."""
    pool = Pool(BootClock())
    with tempfile.TemporaryDirectory() as folder:
        platform = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'standins.platform',
                f'--table={TABLE}',
                f'--objects={STORE}',
            ],
        )
        await asyncio.sleep(1.5)
        started_at = perf_counter()
        process = subprocess.Popen(
            [
                sys.executable,
                '-S',
                str(TARGET),
                'run',
                '--server=s1',
                '--service=casebook',
                '--zone=z1',
                f'--http={HOST}:7000',
                f'--udp={HOST}:7001',
                f'--rpc={HOST}:7002',
                f'--backend={HOST}:8000',
                f'--table={TABLE}',
                f'--objects={STORE}',
                '--slots=6',
                '--dialect=status',
                '--no-checks-fence',
            ],
            cwd=folder,
        )
        try:
            while not await ask(pool, f'{HOST}:7000', '/-/status'):
                await asyncio.sleep(0.01)
            metrics = {
                'start_s': perf_counter() - started_at,
                'resident_mb': resident_mb(process.pid),
                'children': _children(process.pid),
                'files_left': len(list(Path(folder).iterdir())),
                'bytes': TARGET.stat().st_size,
            }
        finally:
            _stop(process, platform)
    print(json.dumps(metrics))


def _stop(*processes: subprocess.Popen[bytes]) -> None:
    for process in processes:
        process.kill()
        process.wait()


def _children(pid: int) -> int:
    tasks = Path(f'/proc/{pid}/task')
    return sum(
        len((task / 'children').read_text().split()) for task in tasks.iterdir()
    )


if __name__ == '__main__':
    asyncio.run(main())
