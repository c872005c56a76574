"""Make a schedule's faults happen, and put them right again."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from soak.schedule import Step, Trouble
from soak.strangers import async_put_row, async_report
from soak.verdict import Pause
from soak.cluster import Instance, Cluster, router_name, server_name

RESTART_S = 0.3
RELAY_DELAY_S = 0.15
SIGNAL_BY_TROUBLE = {
    Trouble.KILL_ROUTER: signal.SIGKILL,
    Trouble.STOP_ROUTER: signal.SIGTERM,
    Trouble.KILL_SERVER: signal.SIGKILL,
    Trouble.DRAIN_SERVER: signal.SIGTERM,
    Trouble.RESTART_SERVER: signal.SIGKILL,
}
# Of a step's length, the share for which its process is down. What starts
# again at once is back between two renewals of its grants.
DOWN_SHARE = 0.5
DOWN_SHARE_AT_ONCE = 0.05
# Time for which a store is away before it comes back from a copy, as a share of
# what the copy lacks.
AWAY_SHARE = 0.3
# Time until the operator has noticed, and writes again.
REWRITE_S = 0.4
LOSSES = {'lost': 0.3, 'late': 0.3}


class Troubles:
    """Play the steps of one run."""

    def __init__(self, cluster: Cluster) -> None:
        """Start with nothing wrong."""
        self._cluster = cluster
        self._version = 1
        self._count_by_fault: dict[tuple[str, str], int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self.pauses: list[Pause] = []

    async def async_play(self, steps: list[Step]) -> None:
        """Play all steps at their times, then wait for their ends."""
        began = self._cluster.clock.now()
        for step in steps:
            wait_s = began + step.at - self._cluster.clock.now()
            await asyncio.sleep(max(0.0, wait_s))
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._async_step(step))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _async_step(self, step: Step) -> None:
        await self._work_of(self._cluster.instances[step.spot], step)

    def _work_of(
        self, instance: Instance, step: Step
    ) -> Coroutine[Any, Any, None]:
        """Return what makes a step's fault happen and ends it."""
        match step.trouble:
            case Trouble.KILL_ROUTER | Trouble.STOP_ROUTER:
                return self._async_restart(
                    router_name(instance),
                    step,
                    lambda: self._cluster.start_router(instance),
                )
            case (
                Trouble.KILL_SERVER
                | Trouble.DRAIN_SERVER
                | Trouble.RESTART_SERVER
            ):
                keeps_id = step.trouble is Trouble.RESTART_SERVER
                return self._async_restart(
                    server_name(instance),
                    step,
                    lambda: self._cluster.start_server(
                        instance, keeps_id=keeps_id
                    ),
                )
            case Trouble.PAUSE_ROUTER | Trouble.PAUSE_SERVER:
                return self._async_pause(instance, step)
            case (
                Trouble.CUT
                | Trouble.MUTE
                | Trouble.SLOW_LINK
                | Trouble.SILENCE
                | Trouble.RESET
            ):
                return self._async_harm_link(instance, step)
            case Trouble.STRANGE_REPORT:
                return async_report(
                    self._cluster, instance, random.Random(step.at)
                )
            case Trouble.STRANGE_ROW:
                return async_put_row(
                    self._cluster, instance, random.Random(step.at)
                )
            case Trouble.STORE_GOES_BACK:
                return self._async_lose_rows(step)
            case Trouble.POWER_OFF:
                return self._async_power_off(step)
        return self._async_harm_store(instance, step)

    async def _async_restart(
        self, name: str, step: Step, start: Callable[[], None]
    ) -> None:
        if not self._take(name):
            return
        is_at_once = step.trouble is Trouble.RESTART_SERVER
        share = DOWN_SHARE_AT_ONCE if is_at_once else DOWN_SHARE
        self._cluster.signal(name, SIGNAL_BY_TROUBLE[step.trouble])
        while self._cluster.runs(name):
            await asyncio.sleep(RESTART_S)
        await asyncio.sleep(step.for_s * share)
        start()
        self._busy.discard(name)

    async def _async_power_off(self, step: Step) -> None:
        """End every process and server that is not down already."""
        start_by_name: dict[str, Callable[[], None]] = {}
        for instance in self._cluster.instances:
            routers = partial(self._cluster.start_router, instance)
            servers = partial(self._cluster.start_server, instance)
            start_by_name[router_name(instance)] = routers
            start_by_name[server_name(instance)] = servers
        taken = [name for name in start_by_name if self._take(name)]
        for name in taken:
            self._cluster.signal(name, signal.SIGKILL)
        await asyncio.sleep(RESTART_S + step.for_s * DOWN_SHARE)
        for name in taken:
            start_by_name[name]()
            self._busy.discard(name)

    async def _async_pause(self, instance: Instance, step: Step) -> None:
        is_router = step.trouble is Trouble.PAUSE_ROUTER
        name = router_name(instance) if is_router else server_name(instance)
        if not self._take(name):
            return
        began = self._cluster.clock.now()
        self._cluster.signal(name, signal.SIGSTOP)
        await asyncio.sleep(step.for_s)
        self._cluster.signal(name, signal.SIGCONT)
        ended = self._cluster.clock.now()
        self.pauses.append(Pause(instance.number, began, ended, not is_router))
        self._busy.discard(name)

    async def _async_harm_link(self, instance: Instance, step: Step) -> None:
        kind = step.trouble.value
        if step.trouble in {Trouble.SILENCE, Trouble.RESET}:
            await self._cluster.async_link(**{kind: [instance.ip]})
            return
        self._count(kind, instance.ip, 1)
        await self._async_send_links()
        await asyncio.sleep(step.for_s)
        self._count(kind, instance.ip, -1)
        await self._async_send_links()

    async def _async_send_links(self) -> None:
        slow = self._hosts(Trouble.SLOW_LINK.value)
        await self._cluster.async_link(
            cut_hosts=self._hosts(Trouble.CUT.value),
            mute_hosts=self._hosts(Trouble.MUTE.value),
            delay_s=dict.fromkeys(slow, RELAY_DELAY_S),
        )

    async def _async_harm_store(self, instance: Instance, step: Step) -> None:
        if step.trouble is Trouble.CONFIGURE:
            self._version += 1
            await self._cluster.async_configure(self._version)
            return
        begin, end = _store_orders(instance, step)
        await self._cluster.async_order(self._cluster.store, begin)
        if end:
            await asyncio.sleep(step.for_s)
            await self._cluster.async_order(self._cluster.store, end)

    async def _async_lose_rows(self, step: Step) -> None:
        """Have the store come back from a copy; the operator writes again."""
        orders = (
            ({'copy': True}, step.for_s),
            ({'outage': step.variant}, step.for_s * AWAY_SHARE),
            ({'outage': 'none', 'come_back': True}, REWRITE_S),
        )
        for order, pause_s in orders:
            await self._cluster.async_order(self._cluster.store, order)
            await asyncio.sleep(pause_s)
        self._cluster.store_epoch += 1
        await self._cluster.async_configure(self._version)

    def _hosts(self, kind: str) -> list[str]:
        return [
            host
            for (fault, host), count in self._count_by_fault.items()
            if fault == kind and count > 0
        ]

    def _count(self, kind: str, host: str, change: int) -> None:
        known = self._count_by_fault.get((kind, host), 0)
        self._count_by_fault[(kind, host)] = known + change

    def _take(self, name: str) -> bool:
        """Have one fault at a time do something to a process."""
        if name in self._busy:
            return False
        self._busy.add(name)
        return True


def _store_orders(instance: Instance, step: Step) -> tuple[dict, dict]:
    """Return the orders that begin and end a fault of the store."""
    sound = {'outage': 'none'}
    match step.trouble:
        case Trouble.STORE_AWAY:
            return {'outage': step.variant}, sound
        case Trouble.STORE_AWAY_FOR_ONE:
            host = {'host': instance.known_ip}
            return {**host, 'outage': step.variant}, {**host, **sound}
        case Trouble.STORE_LOSES:
            return {**sound, **LOSSES}, sound
    return {'forget': True}, {}
