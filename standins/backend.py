"""Stand-in for a backend server, with two dialects of status and errors."""

import asyncio
import hashlib
import json
import os
import random
from dataclasses import dataclass, field
from typing import Any

import click

from plantaingrade.addresses import split_address
from plantaingrade.clock import BootClock, Clock
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.const import (
    HEADER_DEADLINE,
    HEADER_FENCE,
    HEADER_LEASE_UNTIL,
    HEADER_REQUEST_ID,
    HEADER_SLICE,
    SAFE_METHODS,
)
from plantaingrade.http.messages import Request
from plantaingrade.http.server import HttpServer
from plantaingrade.routing.respond import refuse_malformed, send_plain
from standins.faults import Faults

OK = 200
CONFLICT = 409
PRECONDITION = 412
TOO_MANY = 429
UNAVAILABLE = 503
CHECK_EVERY_S = 0.005
FILLER_BYTES = 300
FOREVER = float('inf')


@dataclass(slots=True)
class Work:
    """One request with the headers that a backend server evaluates."""

    request_id: str
    method: str
    key: str
    slice_id: str
    fence: int
    lease_until: float
    deadline: float
    safe: bool

    @classmethod
    def from_request(cls, request: Request) -> 'Work':
        """Build from a request and the headers that the router added."""
        headers = dict(request.headers)
        parts = request.target.split(b'/')
        return cls(
            request_id=headers.get(HEADER_REQUEST_ID, b'').decode(),
            method=request.method.decode(),
            key=parts[2].decode() if len(parts) > 2 else '',
            slice_id=headers.get(HEADER_SLICE, b'').decode(),
            fence=int(headers.get(HEADER_FENCE, b'0')),
            lease_until=float(headers.get(HEADER_LEASE_UNTIL, b'inf')),
            deadline=float(headers.get(HEADER_DEADLINE, b'inf')),
            safe=request.method in SAFE_METHODS,
        )


@dataclass(slots=True)
class BackendSettings:
    """Identity and behaviour of one backend server."""

    name: str
    slots: int
    dialect: str
    checks_fence: bool
    work_s: float
    warm_s: float
    log_path: str


class ExecutionLog:
    """Append execution events to a file that outlives the process."""

    def __init__(self, path: str) -> None:
        """Open the file for appending."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._fd = os.open(path, flags, 0o644)

    def write(
        self,
        event: str,
        work: Work,
        at: float,
        server: str,
        limit: float = FOREVER,
    ) -> None:
        """Append one event; it reaches the kernel even if this process dies.

        ``limit`` caps the recorded time: stopped work did nothing after it,
        even if a paused server noticed later.
        """
        line = json.dumps(
            {
                'event': event,
                'id': work.request_id,
                'method': work.method,
                'key': work.key,
                'slice': work.slice_id,
                'fence': work.fence,
                'at': min(at, limit),
                'server': server,
            }
        )
        os.write(self._fd, f'{line}\n'.encode())


@dataclass(slots=True)
class BackendStandIn:
    """Run requests in a limited number of slots and log each execution.

    Fences are checked if ``settings.checks_fence`` is set.
    """

    settings: BackendSettings
    clock: Clock
    log: ExecutionLog
    started_at: float = 0.0
    faults: Faults = field(default_factory=Faults)
    in_flight: int = 0
    granted_until: float = 0.0
    fence_by_slice: dict[str, int] = field(default_factory=dict)

    async def async_handle(self, request: Request, channel: Channel) -> None:
        """Serve one request."""
        if await self.faults.async_handle_command(request, channel):
            return
        if self.faults.silent:
            await asyncio.sleep(FOREVER)
        if request.target in {b'/status', b'/health'}:
            self._send_status(channel)
        elif request.target == b'/lease':
            until = dict(request.headers).get(HEADER_LEASE_UNTIL, b'0')
            self.granted_until = max(self.granted_until, float(until))
            send_plain(channel, OK, b'')
        else:
            await self._serve(request, channel)

    async def _serve(self, request: Request, channel: Channel) -> None:
        work = Work.from_request(request)
        body = await read_body(channel)
        if self._is_stale(work):
            self._refuse_fence(channel)
            return
        if self.in_flight >= self.settings.slots or self.faults.refuses():
            self._shed(channel)
            return
        self.in_flight += 1
        try:
            if await self._run(work):
                self._answer(channel, work, body)
            else:
                channel.abort()
        finally:
            self.in_flight -= 1

    async def _run(self, work: Work) -> bool:
        """Run the work; return False if it was stopped before its end."""
        name = self.settings.name
        now = self.clock.now()
        if now > work.deadline:
            return False
        self.log.write('start', work, now, name)
        ends_at = now + random.expovariate(1 / self.settings.work_s)
        ends_at += self.faults.slow_s
        try:
            while now < ends_at:
                await asyncio.sleep(min(CHECK_EVERY_S, ends_at - now))
                now = self.clock.now()
                if now > work.deadline or self._is_stale(work):
                    limit = self._work_limit(work)
                    self.log.write('stopped', work, now, name, limit)
                    return False
        except asyncio.CancelledError:
            self.log.write('cancelled', work, self.clock.now(), name)
            raise
        self.log.write('end', work, now, name)
        return True

    def _work_limit(self, work: Work) -> float:
        if self.settings.checks_fence and work.slice_id:
            lease = max(work.lease_until, self.granted_until)
            return min(work.deadline, lease)
        return work.deadline

    def _is_stale(self, work: Work) -> bool:
        if not self.settings.checks_fence or not work.slice_id:
            return False
        newest = self.fence_by_slice.get(work.slice_id, 0)
        if work.fence < newest:
            return True
        self.fence_by_slice[work.slice_id] = work.fence
        until = max(work.lease_until, self.granted_until)
        return not work.safe and until < self.clock.now()

    def _answer(self, channel: Channel, work: Work, body: bytes) -> None:
        filler = os.urandom(FILLER_BYTES // 2).hex()
        answer = json.dumps(
            {
                'id': work.request_id,
                'key': work.key,
                'server': self.settings.name,
                'body': hashlib.blake2b(body).hexdigest(),
                'filler': filler,
                'digest': digest(work.request_id, work.key, filler),
            }
        )
        headers = ((HEADER_REQUEST_ID, work.request_id.encode()),)
        send_plain(channel, OK, answer.encode(), headers)

    def _send_status(self, channel: Channel) -> None:
        state = self.faults.lie_state or self._state()
        in_flight, slots = self.in_flight, self.settings.slots
        if self.settings.dialect == 'status':
            report: Any = json.dumps(
                {
                    'state': state,
                    'in_flight': in_flight,
                    'slots': slots,
                }
            )
        else:
            state_text = {'warming': 'WARM', 'ready': 'OK'}.get(state, 'BUSY')
            report = f'{state_text} load={in_flight}/{slots}'
        send_plain(channel, OK, report.encode(), ())

    def _state(self) -> str:
        warm_at = self.started_at + self.settings.warm_s
        return 'ready' if self.clock.now() >= warm_at else 'warming'

    def _shed(self, channel: Channel) -> None:
        if self.settings.dialect == 'status':
            headers = ((b'x-not-started', b'slots'),)
            send_plain(channel, UNAVAILABLE, b'', headers)
        else:
            send_plain(channel, TOO_MANY, b'', ())

    def _refuse_fence(self, channel: Channel) -> None:
        if self.settings.dialect == 'status':
            headers = ((b'x-not-started', b'fence'),)
            send_plain(channel, CONFLICT, b'', headers)
        else:
            send_plain(channel, PRECONDITION, b'', ((b'fence', b'stale'),))


def digest(request_id: str, key: str, filler: str) -> str:
    """Return the checksum by which a caller verifies its answer."""
    text = f'{request_id}|{key}|{filler}'
    return hashlib.blake2b(text.encode()).hexdigest()


async def async_serve(address: str, settings: BackendSettings) -> None:
    """Serve one backend server until cancelled."""
    clock = BootClock()
    log = ExecutionLog(settings.log_path)
    backend = BackendStandIn(settings, clock, log, clock.now())
    server = HttpServer(clock, backend.async_handle, refuse_malformed)
    await server.async_listen(*split_address(address))
    await asyncio.Event().wait()


@click.command()
@click.option('--address', required=True)
@click.option('--name', required=True)
@click.option('--slots', type=int, required=True)
@click.option('--dialect', required=True)
@click.option('--checks-fence/--no-checks-fence', required=True)
@click.option('--work-ms', type=float, default=4.0)
@click.option('--warm-s', type=float, default=1.0)
@click.option('--log', 'log_path', required=True)
def main(address: str, work_ms: float, **flags: Any) -> None:
    """Run one backend server."""
    settings = BackendSettings(work_s=work_ms / 1000, **flags)
    asyncio.run(async_serve(address, settings))


if __name__ == '__main__':
    main()
