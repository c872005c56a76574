"""Test harness for the data path, with a scripted backend on loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from msgspec.structs import replace

from plantaingrade.admission.queue import AdmissionQueue
from plantaingrade.backends.coordinator import BackendCoordinator
from plantaingrade.backends.entity import StatusDialect
from plantaingrade.clock import BootClock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.journal.entity import MapState
from plantaingrade.metrics import Metrics
from plantaingrade.ownership.coordinator import OwnershipCoordinator
from plantaingrade.routing.coordinator import RoutingCoordinator
from plantaingrade.routing.respond import refuse_malformed, send_plain
from plantaingrade.routing.targets import TargetChooser
from tests.ownership.test_table import make_state

HOST = '127.0.0.1'
LEASE_LEFT_S = 10.0
Script = Callable[[Request, bytes, Channel], Awaitable[None]]


async def echo(request: Request, body: bytes, channel: Channel) -> None:
    """Respond with the received body and request id."""
    request_id = dict(request.headers).get(b'x-request-id', b'')
    send_plain(channel, 200, body or b'fine', ((b'x-request-id', request_id),))


class Upstream:
    """A backend server that runs a script for each request."""

    def __init__(self, script: Script = echo) -> None:
        """Create the server; received requests are recorded."""
        self.script = script
        self.requests: list[Request] = []
        self.bodies: list[bytes] = []
        self.cancelled = asyncio.Event()
        self.server = HttpServer(BootClock(), self._serve, refuse_malformed)

    async def async_start(self) -> str:
        """Listen on a free port; return the address."""
        await self.server.async_listen(HOST, 0)
        return listen_address(self.server)

    async def _serve(self, request: Request, channel: Channel) -> None:
        self.requests.append(request)
        try:
            body = await read_body(channel)
            self.bodies.append(body)
            await self.script(request, body, channel)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


class RouterHarness:
    """A router that owns all keys, its backend server and a raw client."""

    def __init__(self, script: Script = echo, slots: int = 4) -> None:
        """Create the components without starting them."""
        self.state: MapState = make_state()
        self.clock = BootClock()
        self.upstream = Upstream(script)
        self.lease_left_s = LEASE_LEFT_S
        self.row = self.state.members['a']
        self.pool = Pool(self.clock)
        self.metrics = Metrics()
        self.admission = AdmissionQueue(slots)

    async def __aenter__(self) -> 'RouterHarness':
        """Start the backend server and the router."""
        backend = await self.upstream.async_start()
        self._build(backend)
        self.server = HttpServer(
            self.clock,
            self.router.async_handle,
            refuse_malformed,
        )
        await self.server.async_listen(HOST, 0)
        self.address = listen_address(self.server)
        self.row.http = self.address
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the router and the backend server."""
        self.pool.__exit__(None, None, None)
        await self.server.async_close()
        await self.upstream.server.async_close()

    def refuse_connections(self) -> None:
        """Direct the router to a port that refuses connections."""
        self._build('127.0.0.1:1')
        self.server._serve_request = self.router.async_handle  # noqa: SLF001

    def script_once(self, script: Script) -> None:
        """Run a script for the next request, and echo for all later ones."""

        async def run_once(raw: Request, body: bytes, to: Channel) -> None:
            self.upstream.script = echo
            await script(raw, body, to)

        self.upstream.script = run_once

    def disable_fence_checks(self) -> None:
        """Mark the server as one that does not check fences."""
        self.row.checks_fence = False

    async def send(self, raw: bytes) -> bytes:
        """Send raw bytes; return the response up to the end of stream."""
        reader, writer = await asyncio.open_connection(*self._host_and_port())
        writer.write(raw)
        response = await reader.read()
        writer.close()
        return response

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection."""
        return await asyncio.open_connection(*self._host_and_port())

    def _host_and_port(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(':')
        return host, int(port)

    def _build(self, backend: str) -> None:
        ownership = OwnershipCoordinator(
            self.row,
            lambda: self.state,
            self.clock,
            lambda *_: None,
            lambda: self.clock.now() + self.lease_left_s,
        )
        self.ownership = ownership
        targets = TargetChooser(
            self.row,
            lambda: self.state,
            ownership,
            self.clock,
            lambda: True,
            set(),
        )
        self.router = RoutingCoordinator(
            self.row,
            lambda: self.state,
            ownership,
            BackendCoordinator(self.pool, backend, StatusDialect()),
            targets,
            self.admission,
            self.pool,
            self.metrics,
            self.clock,
        )


def listen_address(server: HttpServer) -> str:
    """Return the address that a server listens on."""
    host, port = server._server.sockets[0].getsockname()  # noqa: SLF001
    return f'{host}:{port}'


def request(
    method: str = 'GET',
    target: str = '/casebook/4711',
    body: bytes = b'',
    **headers: Any,
) -> bytes:
    """Return a raw request that asks to close the connection."""
    lines = [f'{method} {target} HTTP/1.1', 'host: x', 'connection: close']
    lines.append(f'content-length: {len(body)}')
    lines.extend(
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def header(response: bytes, name: bytes) -> bytes:
    """Return a header of a raw response, or empty bytes."""
    head = response.split(b'\r\n\r\n', 1)[0].lower()
    for line in head.split(b'\r\n')[1:]:
        key, _, text = line.partition(b': ')
        if key == name:
            return text
    return b''


def status(response: bytes) -> int:
    """Return the status code of a raw response."""
    return int(response.split(b' ', 2)[1])


def assign_keys_to_peer(harness: RouterHarness, address: str) -> None:
    """Make the process at ``address`` the owner of all keys."""
    part = harness.state.slices['casebook/0']
    part.owner = 'b'
    part.successor = 'c'
    harness.state.members['b'] = replace(
        harness.state.members['b'], http=address
    )
