"""Injects the faults of a schedule and ends them."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from soak.config_check import CONTACT_S, Disturbances, async_count_old
from soak.cluster import Cluster, Instance, router_name, server_name
from soak.felt import FeltFaults
from soak.malformed import async_put_row, async_send_report
from soak.schedule import FaultKind, Step
from soak.verdict import Pause
from standins.endless import Endless
from standins.shared_store import Outage

RESTART_S = 0.3
# Refusals that a server sends twice, and share of its answers without end.
COPIES = 30
ENDLESS_SHARE = 0.3
RELAY_DELAY_S = 0.15
SIGNAL_BY_KIND = {
    FaultKind.KILL_ROUTER: signal.SIGKILL,
    FaultKind.STOP_ROUTER: signal.SIGTERM,
    FaultKind.KILL_SERVER: signal.SIGKILL,
    FaultKind.DRAIN_SERVER: signal.SIGTERM,
    FaultKind.RESTART_SERVER: signal.SIGKILL,
}
# Part of a step's length for which its process is down. An immediate restart
# fits between two renewals of the server's grants.
DOWN_SHARE = 0.5
DOWN_SHARE_IMMEDIATE = 0.05
# Outage of the store before it is restored, relative to the time for which
# writes are lost.
OUTAGE_SHARE = 0.3
# Time until the operator notices and writes the configuration again.
REWRITE_S = 0.4
LOSSES = {'lost': 0.3, 'late': 0.3}
# Limits that a server names one after the other, in requests per second.
LIMITS = ('4', '0.5', '9', 'nan', '0')
# Times of a step for which a server names limits, and at least for which one
# that says that it leaves still serves.
LIMIT_LENGTHS = 3
MIN_LEAVING_S = 4.0


class FaultInjector:
    """Executes the steps of one run."""

    def __init__(self, cluster: Cluster) -> None:
        """Create an injector without active faults."""
        self._cluster = cluster
        self._config_version = 1
        self._count_by_fault: dict[tuple[str, str], int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self._disturbances = Disturbances()
        self.felt = FeltFaults()
        self.old_configs = 0
        self.config_checks = 0
        self.pauses: list[Pause] = []
        self.restarts: list[Pause] = []

    async def async_execute(self, steps: list[Step]) -> None:
        """Execute all steps at their times and wait for their ends."""
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
        instance = self._cluster.instances[step.spot]
        if step.trouble is FaultKind.CONFIGURE:
            await self._async_configure()
            return
        self._disturbances.begin()
        await self._make_fault(instance, step)
        self._disturbances.end(self._cluster.clock.now())
        if step.trouble is FaultKind.STORE_LOSES_WAITS:
            await self._async_check_config()

    async def _async_check_config(self) -> None:
        """Ask for the newest route, if no other fault disturbs that."""
        version = self._config_version
        await asyncio.sleep(CONTACT_S)
        is_newest = version == self._config_version
        if is_newest and self._disturbances.are_over(self._cluster.clock.now()):
            self.config_checks += 1
            self.old_configs += await async_count_old(self._cluster, version)

    def _make_fault(
        self, instance: Instance, step: Step
    ) -> Coroutine[Any, Any, None]:
        """Return the coroutine that injects a step's fault and ends it."""
        match step.trouble:
            case FaultKind.KILL_ROUTER | FaultKind.STOP_ROUTER:
                return self._async_restart(
                    router_name(instance),
                    step,
                    lambda: self._cluster.start_router(instance),
                )
            case (
                FaultKind.KILL_SERVER
                | FaultKind.DRAIN_SERVER
                | FaultKind.RESTART_SERVER
            ):
                keeps_id = step.trouble is FaultKind.RESTART_SERVER
                return self._async_restart(
                    server_name(instance),
                    step,
                    lambda: self._cluster.start_server(
                        instance, keeps_id=keeps_id
                    ),
                )
            case FaultKind.PAUSE_ROUTER | FaultKind.PAUSE_SERVER:
                return self._async_pause(instance, step)
            case (
                FaultKind.CUT
                | FaultKind.MUTE
                | FaultKind.SLOW_LINK
                | FaultKind.SILENCE
                | FaultKind.RESET
            ):
                return self._async_impair_link(instance, step)
            case FaultKind.MALFORMED_REPORT:
                return async_send_report(
                    self._cluster, instance, random.Random(step.at)
                )
            case FaultKind.MALFORMED_ROW:
                return async_put_row(
                    self._cluster, instance, random.Random(step.at)
                )
            case FaultKind.STORE_RESTORED:
                return self._async_lose_rows(step)
            case FaultKind.POWER_OFF:
                return self._async_power_off(step)
            case FaultKind.NAME_LIMIT:
                return self._async_name_limits(instance, step)
            case FaultKind.TELL_LEAVING:
                return self._async_tell_leaving(instance, step)
            case FaultKind.LATE_COPIES | FaultKind.ENDLESS_ANSWERS:
                return self._async_garble(instance, step)
        return self._async_impair_store(instance, step)

    async def _async_restart(
        self, name: str, step: Step, start: Callable[[], None]
    ) -> None:
        if not self._reserve(name):
            return
        is_immediate = step.trouble is FaultKind.RESTART_SERVER
        share = DOWN_SHARE_IMMEDIATE if is_immediate else DOWN_SHARE
        began = self._cluster.clock.now()
        self._cluster.signal(name, SIGNAL_BY_KIND[step.trouble])
        while self._cluster.runs(name):
            await asyncio.sleep(RESTART_S)
        await asyncio.sleep(step.for_s * share)
        start()
        if name == router_name(self._cluster.instances[step.spot]):
            self._record_restart(step.spot, began)
        self._busy.discard(name)

    def _record_restart(self, spot: int, began: float) -> None:
        ended = self._cluster.clock.now()
        self.restarts.append(Pause(spot, began, ended))

    async def _async_name_limits(self, instance: Instance, step: Step) -> None:
        name = server_name(instance)
        if not self._reserve(name):
            return
        for limit in LIMITS[: 1 + int(step.for_s)]:
            command = {'limit': limit}
            await self._cluster.async_send_command(instance.server, command)
            await asyncio.sleep(step.for_s * LIMIT_LENGTHS / len(LIMITS))
        await self._cluster.async_send_command(instance.server, {'limit': ''})
        self._busy.discard(name)

    async def _async_tell_leaving(self, instance: Instance, step: Step) -> None:
        """Let a server leave that reports nothing but in its answers."""
        name = server_name(instance)
        if not self._reserve(name):
            return
        command = {'leaving': True}
        await self._cluster.async_send_command(instance.server, command)
        await asyncio.sleep(MIN_LEAVING_S + step.for_s)
        self._cluster.signal(name, signal.SIGKILL)
        while self._cluster.runs(name):
            await asyncio.sleep(RESTART_S)
        self._cluster.start_server(instance)
        self._busy.discard(name)

    async def _async_power_off(self, step: Step) -> None:
        """Kill every process and server that no other fault has reserved."""
        start_by_name: dict[str, Callable[[], None]] = {}
        for instance in self._cluster.instances:
            start_router = partial(self._cluster.start_router, instance)
            start_server = partial(self._cluster.start_server, instance)
            start_by_name[router_name(instance)] = start_router
            start_by_name[server_name(instance)] = start_server
        reserved = [name for name in start_by_name if self._reserve(name)]
        for name in reserved:
            self._cluster.signal(name, signal.SIGKILL)
        began = self._cluster.clock.now()
        await asyncio.sleep(RESTART_S + step.for_s * DOWN_SHARE)
        for name in reserved:
            start_by_name[name]()
            self._busy.discard(name)
        for instance in self._cluster.instances:
            self._record_restart(instance.number, began)

    async def _async_pause(self, instance: Instance, step: Step) -> None:
        is_router = step.trouble is FaultKind.PAUSE_ROUTER
        name = router_name(instance) if is_router else server_name(instance)
        if not self._reserve(name):
            return
        began = self._cluster.clock.now()
        self._cluster.signal(name, signal.SIGSTOP)
        await asyncio.sleep(step.for_s)
        self._cluster.signal(name, signal.SIGCONT)
        ended = self._cluster.clock.now()
        self.pauses.append(Pause(instance.number, began, ended, not is_router))
        self._busy.discard(name)

    async def _async_impair_link(self, instance: Instance, step: Step) -> None:
        kind = step.trouble.value
        if step.trouble in {FaultKind.SILENCE, FaultKind.RESET}:
            await self._cluster.async_update_links(**{kind: [instance.ip]})
            return
        self._count_fault(kind, instance.ip, 1)
        await self._async_send_links()
        await asyncio.sleep(step.for_s)
        self._count_fault(kind, instance.ip, -1)
        await self._async_send_links()

    async def _async_send_links(self) -> None:
        slow = self._affected_hosts(FaultKind.SLOW_LINK.value)
        await self._cluster.async_update_links(
            cut_hosts=self._affected_hosts(FaultKind.CUT.value),
            mute_hosts=self._affected_hosts(FaultKind.MUTE.value),
            delay_s=dict.fromkeys(slow, RELAY_DELAY_S),
        )

    async def _async_garble(self, instance: Instance, step: Step) -> None:
        """Let a server send more than one answer to each request."""
        begin, end = _server_commands(step)
        send = partial(self._cluster.async_send_command, instance.server)
        kind = step.trouble.value
        target = partial(self._find_target, server_name(instance))
        async with self.felt.watch(kind, step.for_s, partial(send, {}), target):
            await send(begin)
            await asyncio.sleep(step.for_s)
            await send(end)

    async def _async_configure(self) -> None:
        self._config_version += 1
        await self._cluster.async_configure(self._config_version)

    async def _async_impair_store(self, instance: Instance, step: Step) -> None:
        begin, end = _store_commands(instance, step)
        send = partial(self._cluster.async_send_command, self._cluster.store)
        if not end:
            await send(begin)
            return
        is_outage = begin['outage'] != Outage.NONE
        kind = step.trouble.value
        hit = partial(send, {'felt_by': begin.get('host', '')})
        target = partial(self._find_target, router_name(instance))
        async with self.felt.watch(kind, step.for_s * is_outage, hit, target):
            await send(begin)
            await self._async_wait_out(step)
            await send(end)

    async def _async_wait_out(self, step: Step) -> None:
        await asyncio.sleep(step.for_s / 2)
        if step.trouble is FaultKind.STORE_LOSES_WAITS:
            await self._async_configure()
        await asyncio.sleep(step.for_s / 2)

    async def _async_lose_rows(self, step: Step) -> None:
        """Restore the store from a snapshot; the operator then writes again."""
        commands = (
            ({'copy': True}, step.for_s),
            ({'outage': step.variant}, step.for_s * OUTAGE_SHARE),
            ({'outage': 'none', 'come_back': True}, REWRITE_S),
        )
        for command, pause_s in commands:
            await self._cluster.async_send_command(self._cluster.store, command)
            await asyncio.sleep(pause_s)
        self._cluster.store_epoch += 1
        await self._cluster.async_configure(self._config_version)

    def _affected_hosts(self, kind: str) -> list[str]:
        return [
            host
            for (fault, host), count in self._count_by_fault.items()
            if fault == kind and count > 0
        ]

    def _count_fault(self, kind: str, host: str, change: int) -> None:
        count = self._count_by_fault.get((kind, host), 0)
        self._count_by_fault[(kind, host)] = count + change

    def _find_target(self, name: str) -> int | None:
        """Return the id of a process, None while another fault has it."""
        return None if name in self._busy else self._cluster.pid(name)

    def _reserve(self, name: str) -> bool:
        """Reserve a process for one fault; return False if it has one."""
        if name in self._busy:
            return False
        self._busy.add(name)
        return True


def _server_commands(step: Step) -> tuple[dict, dict]:
    """Return the commands that start and end a fault of a server's answers."""
    if step.trouble is FaultKind.LATE_COPIES:
        return (
            {'refuse': COPIES, 'late_copies': COPIES},
            {'refuse': 0, 'late_copies': 0},
        )
    kinds = [kind for kind in Endless if kind is not Endless.NONE]
    kind = random.Random(step.at).choice(kinds)
    return {'endless': kind, 'share': ENDLESS_SHARE}, {'endless': Endless.NONE}


def _store_commands(instance: Instance, step: Step) -> tuple[dict, dict]:
    """Return the commands that start and end a fault of the store."""
    healthy = {'outage': 'none'}
    match step.trouble:
        case FaultKind.STORE_OUTAGE:
            return {'outage': step.variant}, healthy
        case FaultKind.STORE_OUTAGE_FOR_ONE:
            host = {'host': instance.known_ip}
            return {**host, 'outage': step.variant}, {**host, **healthy}
        case FaultKind.STORE_LOSES_WAITS:
            return {'outage': 'lost'}, healthy
        case FaultKind.STORE_LOSES_ANSWERS:
            return {**healthy, **LOSSES}, healthy
    return {'forget': True}, {}
