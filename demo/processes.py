"""Start and stop the processes of one deployment."""

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Any

from demo.topology import Deployment, ServerSpec
from plantaingrade.clock import BootClock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool

POLL_S = 0.2
START_LIMIT_S = 60.0
CALL_TIMEOUT_S = 3.0
OK = 200
WITNESSES = 3


class StartFailedError(PlantaingradeError):
    """Raised if the system does not become ready in time."""

    advice = 'See the logs named above.'


class Cluster:
    """Processes of one deployment, by name."""

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        work_ms: float = 4.0,
    ) -> None:
        """Store logs and the records of servers in ``folder``."""
        self._work_ms = work_ms
        self.deployment = deployment
        self.folder = folder
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.pool = Pool(BootClock(), '127.3.0.2')

    def __enter__(self) -> 'Cluster':
        """Start all processes."""
        self._start_platform()
        for server in self.deployment.servers:
            self.start_backend(server)
            self.start_node(server)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes that still run."""
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._process_by_name.values():
            process.wait()

    def start_backend(self, server: ServerSpec) -> None:
        """Start a backend server."""
        fence = 'checks' if server.checks_fence else 'no-checks'
        self._spawn(
            f'backend {server.name}',
            'standins.backend',
            f'--address={server.backend}',
            f'--name={server.name}',
            f'--slots={server.slots}',
            f'--dialect={server.dialect}',
            f'--{fence}-fence',
            f'--work-ms={self._work_ms}',
            f'--log={self.folder / server.name}.jsonl',
        )

    def start_node(self, server: ServerSpec) -> None:
        """Start the process beside a backend server."""
        fence = 'checks' if server.checks_fence else 'no-checks'
        self._spawn(
            f'node {server.name}',
            'plantaingrade',
            'run',
            f'--server={server.name}',
            f'--service={server.service}',
            f'--zone={server.zone}',
            f'--http={server.host}:7000',
            f'--udp={server.host}:7001',
            f'--rpc={server.host}:7002',
            f'--advertise-http={server.relay_host}:7000',
            f'--advertise-udp={server.relay_host}:7001',
            f'--advertise-rpc={server.relay_host}:7002',
            f'--backend={server.backend}',
            f'--table={self.deployment.table}',
            f'--objects={self.deployment.objects}',
            f'--slots={server.slots}',
            f'--dialect={server.dialect}',
            f'--{fence}-fence',
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this object started."""
        self._process_by_name[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the process id of a process that this object started."""
        return self._process_by_name[name].pid

    async def async_wait_exit(self, name: str, limit_s: float) -> int | None:
        """Return the exit code, or None if it still runs after ``limit_s``."""
        process = self._process_by_name[name]
        waited = 0.0
        while process.poll() is None and waited < limit_s:
            await asyncio.sleep(POLL_S)
            waited += POLL_S
        return process.poll()

    async def async_inject(self, address: str, fault: dict[str, Any]) -> None:
        """Set the faults of a stand-in."""
        body = json.dumps(fault).encode()
        await fetch(self.pool, Call('POST', address, '/-/fault', body=body))

    async def async_ask(self, server: ServerSpec, statement: str) -> Any:
        """Send a query to a process."""
        call = Call(
            'POST',
            server.http,
            '/-/statement',
            body=statement.encode(),
        )
        reply = await self._call(call)
        return json.loads(reply.body)

    async def async_command(
        self,
        server: ServerSpec,
        statement: str,
        command_id: str,
    ) -> Any:
        """Send a command to a process."""
        headers = (('x-command-id', command_id), ('x-operator', 'demo'))
        call = Call(
            'POST',
            server.http,
            '/-/statement',
            headers,
            statement.encode(),
        )
        reply = await self._call(call)
        return json.loads(reply.body)

    async def async_declare(self) -> None:
        """Apply the declarations, retrying until a process listens."""
        text = self.deployment.declaration().encode()
        first = self.deployment.servers[0]
        for _ in range(int(START_LIMIT_S / POLL_S)):
            try:
                call = Call('POST', first.http, '/-/declaration', body=text)
                reply = await self._call(call)
            except (ChannelClosedError, ConnectFailedError, TimeoutError):
                await asyncio.sleep(POLL_S)
                continue
            if reply.status == OK:
                return
            await asyncio.sleep(POLL_S)
        raise StartFailedError('Declarations were not accepted.')

    async def async_wait_ready(self) -> None:
        """Wait until every slice has an owner and a successor."""
        first = self.deployment.servers[0]
        for _ in range(int(START_LIMIT_S / POLL_S)):
            if await self._is_ready(first):
                return
            await asyncio.sleep(POLL_S)
        raise StartFailedError('Slices are still without owner.')

    async def _is_ready(self, first: ServerSpec) -> bool:
        try:
            servers = await self.async_ask(first, 'show servers')
            slices = [
                part
                for service in self.deployment.services
                for part in await self.async_ask(
                    first,
                    f'show slices of {service.name}',
                )
            ]
        except (ChannelClosedError, ConnectFailedError, TimeoutError):
            return False
        all_known = len(servers) == len(self.deployment.servers)
        settled = all(
            part['owner'] and part['successor'] and not part['wanted_owner']
            for part in slices
        )
        ready = all(row['state'] == 'ready' for row in servers)
        witnessed = all(len(row['witnesses']) == WITNESSES for row in servers)
        return all_known and ready and settled and witnessed

    async def _call(self, call: Call) -> Reply:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await fetch(self.pool, call)

    def _start_platform(self) -> None:
        deployment = self.deployment
        self._spawn(
            'platform',
            'standins.platform',
            f'--table={deployment.table}',
            f'--objects={deployment.objects}',
        )
        routes = [
            f'{kind}={server.relay_host}:{port}={server.host}:{port}'
            for server in deployment.servers
            for kind, port in (('tcp', 7000), ('udp', 7001), ('tcp', 7002))
        ]
        self._spawn(
            'network',
            'standins.network',
            f'--zone-ms={deployment.zone_ms}',
            f'--caller-ms={deployment.caller_ms}',
            f'--control={deployment.network}',
            *routes,
        )

    def _spawn(self, name: str, module: str, *flags: str) -> None:
        log = self.folder / f'{name.replace(" ", "-")}.log'
        with log.open('ab') as sink:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *flags],
                stdout=sink,
                stderr=sink,
            )
