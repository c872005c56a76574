"""Stand-in for a backend server of the shared platform.

It accepts grants of keys, serves requests within its slots, and sends its
heartbeats to the process beside it. Its runs go to a shared record, by which a
test or the demo can check the answers that callers received.
"""

import asyncio
import json
import os
import random
import signal
from contextlib import suppress
from dataclasses import asdict, dataclass, field, replace
from enum import StrEnum
from typing import Any

import click

from plantaingrade.addresses import split_address
from plantaingrade.clock import BootClock, Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.keyspace.entity import KeyRange
from plantaingrade.platform.const import (
    HEADER_CALLER,
    HEADER_COLD,
    HEADER_EXPECTED,
    HEADER_HANDOVER,
    HEADER_INSTANCE,
    HEADER_KEY,
    HEADER_LOAD,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    HEADER_STAMP,
    PATH_GRANT,
    PATH_RELEASE,
)
from plantaingrade.platform.units import parse_time
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer
from standins.cold import ColdPeriod
from standins.endless import EndlessAnswers
from standins.fences import Acquisition, find_stale_acquisitions
from standins.incarnation import Heartbeat, Incarnation
from standins.late_copies import LateCopies
from standins.notices import Notices, Told
from standins.reports import Reporter

PATH_HEALTH = '/healthz'
PATH_COMMAND = '/-/fault'
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_FAILED = 500
FOREVER = float('inf')
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
IDLE_S = 10.0
# Time for which a draining server continues to serve.
DRAIN_S = 3.0


class GrantFault(StrEnum):
    """How a server mishandles calls that grant or release keys."""

    NONE = 'none'
    SILENT = 'silent'
    LATE = 'late'


@dataclass(slots=True)
class ServerFaults:
    """Faults of one server; the integers count requests still affected.

    ``late_copies`` sends a refusal again when the next request has arrived on
    its connection. ``answer_bytes`` is the least length of an answer.
    ``status`` is the three digits of the status line of each answer, if any.
    ``late_s`` delays a late grant; its hold time still counts from arrival.
    """

    grant: GrantFault = GrantFault.NONE
    late_s: float = 2.0
    is_silent: bool = False
    is_health_silent: bool = False
    lose_answers: int = 0
    reset_answers: int = 0
    repeat_answers: int = 0
    refuse: int = 0
    late_copies: int = 0
    answer_bytes: int = 0
    status: bytes = b''

    def update(self, fields: dict[str, Any]) -> None:
        """Apply a command, such as ``{"refuse": 9, "late_copies": 9}``."""
        self.refuse = fields.get('refuse', self.refuse)
        self.late_copies = fields.get('late_copies', self.late_copies)

    def ignores(self, path: str) -> bool:
        """Return whether a call to a path gets no answer."""
        return self.is_silent or (self.is_health_silent and path == PATH_HEALTH)


# A request whose path contains this crashes any server that runs it.
CRASHING_TARGET = b'deadly'


@dataclass(slots=True, frozen=True)
class Run:
    """One run of a request at a server."""

    request_id: str
    key: int | None
    instance: str
    born_ms: int
    service: str
    caller_service: str
    began: float
    ended: float


@dataclass(slots=True)
class RunRecord:
    """Runs of all servers, ordered by their ends, and overlapping holds.

    With a file, each event is appended at once, so that the record outlives
    a server that is killed.
    """

    runs: list[Run] = field(default_factory=list)
    acquisitions: list[Acquisition] = field(default_factory=list)
    two_owners: list[str] = field(default_factory=list)
    servers: list['KeyedServer'] = field(default_factory=list)
    fd: int | None = None

    @classmethod
    def at_path(cls, path: str) -> 'RunRecord':
        """Create a record that is appended to a file."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        return cls(fd=os.open(path, flags, 0o644))

    def on_begin(self, run: Run) -> None:
        """Record the start of a run."""
        self._append('begin', run)

    def on_end(self, run: Run) -> None:
        """Record a run that has ended or was interrupted."""
        self.runs.append(run)
        self._append('end', run)

    def on_acquired(self, acquisition: Acquisition) -> None:
        """Record keys that an incarnation acquired."""
        self.acquisitions.append(acquisition)
        self._append('taken', acquisition)

    def on_told(self, told: Told) -> None:
        """Record what an incarnation named, when that changes."""
        self._append('told', told)

    def find_stale_fences(self) -> list[Acquisition]:
        """Return acquisitions under a fence that another incarnation had."""
        return find_stale_acquisitions(self.acquisitions)

    def _append(self, event: str, entry: Run | Acquisition | Told) -> None:
        if self.fd is not None:
            line = json.dumps({'event': event, **asdict(entry)})
            os.write(self.fd, f'{line}\n'.encode())

    def count_runs(self, request_id: str) -> int:
        """Return how many times a request was run."""
        return sum(run.request_id == request_id for run in self.runs)


@dataclass(slots=True)
class Hold:
    """Keys that a server holds until a point in time."""

    keys: KeyRange
    fence: int
    until: float


@dataclass(slots=True, frozen=True)
class ServerPlan:
    """Configuration of one server."""

    service: str
    zone: str
    address: str
    reports: str
    slots: int = 4
    work_s: float = 0.01
    heartbeat_s: float = 0.3
    is_keyed: bool = True


class KeyedServer:
    """One incarnation of a backend server."""

    def __init__(
        self,
        plan: ServerPlan,
        record: RunRecord,
        clock: Clock,
        seed: int,
        incarnation: Incarnation | None = None,
    ) -> None:
        """Create without keys; the default incarnation has a new id."""
        self.plan = plan
        self.record = record
        self.faults = ServerFaults()
        self._clock = clock
        self._random = random.Random(seed)
        self.incarnation = incarnation or Incarnation.from_seed(seed)
        self.state = 'ready'
        self.cold = ColdPeriod(clock)
        self.notices = Notices()
        self.endless = EndlessAnswers(seed)
        self.late_copies = LateCopies()
        # Times at which requests arrived, refused ones included.
        self.arrivals: list[float] = []
        self.is_up = False
        self.running = 0
        self.holds: list[Hold] = []
        self._fence_by_range: dict[KeyRange, int] = {}
        self._busy_keys: list[int] = []
        self._pool = Pool(clock)
        first = Heartbeat(
            self.incarnation,
            plan.service,
            plan.address,
            plan.zone,
            plan.slots,
            self.state,
            sequence=1,
        )
        self._crashing: asyncio.Task[None] | None = None
        self.reporter = Reporter(first, plan.reports, self._pool)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HttpServer(clock, self._serve, refuse_malformed, IDLE_S)
        record.servers.append(self)

    @property
    def instance(self) -> str:
        """Return the server id, which earlier incarnations may share."""
        return self.incarnation.instance

    @property
    def started_at_ms(self) -> int:
        """Return the Unix start time of this incarnation in ms."""
        return self.incarnation.started_at_ms

    async def async_start(self) -> None:
        """Listen and start to send heartbeats."""
        await self._server.async_listen(*split_address(self.plan.address))
        self.is_up = True
        self._spawn(self._async_report())

    async def async_crash(self) -> None:
        """Stop at once, without draining."""
        self.is_up = False
        self.holds.clear()
        for task in list(self._tasks):
            task.cancel()
        await self._server.async_close()
        self._pool.close()

    async def async_drain(self) -> bool:
        """Report draining; return whether that was acknowledged."""
        self.state = 'draining'
        self.notices.is_leaving = True
        return await self.async_heartbeat()

    async def async_heartbeat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        status = await self.reporter.async_send(
            self.state, self.cold.remaining_s
        )
        return status == STATUS_OK

    def holds_key(self, key: int) -> bool:
        """Return whether this server may work on a key now."""
        now = self._clock.now()
        return any(key in hold.keys and hold.until > now for hold in self.holds)

    def holds_some(self, keys: KeyRange, now: float) -> bool:
        """Return whether this server holds any of these keys."""
        return any(
            hold.keys.overlap(keys) and hold.until > now for hold in self.holds
        )

    async def _async_report(self) -> None:
        while True:
            await self.async_heartbeat()
            await asyncio.sleep(self.plan.heartbeat_s)

    async def _serve(self, raw: Request, channel: Channel) -> None:
        body = await read_body(channel)
        arrived = self._clock.now()
        self.late_copies.send(channel)
        path = raw.target.decode()
        if self.faults.ignores(path):
            await asyncio.Event().wait()
        if path == PATH_GRANT:
            await self._handle_grant(self._grant, body, arrived, channel)
        elif path == PATH_RELEASE:
            await self._release(json.loads(body), channel)
        elif path == PATH_COMMAND:
            answer = _apply_command(self, json.loads(body))
            self._send(channel, STATUS_OK, (), answer)
        elif path == PATH_HEALTH:
            cold_ms = str(int(self.cold.remaining_s * MS_PER_S)).encode()
            self._send(channel, STATUS_OK, ((HEADER_COLD, cold_ms),))
        else:
            await self._run(raw, channel)

    async def _handle_grant(
        self, apply, body: bytes, arrived: float, channel
    ) -> None:
        fields = json.loads(body)
        match self.faults.grant:
            case GrantFault.NONE:
                self._send(channel, apply(fields, arrived), ())
                return
            case GrantFault.LATE:
                self._spawn(self._apply_late(apply, fields, arrived))
        await asyncio.Event().wait()

    async def _apply_late(self, apply, fields: dict, arrived: float) -> None:
        await asyncio.sleep(self.faults.late_s)
        apply(fields, arrived)

    def _grant(self, fields: dict, arrived: float) -> int:
        keys = KeyRange(fields['startKey'], fields['to'])
        fence = fields['fence']
        higher = [
            known_fence
            for known, known_fence in self._fence_by_range.items()
            if known.overlap(keys) and known_fence > fence
        ]
        if higher:
            return STATUS_CONFLICT
        self._fence_by_range[keys] = fence
        self._record_acquisition(keys, fence, self._clock.now())
        self._remove_held(keys)
        until = arrived + parse_time(fields['hold_time'])
        self.holds.append(Hold(keys, fence, until))
        self._record_two_owners(keys)
        return STATUS_OK

    def _record_acquisition(
        self, keys: KeyRange, fence: int, now: float
    ) -> None:
        is_renewal = any(
            hold.keys == keys and hold.fence == fence and hold.until > now
            for hold in self.holds
        )
        if not is_renewal:
            acquisition = Acquisition(
                self.plan.service,
                self.instance,
                self.started_at_ms,
                keys.first,
                keys.last,
                fence,
                now,
            )
            self.record.on_acquired(acquisition)

    def _record_two_owners(self, keys: KeyRange) -> None:
        now = self._clock.now()
        for other in self.record.servers:
            if other is self or not other.is_up:
                continue
            if other.holds_some(keys, now):
                self.record.two_owners.append(
                    f'{self.incarnation} and {other.incarnation} hold {keys}'
                )

    async def _release(self, fields: dict, channel: Channel) -> None:
        if self.faults.grant is not GrantFault.NONE:
            await asyncio.Event().wait()
        keys = KeyRange(fields['startKey'], fields['to'])
        self._remove_held(keys)
        while any(key in keys for key in self._busy_keys):
            await asyncio.sleep(0.002)
        token = f'{self._random.getrandbits(32):08x}'
        headers = ((HEADER_HANDOVER, token.encode()),)
        self._send(channel, STATUS_OK, headers)

    def _remove_held(self, keys: KeyRange) -> None:
        kept = []
        for hold in self.holds:
            for remaining in hold.keys.without(keys):
                kept.append(Hold(remaining, hold.fence, hold.until))
        self.holds = kept

    async def _run(self, raw: Request, channel: Channel) -> None:
        self.arrivals.append(self._clock.now())
        headers = dict(raw.headers)
        request_id = headers.get(HEADER_REQUEST_ID, b'')
        echo = ((HEADER_REQUEST_ID, request_id),)
        expected = headers.get(HEADER_EXPECTED, b'').decode()
        key = headers.get(HEADER_KEY)
        number = None if key is None else int(key)
        is_misdirected = expected and expected != self.instance
        lacks_key = self.plan.is_keyed and (
            number is None or not self.holds_key(number)
        )
        if is_misdirected or lacks_key:
            response_headers = (*echo, (HEADER_NOT_RUN, b'1'))
            self._send(channel, STATUS_MISDIRECTED, response_headers)
            return
        if self.faults.refuse:
            self.faults.refuse -= 1
            response_headers = (*echo, (HEADER_NOT_RUN, b'1'))
            self._send(channel, STATUS_UNAVAILABLE, response_headers)
            if self.faults.late_copies:
                self.faults.late_copies -= 1
                self.late_copies.keep(channel, request_id)
            return
        run = self._begin_run(headers, number)
        if CRASHING_TARGET in raw.target:
            self._crashing = asyncio.create_task(self.async_crash())
        held_until = self._held_until(run.key)
        try:
            await asyncio.sleep(self.plan.work_s)
        finally:
            held_until = max(held_until, self._held_until(run.key))
            self._end_run(run, held_until)
        if self._clock.now() > held_until:
            # Work ends with the lease on its key; it is not reported as done.
            self._send(channel, STATUS_FAILED, echo)
            return
        await self._answer_run(channel, echo, request_id)

    def _begin_run(self, headers: dict, key: int | None) -> Run:
        now = self._clock.now()
        run = Run(
            headers.get(HEADER_REQUEST_ID, b'').decode(),
            key,
            self.instance,
            self.started_at_ms,
            self.plan.service,
            headers.get(HEADER_CALLER, b'').decode(),
            now,
            now,
        )
        self.running += 1
        self._busy_keys.append(key or 0)
        self.record.on_begin(run)
        return run

    def _held_until(self, key: int | None) -> float:
        if not self.plan.is_keyed:
            return FOREVER
        ends = [hold.until for hold in self.holds if (key or 0) in hold.keys]
        return max(ends, default=0.0)

    def _end_run(self, run: Run, held_until: float) -> None:
        self.running -= 1
        self._busy_keys.remove(run.key or 0)
        ended = min(self._clock.now(), held_until)
        self.record.on_end(replace(run, ended=ended))

    async def _answer_run(self, channel, echo, request_id: bytes) -> None:
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await asyncio.Event().wait()
        if self.faults.reset_answers:
            self.faults.reset_answers -= 1
            channel.abort()
            return
        if self.endless.draw():
            await self.endless.async_send(channel, request_id)
            return
        if self.faults.status:
            channel.transport.write(
                _raw_answer(
                    self.faults.status, request_id, self.faults.answer_bytes
                )
            )
            await asyncio.Event().wait()
        request_name = request_id.decode()
        response_headers = (
            *echo,
            (HEADER_STAMP, f'stamp.{request_name}'.encode()),
        )
        self._send(
            channel,
            STATUS_OK,
            response_headers,
            f'done {request_name}'.encode().ljust(self.faults.answer_bytes),
        )
        if self.faults.repeat_answers:
            self.faults.repeat_answers -= 1
            repeated = (
                f'HTTP/1.1 200 OK\r\nattempt-id: {request_name}\r\n'
                'content-length: 3\r\n\r\nold'
            )
            channel.transport.write(repeated.encode())

    def _send(self, channel, status: int, headers, body: bytes = b'') -> None:
        if self.notices.take_change():
            now = self._clock.now()
            self.record.on_told(self.notices.to_told(self.incarnation, now))
        load = f'{self.running},0,{self.plan.slots}'.encode()
        response_headers = (
            (HEADER_INSTANCE, self.instance.encode()),
            (HEADER_LOAD, load),
            *self.notices.headers(),
            *headers,
        )
        with suppress(ChannelClosedError):
            send_answer(channel, Answer(status, response_headers, body))

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _raw_answer(status: bytes, request_id: bytes, length: int) -> bytes:
    """Return an answer with any status, which no writer of messages accepts."""
    head = (
        b'HTTP/1.1 %b Odd' % status,
        b'%b: %b' % (HEADER_REQUEST_ID, request_id),
        b'%b: stamp.%b' % (HEADER_STAMP, request_id),
        b'content-length: %d' % length,
    )
    return b'\r\n'.join((*head, b'', b'x' * length))


def _apply_command(server: KeyedServer, fields: dict[str, Any]) -> bytes:
    """Apply a command; return what the faults of answers have hit so far."""
    server.faults.update(fields)
    server.notices.update(fields)
    server.endless.update(fields)
    return json.dumps(
        {'felt': server.late_copies.sent + server.endless.sent}
    ).encode()


async def async_serve(
    plan: ServerPlan, record: RunRecord, instance: str
) -> None:
    """Serve until SIGTERM, then drain as in a planned shutdown."""
    seed = os.getpid()
    incarnation = (
        Incarnation.with_id(instance)
        if instance
        else Incarnation.from_seed(seed)
    )
    server = KeyedServer(plan, record, BootClock(), seed, incarnation)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await server.async_start()
    await stop.wait()
    await server.async_drain()
    await asyncio.sleep(DRAIN_S)
    await server.async_crash()


@click.command()
@click.option('--service', required=True)
@click.option('--zone', required=True)
@click.option('--address', required=True)
@click.option('--reports', required=True)
@click.option('--keyed/--plain', required=True)
@click.option('--slots', type=int, default=4)
@click.option('--work-ms', type=float, default=10.0)
@click.option('--log', required=True)
@click.option('--instance', default='', help='Server id; a new one by default.')
def main(
    service: str,
    zone: str,
    address: str,
    reports: str,
    keyed: bool,
    slots: int,
    work_ms: float,
    log: str,
    instance: str,
) -> None:
    """Run one incarnation of a backend server."""
    plan = ServerPlan(
        service,
        zone,
        address,
        reports,
        slots,
        work_ms / MS_PER_S,
        is_keyed=keyed,
    )
    asyncio.run(async_serve(plan, RunRecord.at_path(log), instance))


if __name__ == '__main__':
    main()
