"""Stand-in for a backend server beside one process of the system.

It holds keys by grants, runs requests in its slots, says who it is and reports
itself to the process beside it. Its faults are off at first.
"""

import asyncio
import json
import random
import time
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus

from review.common.record import Record
from review.common.wire import BrokenMessageError, Message, async_read, encode

HEARTBEAT_S = 0.87
REPORT_LIMIT_S = 1.0
RELEASE_POLL_S = 0.002
# Requests that may wait for a slot.
QUEUE = 12


@dataclass(slots=True)
class Faults:
    """Shares of the requests that a faulty server mishandles.

    ``lose`` runs a request and closes the connection instead of answering.
    ``shed`` refuses a request without running it. ``extra_late`` sends the
    answer a second time when the next request has arrived on the connection.
    """

    lose: float = 0.0
    shed: float = 0.0
    extra_late: float = 0.0


@dataclass(slots=True)
class Hold:
    """Keys that are held until a time."""

    first: int
    last: int
    fence: int
    until: float


@dataclass(slots=True)
class Server:
    """One backend server; ``reports`` is where it sends its heartbeats."""

    name: str
    service: str
    zone: str
    address: str
    reports: str
    is_keyed: bool
    record: Record
    capacity: int = 6
    work_s: float = 0.02
    faults: Faults = field(default_factory=Faults)
    holds: list[Hold] = field(default_factory=list)
    busy_keys: list[int] = field(default_factory=list)
    running: int = 0
    waiting: int = 0
    sequence: int = 0
    # Whether the server says that it leaves, in its reports and its answers.
    is_leaving: bool = False
    acknowledged_at: float | None = None
    late: list[str] = field(default_factory=list)
    drain_s: float = 2.5
    rng: random.Random = field(default_factory=random.Random)
    free: asyncio.Condition = field(default_factory=asyncio.Condition)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def async_start(self) -> None:
        """Listen, and report to the process beside this server."""
        host, _, port = self.address.rpartition(':')
        listener = await asyncio.start_server(self._async_serve, host, port)
        self._spawn(listener.serve_forever())
        self._spawn(self._async_report())

    async def async_exit(self) -> None:
        """Say goodbye and end, with what still runs."""
        self.record.write('exits', server=self.name, running=self.running)
        with suppress(OSError, TimeoutError, BrokenMessageError):
            async with asyncio.timeout(REPORT_LIMIT_S):
                await self._async_report_call('DELETE', {})
        self.stop()

    def stop(self) -> None:
        """Stop to listen and to report."""
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.close()

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def async_leave(self) -> None:
        """Report that this server leaves; it goes on to serve."""
        self.is_leaving = True
        self.record.write('leaves', server=self.name)
        await self._async_try_report()

    async def _async_report(self) -> None:
        while True:
            await self._async_try_report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _async_try_report(self) -> None:
        with suppress(OSError, TimeoutError, BrokenMessageError):
            async with asyncio.timeout(REPORT_LIMIT_S):
                await self._async_send_heartbeat()

    async def _async_send_heartbeat(self) -> None:
        self.sequence += 1
        fields = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': self.capacity,
            'state': 'draining' if self.is_leaving else 'ready',
            'coldRemaining': '0ms',
            'sequence': self.sequence,
        }
        answer = await self._async_report_call('PUT', fields)
        is_acknowledged = answer is not None and 200 <= answer.status < 300
        if self.is_leaving and is_acknowledged and not self.acknowledged_at:
            self.acknowledged_at = time.monotonic()
            self.record.write('leaving-acknowledged', server=self.name)

    async def _async_report_call(
        self, method: str, fields: dict
    ) -> Message | None:
        host, _, port = self.reports.rpartition(':')
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                encode(
                    f'{method} /v1/instances/{self.name} HTTP/1.1',
                    {'Host': self.reports, 'Content-Type': 'application/json'},
                    json.dumps(fields).encode() if fields else b'',
                )
            )
            return await async_read(reader, is_response=True)
        finally:
            writer.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request after the other on a connection."""
        self.writers.add(writer)
        extra = b''
        try:
            while True:
                request = await async_read(reader)
                if request is None:
                    return
                if extra:
                    writer.write(extra)
                    self.record.write('extra-late-answer', server=self.name)
                    extra = b''
                answer = await self._async_answer(request)
                if answer is None:
                    return
                writer.write(answer)
                is_request = 'attempt-id' in request.headers
                if is_request and self.rng.random() < self.faults.extra_late:
                    extra = answer
        except (BrokenMessageError, ConnectionError, asyncio.CancelledError):
            # The connection ended, or the case did.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _async_answer(self, request: Message) -> bytes | None:
        """Return the answer, or None to close the connection without one."""
        method, path, _ = request.start.split(' ')
        match (method, path):
            case ('POST', '/v1/grant'):
                return self._grant(json.loads(request.body))
            case ('POST', '/v1/release'):
                return await self._async_release(json.loads(request.body))
            case ('GET', '/healthz'):
                return self._encode(HTTPStatus.OK, {})
        return await self._async_run(request, path)

    def _grant(self, fields: dict) -> bytes:
        now = time.monotonic()
        first, last, fence = fields['startKey'], fields['to'], fields['fence']
        if any(
            hold.first <= last and first <= hold.last and hold.fence > fence
            for hold in self.holds
        ):
            return self._encode(HTTPStatus.CONFLICT, {})
        hold_s = float(fields['hold_time'].removesuffix('ms')) / 1000
        self._drop(first, last)
        self.holds.append(Hold(first, last, fence, now + hold_s))
        return self._encode(HTTPStatus.OK, {})

    async def _async_release(self, fields: dict) -> bytes:
        first, last = fields['startKey'], fields['to']
        self._drop(first, last)
        while any(first <= key <= last for key in self.busy_keys):
            await asyncio.sleep(RELEASE_POLL_S)
        token = f'{self.rng.getrandbits(64):016x}'
        return self._encode(HTTPStatus.OK, {'Handover': token})

    def _drop(self, first: int, last: int) -> None:
        kept = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(Hold(hold.first, first - 1, hold.fence, hold.until))
            if last < hold.last:
                kept.append(Hold(last + 1, hold.last, hold.fence, hold.until))
        self.holds = kept

    def _holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(
            hold.first <= key <= hold.last and now < hold.until
            for hold in self.holds
        )

    async def _async_run(self, request: Message, path: str) -> bytes | None:
        attempt = request.headers.get('attempt-id', '')
        echo = {'Attempt-Id': attempt}
        refused = {**echo, 'Not-Executed': '1'}
        if not attempt:
            return self._encode(HTTPStatus.BAD_REQUEST, refused)
        expected = request.headers.get('expect-instance', self.name)
        key = int(request.headers.get('shard-key', '-1'))
        if expected != self.name or (self.is_keyed and not self._holds(key)):
            return self._refuse(HTTPStatus.MISDIRECTED_REQUEST, refused)
        self._note_late(attempt)
        is_full = self.running >= self.capacity and self.waiting >= QUEUE
        if is_full or self.rng.random() < self.faults.shed:
            return self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, refused)
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.capacity)
            self.waiting -= 1
            self.running += 1
        self.record.on_run(attempt, self.name, path)
        self.busy_keys.append(key)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.busy_keys.remove(key)
            async with self.free:
                self.running -= 1
                self.free.notify()
        if self.rng.random() < self.faults.lose:
            self.record.write('answer-lost', attempt=attempt, server=self.name)
            return None
        body = f'done {attempt}'.encode()
        return self._encode(
            HTTPStatus.OK,
            {**echo, 'Server-Stamp': f'{self.name}.{attempt}'},
            body,
        )

    def _note_late(self, attempt: str) -> None:
        """Record a request that arrives after the end of the drain time."""
        if self.acknowledged_at is None:
            return
        after_s = time.monotonic() - self.acknowledged_at
        if after_s > self.drain_s:
            self.late.append(attempt)
            self.record.write(
                'arrives-after-drain',
                attempt=attempt,
                server=self.name,
                after_s=round(after_s, 3),
            )

    def _refuse(self, status: HTTPStatus, headers: dict[str, str]) -> bytes:
        self.record.write(
            'refused',
            attempt=headers['Attempt-Id'],
            server=self.name,
            status=int(status),
        )
        return self._encode(status, headers)

    def _encode(
        self, status: HTTPStatus, headers: dict[str, str], body: bytes = b''
    ) -> bytes:
        load = f'{self.running},{self.waiting},{self.capacity}'
        return encode(
            f'HTTP/1.1 {int(status)} {status.phrase}',
            {
                'Instance-Id': self.name,
                'Server-Load': load,
                **({'Server-Leaving': '1'} if self.is_leaving else {}),
                **headers,
            },
            body,
        )
