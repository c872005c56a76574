"""Processes of one run: a store, servers, routers and relays."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import yaml

from plantaingrade.clock import BootClock
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool

KEYED = 'cases'
PLAIN = 'letters'
HOST = 'x.example'
ZONES = 3
# Every third instance has a server of the plain service.
PLAIN_EVERY = 3
PEERS_PORT = 17_380
WORK_MS = 12
SLOTS = 4
START_LIMIT_S = 30.0
POLL_S = 0.1
CALL_LIMIT_S = 1.0
STATUS_OK = 200


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance: its bind address and the relayed one that peers use."""

    number: int
    zone: str
    ip: str
    known_ip: str
    service: str

    @property
    def callers(self) -> str:
        """Return the address that callers on this instance use."""
        return f'{self.ip}:18147'

    @property
    def server(self) -> str:
        """Return the address on which this instance's server listens."""
        return f'{self.ip}:18145'

    @property
    def reports(self) -> str:
        """Return the address that the server sends heartbeats to."""
        return f'{self.ip}:18144'

    @property
    def ready(self) -> str:
        """Return the address of this instance's readiness probe."""
        return f'{self.ip}:18141'


class Cluster:
    """Starts, signals and ends processes, and commands the stand-ins."""

    def __init__(
        self, count: int, block: int, folder: Path, work_ms: float = WORK_MS
    ) -> None:
        """Create instances in a separate block of loopback addresses."""
        self._work_ms = work_ms
        self.folder = folder
        self.clock = BootClock()
        self.pool = Pool(self.clock)
        self.store = f'127.9.{block}.1:18142'
        self.network = f'127.9.{block}.2:19002'
        self.instances = [
            _make_instance(number, block) for number in range(count)
        ]
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._starts: Counter[int] = Counter()
        self.links: dict[str, Any] = {}
        # Number of times that the store was restored from a snapshot.
        self.store_epoch = 0

    def __enter__(self) -> 'Cluster':
        """Start all processes."""
        self._spawn('store', 'standins.shared_store', f'--address={self.store}')
        routes = [
            f'{kind}={each.known_ip}:{PEERS_PORT}={each.ip}:{PEERS_PORT}'
            for each in self.instances
            for kind in ('tcp', 'udp')
        ]
        self._spawn(
            'network',
            'standins.network',
            '--zone-ms=1',
            '--caller-ms=0',
            f'--control={self.network}',
            *routes,
        )
        for instance in self.instances:
            self.start_server(instance)
            self.start_router(instance)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill the processes that still run, each by its own id."""
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._process_by_name.values():
            process.wait()
        self.pool.close()

    def start_server(
        self, instance: Instance, *, keeps_id: bool = False
    ) -> None:
        """Start an incarnation of a server, under a new id or its last one."""
        if not keeps_id:
            self._starts[instance.number] += 1
        kind = '--keyed' if instance.service == KEYED else '--plain'
        self._spawn(
            server_name(instance),
            'standins.keyed_server',
            f'--service={instance.service}',
            f'--zone={instance.zone}',
            f'--address={instance.server}',
            f'--reports={instance.reports}',
            f'--instance={self.server_id(instance)}',
            kind,
            f'--slots={SLOTS}',
            f'--work-ms={self._work_ms}',
            f'--log={self.folder}/runs.jsonl',
        )

    def server_id(self, instance: Instance) -> str:
        """Return the id of the last started server of an instance."""
        return f'i-{instance.number}-{self._starts[instance.number]}'

    def start_router(self, instance: Instance) -> None:
        """Start an instance's process."""
        path = self.folder / f'settings-{instance.number}.yaml'
        settings = _settings(instance, self.store)
        settings['self']['bootstrap'] = not path.exists()
        path.write_text(yaml.safe_dump(settings))
        self._spawn(
            router_name(instance),
            'plantaingrade.sidecar',
            f'--peers-bind={instance.ip}:{PEERS_PORT}',
            '--binds-source',
            env={'PLANTAINGRADE_BOOT': str(path)},
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this object started."""
        process = self._process_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def pid(self, name: str) -> int:
        """Return the id of a process that this object started."""
        return self._process_by_name[name].pid

    def ended(self) -> list[str]:
        """Return the names of processes that have ended."""
        return [name for name in self._process_by_name if not self.runs(name)]

    def runs(self, name: str) -> bool:
        """Return whether a process runs."""
        return self._process_by_name[name].poll() is None

    async def async_configure(self, version: int) -> None:
        """Write a configuration to the store."""
        text = json.dumps(_configuration(version))
        await self.async_send_command(self.store, {'config': text})

    async def async_send_command(
        self, address: str, command: dict[str, Any]
    ) -> dict[str, Any]:
        """Send a command to a stand-in; a failed call is ignored.

        Return the fields of its answer.
        """
        call = Call(
            'POST', address, '/-/fault', (), json.dumps(command).encode()
        )
        with suppress(TimeoutError, ChannelClosedError, ConnectFailedError):
            async with asyncio.timeout(CALL_LIMIT_S):
                reply = await fetch(self.pool, call, fresh=True)
                return json.loads(reply.body or b'{}')
        return {}

    async def async_update_links(self, **changes: Any) -> None:
        """Change some link faults and keep the others."""
        self.links.update(changes)
        await self.async_send_command(self.network, self.links)
        for once in ('reset', 'silence'):
            self.links.pop(once, None)

    async def async_start(self) -> bool:
        """Configure; return whether every instance became ready in time."""
        deadline = self.clock.now() + START_LIMIT_S
        while self.clock.now() < deadline:
            await self.async_configure(1)
            ready = [
                await self._is_ready(instance) for instance in self.instances
            ]
            if all(ready):
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _is_ready(self, instance: Instance) -> bool:
        call = Call('GET', instance.ready, '/v1/readyz')
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                reply = await fetch(self.pool, call, fresh=True)
        except (TimeoutError, ChannelClosedError, ConnectFailedError):
            return False
        return reply.status == STATUS_OK

    def _spawn(
        self, name: str, module: str, *flags: str, env: dict | None = None
    ) -> None:
        log = self.folder / f'{name}.log'
        with log.open('ab') as sink:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *flags],
                stdout=sink,
                stderr=sink,
                env={**os.environ, **(env or {})},
            )


def router_name(instance: Instance) -> str:
    """Return the name of an instance's process."""
    return f'router-{instance.number}'


def server_name(instance: Instance) -> str:
    """Return the name of the process of an instance's server."""
    return f'server-{instance.number}'


def instance_number(server_id: str) -> int:
    """Return the number of the instance that a server id belongs to."""
    _, number, _ = server_id.split('-')
    return int(number)


def _make_instance(number: int, block: int) -> Instance:
    zone = number % ZONES
    host = number // ZONES + 1
    service = PLAIN if number % PLAIN_EVERY == PLAIN_EVERY - 1 else KEYED
    return Instance(
        number,
        f'z{zone}',
        f'127.10.{block + zone}.{host}',
        f'127.11.{block + zone}.{host}',
        service,
    )


def _settings(instance: Instance, store: str) -> dict[str, Any]:
    return {
        'self': {
            'nodeName': router_name(instance),
            'ip': instance.known_ip,
            'zone': instance.zone,
            'appAddr': instance.server,
            'service': instance.service,
        },
        'network': {
            'listenAddrs': {
                'outbound': instance.callers,
                'ready': instance.ready,
                'controlPlane': instance.reports,
            },
            'internalPortRange': [PEERS_PORT, PEERS_PORT + 9],
        },
        'platform': {'heartbeat': '300ms', 'platform': {'address': store}},
        'terms': {
            'bounds': {
                'drain': '2000ms',
                'grace': '6s',
                'maxHold': '10000ms',
                'retryBudgetRatio': 0.2,
                'budgetWindow': '10s',
                'retryBudgetSlack': 58,
            }
        },
    }


def _configuration(version: int) -> dict[str, Any]:
    return {
        'version': f'r{version}',
        'routes': {
            'once': _route('/cases/', KEYED, 'unsafe'),
            'read': _route('/read/', KEYED, 'safe'),
            'letters': _route('/letters/', PLAIN, 'unsafe'),
            f'added-{version}': _route(f'/added{version}/', PLAIN, 'safe'),
            'control': _route('/-/', PLAIN, 'safe'),
        },
        'services': {
            KEYED: {'healthCheckPath': '/healthz', 'sharded': True},
            PLAIN: {'healthCheckPath': '/healthz', 'sharded': False},
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    }


def _route(prefix: str, service: str, kind: str) -> dict[str, Any]:
    return {
        'host': HOST,
        'prefix': prefix,
        'type': kind,
        'timeout': '1500ms',
        'targetLatency': '300ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
    }
