"""Measure processor time of a process when idle and per request on each path.

Each process runs in a thread with a separate event loop, so its processor time
is measured without that of callers and stand-ins. Requests are sent at a
constant rate that is low enough for each one to be logged, as on the platform.
``--profile`` prints a profile of one process instead.
"""

import asyncio
import cProfile
import os
import pstats
import threading
import time
from collections import Counter
from functools import partial

import click
from msgspec.structs import replace

from bench.measure import MICROS
from plantaingrade.eventlog import EventLog
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import Pool
from plantaingrade.platform.wire import make_wire
from plantaingrade.sidecar.process import Process
from tests.sidecar.harness import HOST, KEYED, Harness, Node

NET = 46
SETTLE_S = 4.0
REST_S = 10.0
PAUSE_S = 1 / 120
LINES_SHOWN = 60
MODULES_SHOWN = 32
# Headers that callers send in addition to those of the platform.
CALLER_HEADERS = (
    ('user-agent', 'sdk-client/1.9.3'),
    ('accept', '*/*'),
    ('accept-encoding', 'identity'),
    ('cookie', 'lang=en; session=1982'),
)


class Host:
    """A thread that runs one process in a separate event loop."""

    def __init__(self, rig: Harness, place: Node, log: EventLog) -> None:
        """Start the thread."""
        self._rig = rig
        self._place = place
        self._log = log
        self._stop: asyncio.Event | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread = threading.Thread(target=self._run)
        self.began_s = 0.0
        self.profile = cProfile.Profile(time.thread_time)
        self._thread.start()

    @property
    def cpu_s(self) -> float:
        """Return the processor time that the thread has used."""
        number = time.pthread_getcpuclockid(self._thread.ident)
        return time.clock_gettime(number)

    def call(self, act) -> None:
        """Schedule a callback in the loop of the thread."""
        self._loop.call_soon_threadsafe(act)

    def end(self) -> None:
        """Stop the process and wait for its thread."""
        self.call(self._stop.set)
        self._thread.join()

    def _run(self) -> None:
        asyncio.run(self._async_run())

    async def _async_run(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        wire = make_wire(self._place.settings, self._rig.clock)
        place = self._place
        async with Process(
            place.settings, wire, self._rig.clock, self._log
        ) as process:
            place.process = process
            await self._stop.wait()


class CpuRig(Harness):
    """A test harness that runs each process in a thread."""

    def __init__(self, net: int) -> None:
        """Create a harness without processes."""
        super().__init__(net)
        self.hosts: list[Host] = []

    async def async_start(self, place: Node) -> None:
        """Start a process in a thread."""
        # An EventLog is not thread-safe, so each thread gets its own.
        sink = os.open(os.devnull, os.O_WRONLY)
        log = EventLog(place.settings.name, self.clock, sink)
        # Otherwise it would wait for leases of a previous run.
        place.settings = replace(place.settings, starts_with_all=True)
        self.hosts.append(Host(self, place, log))

    async def async_kill(self, place: Node) -> None:
        """Stop the thread."""
        host = self.hosts[self.nodes.index(place)]
        await asyncio.to_thread(host.end)

    def is_all_ready(self) -> bool:
        """Return whether all processes are started and all keys held."""
        started = all(place.process is not None for place in self.nodes)
        return started and self.is_every_key_held()


async def async_load(
    rig: CpuRig, pool: Pool, place: Node, key: int, count: int, method: str
) -> Counter[int]:
    """Send requests at a constant rate; return the count of each status."""
    statuses: Counter[int] = Counter()
    body = b'x' * 200 if method == 'POST' else b''
    path = '/cases/1' if method == 'POST' else '/read/1'

    async def async_one(number: int) -> None:
        headers = (
            ('attempt-id', f'{number:016x}'),
            ('deadline-ms', '1500'),
            ('shard-key', str(key)),
            *CALLER_HEADERS,
        )
        call = Call(method, place.callers, path, headers, body, HOST)
        statuses[(await fetch(pool, call)).status] += 1

    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(async_one(number))
            await asyncio.sleep(PAUSE_S)
    return statuses


async def async_measure(rig: CpuRig, name: str, act, per: int) -> None:
    """Print the processor time of each process per unit of a workload."""
    before = [host.cpu_s for host in rig.hosts]
    summary = await act()
    used_us = [
        (host.cpu_s - was) / per * MICROS
        for host, was in zip(rig.hosts, before, strict=True)
    ]
    row = ' '.join(f'{each:10.0f}' for each in used_us)
    print(f'{name:32}{row}   {summary or ""}')


async def async_profile(rig: CpuRig, act, number: int, order: str) -> None:
    """Print a profile of one process during a workload."""
    host = rig.hosts[number]
    host.call(host.profile.enable)
    await act()
    host.call(host.profile.disable)
    await asyncio.sleep(1)
    stats = pstats.Stats(host.profile)
    _print_modules(stats)
    stats.strip_dirs().sort_stats(order).print_stats(LINES_SHOWN)


def _print_modules(stats: pstats.Stats) -> None:
    """Print the share of time spent in the code of each module."""
    spent: Counter[str] = Counter()
    for (path, _, _), figures in stats.stats.items():
        spent['/'.join(path.rsplit('/', 2)[-2:])] += figures[2]
    whole = sum(spent.values())
    for module, seconds in spent.most_common(MODULES_SHOWN):
        print(f'{module:44}{seconds / whole:8.1%}')


async def async_main(
    count: int, profile: str, order: str, *, rests: bool
) -> None:
    """Measure all request paths, or profile one."""
    async with CpuRig(NET) as rig:
        for _ in range(2):
            await rig.async_add(KEYED)
        await rig.async_until(rig.is_all_ready)
        await asyncio.sleep(SETTLE_S)
        first, second = rig.nodes
        holds = first.process.holds
        if holds.find_own(0) is None:
            first, second = second, first
        pool = Pool(rig.clock, connect_timeout_s=SETTLE_S)
        load = partial(async_load, rig, pool)
        ways = {
            'own GET': partial(load, first, 0, count, 'GET'),
            'own POST': partial(load, first, 0, count, 'POST'),
            'forwarded GET': partial(load, second, 0, count, 'GET'),
            'forwarded POST': partial(load, second, 0, count, 'POST'),
        }
        order_of_hosts = [rig.nodes.index(first), rig.nodes.index(second)]
        rig.hosts = [rig.hosts[number] for number in order_of_hosts]
        rig.nodes = [first, second]
        if profile:
            who, _, way = profile.partition(' ')
            await async_profile(rig, ways[way], int(who == 'caller'), order)
        else:
            print(f'{"us of processor":32}{"owner":>10}{"other":>11}')
            for name, act in ways.items():
                await async_measure(rig, f'{name}, a request', act, count)
            if rests:
                rest = partial(asyncio.sleep, REST_S)
                await async_measure(rig, 'rest, a second', rest, int(REST_S))
        pool.close()


@click.command()
@click.option('--count', type=int, default=1200)
@click.option('--profile', default='', help="'owner own GET' or the like.")
@click.option('--order', default='tottime')
@click.option('--rests/--no-rests', default=True)
def main(count: int, profile: str, order: str, rests: bool) -> None:
    """Measure processor time."""
    asyncio.run(async_main(count, profile, order, rests=rests))


if __name__ == '__main__':
    main()
