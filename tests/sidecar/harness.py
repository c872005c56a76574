"""Harness that runs whole processes in one event loop, with a fake platform."""

import asyncio
import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from msgspec.structs import replace

from plantaingrade.clock import BootClock
from plantaingrade.eventlog import EventLog
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import Pool
from plantaingrade.platform.wire import make_wire
from plantaingrade.sidecar.process import Process
from plantaingrade.sidecar.settings import (
    Bounds,
    InstanceSettings,
    Listeners,
)
from standins.incarnation import Incarnation
from standins.keyed_server import KeyedServer, RunRecord, ServerPlan
from standins.shared_store import SharedStore

WAIT_LIMIT_S = 20.0
POLL_S = 0.01
STORE_PORT = 18_142
KEYED = 'cases'
PLAIN = 'letters'
HOST = 'x.example'


@dataclass(slots=True)
class Node:
    """One instance: its sidecar process and its backend server."""

    settings: InstanceSettings
    plan: ServerPlan
    process: Process | None = None
    server: KeyedServer | None = None
    has_started: bool = False

    @property
    def callers(self) -> str:
        """Return the address for requests of callers on this instance."""
        return self.settings.listeners.callers


class Harness:
    """Several instances on loopback addresses, and a store."""

    def __init__(self, net: int) -> None:
        """Use the loopback network 127.<net>.0.0."""
        self.clock = BootClock()
        self.record = RunRecord()
        self.store = SharedStore(self.clock)
        self.nodes: list[Node] = []
        self._net = net
        # The callers share one event loop with the processes, which is slow on
        # a busy machine, and the timeouts of callers are not under test.
        self._pool = Pool(self.clock, connect_timeout_s=WAIT_LIMIT_S)
        self._stack = AsyncExitStack()
        self._seed = 0
        self.evacuate_s = 0.0
        self._log = EventLog('rig', self.clock, _null())
        # Exceptions that ended tasks or callbacks and were not expected.
        self._failures: list[BaseException | str] = []

    async def __aenter__(self) -> 'Harness':
        """Start the store with an initial configuration."""
        asyncio.get_running_loop().set_exception_handler(self._on_failure)
        await self.store.async_listen(self.store_address)
        self.configure(1)
        return self

    async def __aexit__(self, kind: object, *_: object) -> None:
        """Stop everything."""
        for node in self.nodes:
            await self.async_kill(node)
            if node.server is not None:
                await node.server.async_crash()
        self._pool.close()
        await self.store.async_close()
        assert kind or not self._failures, self._failures

    async def async_take_failures(
        self, kind: type[BaseException], count: int
    ) -> None:
        """Wait until ``count`` failures of a kind are reported; drop them."""

        def others() -> list[BaseException | str]:
            return [
                each for each in self._failures if not isinstance(each, kind)
            ]

        await self.async_until(
            lambda: len(self._failures) - len(others()) >= count
        )
        self._failures = others()

    def _on_failure(self, _, context: dict) -> None:
        self._failures.append(context.get('exception') or context['message'])

    @property
    def store_address(self) -> str:
        """Return the address of the store."""
        return f'127.{self._net}.255.1:{STORE_PORT}'

    def configure(self, version: int, **routes: dict) -> None:
        """Write a configuration to the store."""
        every = {
            'keyed': _route('/cases/', KEYED, 'unsafe'),
            'read': _route('/read/', KEYED, 'safe'),
            'plain': _route('/letters/', PLAIN, 'unsafe'),
            **routes,
        }
        fields = {
            'version': f'r{version}',
            'routes': every,
            'services': {
                KEYED: _service(is_keyed=True),
                PLAIN: _service(is_keyed=False),
            },
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 1048576,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
        }
        body = json.dumps(fields).encode()
        self.store.rows.put('op', 'config', body)

    async def async_add(
        self, service: str, *, host: int | None = None, zone: str = 'a'
    ) -> Node:
        """Add an instance and start its server and its process."""
        number = host or len(self.nodes) + 1
        settings = _settings(
            f'127.{self._net}.0.{number}', zone, service, self.store_address
        )
        bounds = replace(settings.bounds, evacuate_s=self.evacuate_s)
        settings = replace(settings, bounds=bounds)
        plan = ServerPlan(
            service,
            zone,
            settings.backend,
            settings.listeners.reports,
            is_keyed=service == KEYED,
        )
        node = Node(settings, plan)
        self.nodes.append(node)
        await self.async_start_server(node)
        await self.async_start(node)
        return node

    async def async_start_server(
        self, node: Node, incarnation: Incarnation | None = None
    ) -> None:
        """Start a new incarnation of a server, by default under a new id."""
        self._seed += 1
        node.server = KeyedServer(
            node.plan, self.record, self.clock, self._seed, incarnation
        )
        await node.server.async_start()

    async def async_start(self, node: Node) -> None:
        """Start the sidecar process of a node."""
        settings = replace(node.settings, starts_with_all=not node.has_started)
        node.has_started = True
        adapter = make_wire(settings, self.clock)
        node.process = Process(settings, adapter, self.clock, self._log)
        await node.process.__aenter__()

    async def async_kill(self, node: Node) -> None:
        """Stop the sidecar process of a node without a graceful shutdown."""
        if node.process is not None:
            await node.process.__aexit__(None, None, None)
            node.process = None

    async def async_ask(
        self,
        node: Node,
        path: str,
        request_id: str,
        key: int,
        deadline_ms: int = 2000,
        method: str = 'POST',
    ) -> Reply:
        """Send a caller's request and return its answer."""
        headers = (
            ('attempt-id', request_id),
            ('deadline-ms', str(deadline_ms)),
            ('shard-key', str(key)),
        )
        call = Call(method, node.callers, path, headers, b'x', HOST)
        return await fetch(self._pool, call, fresh=True)

    async def async_until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not holds():
                await asyncio.sleep(POLL_S)

    async def async_until_served(self) -> None:
        """Wait until every key is held by a server."""
        await self.async_until(self.is_every_key_held)

    def is_every_key_held(self) -> bool:
        """Return whether all processes are ready and every key is held."""
        held = 0
        now = self.clock.now()
        for server in self.record.servers:
            if server.is_up:
                held += sum(
                    len(hold.keys) for hold in server.holds if hold.until > now
                )
        return held >= 65_536 and all(
            node.process is None or node.process.is_ready for node in self.nodes
        )


def run_scenario(net: int, services: tuple[str, ...], scenario) -> None:
    """Run a scenario with an instance for each service, once all serve."""

    async def async_run() -> None:
        async with Harness(net) as harness:
            for service in services:
                await harness.async_add(service)
            if KEYED in services:
                await harness.async_until_served()
            else:
                await harness.async_until(
                    lambda: all(node.process.is_ready for node in harness.nodes)
                )
                await asyncio.sleep(0.5)
            await scenario(harness)
            assert not harness.record.two_owners

    asyncio.run(async_run())


def _route(prefix: str, service: str, kind: str) -> dict:
    return {
        'host': HOST,
        'prefix': prefix,
        'type': kind,
        'timeout': '2000ms',
        'targetLatency': '300ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
    }


def _service(*, is_keyed: bool) -> dict:
    return {
        'healthCheckPath': '/healthz',
        'maxConnections': 50,
        'sharded': is_keyed,
    }


def _settings(ip: str, zone: str, service: str, store: str) -> InstanceSettings:
    return InstanceSettings(
        name=f'{service}-{ip}',
        zone=zone,
        ip=ip,
        service=service,
        backend=f'{ip}:18145',
        store=store,
        listeners=Listeners(
            callers=f'{ip}:18147',
            peers=f'{ip}:17380',
            ready=f'{ip}:18141',
            reports=f'{ip}:18144',
            metrics=f'{ip}:17381',
        ),
        bounds=Bounds(
            drain_s=2.0,
            stop_grace_s=6.0,
            max_hold_s=10.0,
            address_reuse_s=2.0,
            heartbeat_s=0.3,
            retry_ratio=0.2,
            retry_window_s=10.0,
            retry_slack=50.0,
        ),
        max_row_bytes=65_536,
    )


def _null() -> int:
    import os

    return os.open(os.devnull, os.O_WRONLY)
