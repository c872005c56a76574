"""Stand-in for an application worker, written from the users' pages alone.

It uses nothing of the project. What it runs, refuses, is granted and releases
goes line by line to a record. Without a fault it behaves as PROTOCOL.md says.
"""

import argparse
import asyncio
import json
import os
import signal
import time
import uuid
import zlib

KEY_FIRST, KEY_LAST = 0, 65_535
REASONS = {
    200: 'OK',
    400: 'Bad Request',
    409: 'Conflict',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def now() -> float:
    """Return the machine's steady clock, which all processes share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def seconds(text: str) -> float:
    """Return the seconds of a time such as ``1500ms`` or ``2.5s``."""
    if text.endswith('ms'):
        return float(text[:-2]) / 1000
    return float(text[:-1])


def work_s(path: str, usual_s: float) -> float:
    """Return how long a request takes: ``/.../work-2400`` names its time."""
    _, marked, ms = path.rpartition('/work-')
    return int(ms) / 1000 if marked else usual_s


class Record:
    """Appends events to a file, one JSON object a line."""

    def __init__(self, path: str, name: str) -> None:
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._name = name

    def write(self, event: str, **fields) -> None:
        line = {'t': round(now(), 4), 'who': self._name, 'event': event}
        os.write(self._fd, (json.dumps({**line, **fields}) + '\n').encode())


async def read_request(reader):
    """Return method, path, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, path, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    try:
        if 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        elif headers.get('transfer-encoding', '').lower() == 'chunked':
            body = await read_chunks(reader)
        else:
            body = b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, path, headers, body


async def read_chunks(reader) -> bytes:
    """Return a body that is sent in chunks."""
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def response(status: int, headers=(), body: bytes = b'') -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS[status]}']
    lines += [f'{name}: {text}' for name, text in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Worker:
    """One boot of a worker."""

    def __init__(self, flags) -> None:
        self.flags = flags
        self.id = f'i-{uuid.uuid4().hex[:10]}'
        self.born = int(time.time() * 1000)
        self.record = Record(flags.record, flags.name)
        self.state = 'ready'
        self.running = 0
        self.sequence = 0
        # Ranges that are held: first, last, fence, end of the hold.
        self.holds: list[tuple[int, int, int, float]] = []
        self.fences: list[tuple[int, int, int]] = []
        self.working: list[int] = []
        # Answers so far, and those that were followed by other bytes.
        self.answers = 0
        self.extras = 0
        self.order_answers = 0
        self.order_extras = 0
        self.acknowledged = asyncio.Event()

    # Heartbeats

    async def report(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(self.flags.heartbeat_s)

    async def beat(self) -> None:
        self.sequence += 1
        state = self.state
        body = {
            'service': self.flags.service,
            'address': self.flags.address,
            'zone': self.flags.zone,
            'version': 'v1',
            'capacity': self.flags.slots,
            'state': state,
            'coldRemaining': '0ms',
            'sequence': self.sequence,
            'born': self.born,
        }
        status = await self.call('PUT', json.dumps(body).encode())
        if status == 200 and state == 'draining':
            if not self.acknowledged.is_set():
                self.record.write('draining-acknowledged', id=self.id)
            self.acknowledged.set()

    async def call(self, method: str, body: bytes) -> int:
        host, port = self.flags.reports.rsplit(':', 1)
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        (
                            f'{method} /v1/instances/{self.id} HTTP/1.1\r\n'
                            f'Host: {self.flags.reports}\r\n'
                            'Content-Type: application/json\r\n'
                            f'Content-Length: {len(body)}\r\n'
                            'Connection: close\r\n\r\n'
                        ).encode()
                        + body
                    )
                    line = await reader.readline()
                    return int(line.split()[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0

    # Keys

    def held(self, key: int) -> bool:
        return any(
            first <= key <= last and until > now()
            for first, last, _, until in self.holds
        )

    def drop(self, first: int, last: int) -> None:
        kept = []
        for low, high, fence, until in self.holds:
            if low < first:
                kept.append((low, min(high, first - 1), fence, until))
            if high > last:
                kept.append((max(low, last + 1), high, fence, until))
        self.holds = kept

    def grant(self, order: dict, arrived: float, how: str) -> int:
        first, last, fence = order['startKey'], order['to'], order['fence']
        if any(
            low <= last and first <= high and seen > fence
            for low, high, seen in self.fences
        ):
            self.record.write(
                'grant-refused', first=first, last=last, fence=fence
            )
            return 409
        until = arrived + seconds(order['hold_time'])
        is_new = not any(
            hold[:3] == (first, last, fence) and hold[3] > now()
            for hold in self.holds
        )
        self.fences = [
            seen
            for seen in self.fences
            if not (first <= seen[0] and seen[1] <= last)
        ]
        self.fences.append((first, last, fence))
        self.drop(first, last)
        self.holds.append((first, last, fence, until))
        if is_new or how != 'at once':
            self.record.write(
                'taken',
                first=first,
                last=last,
                fence=fence,
                until=round(until, 4),
                how=how,
            )
        return 200

    async def grant_late(self, order: dict, arrived: float) -> None:
        await asyncio.sleep(self.flags.order_late_s)
        self.grant(order, arrived, f'{self.flags.order_late_s} s late')

    async def release(self, order: dict) -> bytes:
        first, last = order['startKey'], order['to']
        self.drop(first, last)
        while any(first <= key <= last for key in self.working):
            await asyncio.sleep(0.002)
        self.record.write(
            'released', first=first, last=last, fence=order['fence']
        )
        token = uuid.uuid4().hex[:16]
        return self.answer(200, [('Handover', token)])

    # Requests

    def answer(self, status: int, headers=(), body: bytes = b'') -> bytes:
        load = f'{self.running},0,{self.flags.slots}'
        own = [('Server-Load', load)]
        if self.state == 'draining':
            own.append(('Server-Leaving', '1'))
        return response(status, [*own, *headers], body)

    def refusal(self, status: int, ident: str) -> bytes:
        headers = [('Not-Executed', '1'), ('Instance-Id', self.id)]
        if ident:
            headers.append(('Attempt-Id', ident))
        return self.answer(status, headers)

    async def serve(self, reader, writer) -> None:
        # Bytes that follow a complete response late: when the next request
        # has arrived on this connection.
        late = b''
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                is_late_order = bool(late) and self.flags.order_late_s > 0
                if late:
                    writer.write(late)
                    self.record.write(
                        'extra-bytes',
                        bytes=late.decode('latin-1'),
                        before=request[2].get('attempt-id'),
                        path=request[1],
                    )
                    late = b''
                late = await self.serve_one(
                    request, reader, writer, is_late_order
                )
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    async def serve_one(self, request, reader, writer, is_late_order) -> bytes:
        method, path, headers, body = request
        if path == '/v1/grant':
            return self.serve_grant(json.loads(body), writer, is_late_order)
        if path == '/v1/release':
            writer.write(await self.release(json.loads(body)))
            return b''
        if path == '/healthz':
            status = 503 if self.state == 'draining' else 200
            writer.write(self.answer(status, [('Instance-Id', self.id)]))
            return b''
        await self.serve_work(method, path, headers, body, reader, writer)
        return self.next_extra()

    def serve_grant(self, order: dict, writer, is_late: bool) -> bytes:
        arrived = now()
        if is_late:
            # Left unanswered, and carried out late.
            self.record.write('grant-unanswered', fence=order['fence'])
            asyncio.get_running_loop().create_task(
                self.grant_late(order, arrived)
            )
            asyncio.get_running_loop().call_later(0.1, self.leave)
            return b''
        answer = self.answer(self.grant(order, arrived, 'at once'))
        writer.write(answer)
        self.order_answers += 1
        flags = self.flags
        if not flags.order_extra_every or self.order_extras:
            return b''
        if self.order_answers < flags.order_extra_every:
            return b''
        self.order_extras += 1
        return answer

    def leave(self) -> None:
        if self.state == 'ready':
            self.state = 'draining'
            self.record.write('leaves', id=self.id)
            asyncio.get_running_loop().create_task(self.beat())

    def next_extra(self) -> bytes:
        """Return the bytes that follow the last answer, for few answers."""
        self.answers += 1
        every = self.flags.extra_every
        if not every or self.answers % every:
            return b''
        self.extras += 1
        if self.flags.extra == 'refusal':
            return response(503, [('Not-Executed', '1')])
        return response(200, [], b'bytes that belong to no request')

    async def serve_work(
        self, method, path, headers, body, reader, writer
    ) -> None:
        ident = headers.get('attempt-id', '')
        key = headers.get('shard-key')
        expected = headers.get('expect-instance', '')
        status = 0
        if not ident:
            status = 400
        elif expected and expected != self.id:
            status = 421
        elif self.flags.keyed and (key is None or not self.held(int(key))):
            status = 421
        elif self.running >= self.flags.slots:
            status = 503
        if status:
            self.record.write('refused', request=ident, status=status)
            writer.write(self.refusal(status, ident))
            return
        self.running += 1
        self.working.append(int(key or 0))
        self.record.write(
            'runs',
            request=ident,
            method=method,
            path=path,
            key=key,
            body=body[:80].decode('latin-1'),
            size=len(body),
            crc=zlib.crc32(body),
            caller=headers.get('caller-service'),
        )
        ends = now() + work_s(path, self.flags.work_ms / 1000)
        try:
            while now() < ends:
                await asyncio.sleep(min(0.02, max(0.0, ends - now())))
                if reader.at_eof() or writer.transport.is_closing():
                    # As most workers, it drops work whose caller has left.
                    self.record.write('broken-off', request=ident)
                    return
        finally:
            self.running -= 1
            self.working.remove(int(key or 0))
        stamp = f'{self.id}.{ident}'
        writer.write(
            self.answer(
                200,
                [('Attempt-Id', ident), ('Server-Stamp', stamp)],
                f'done {ident} '.encode() + body,
            )
        )


async def run(flags) -> None:
    worker = Worker(flags)
    host, port = flags.address.rsplit(':', 1)
    server = await asyncio.start_server(worker.serve, host, int(port))
    worker.record.write('starts', id=worker.id, born=worker.born)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, worker.leave)
    reporter = loop.create_task(worker.report())
    await stop.wait()
    reporter.cancel()
    server.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--zone', required=True)
    parser.add_argument('--address', required=True)
    parser.add_argument('--reports', required=True)
    parser.add_argument('--record', required=True)
    parser.add_argument('--keyed', action='store_true')
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--work-ms', type=float, default=20.0)
    parser.add_argument('--heartbeat-s', type=float, default=0.87)
    parser.add_argument('--extra', choices=('refusal', 'success'))
    parser.add_argument('--extra-every', type=int, default=0)
    parser.add_argument('--order-extra-every', type=int, default=0)
    parser.add_argument('--order-late-s', type=float, default=0.0)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
