"""Callers that learn owners, and record each response."""

import asyncio
import hashlib
import json
import random
import uuid
from dataclasses import dataclass, field

from demo.topology import Deployment
from plantaingrade.clock import BootClock
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.messages import LocalProtocolError
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.journal.keys import range_slice_id, slice_index
from standins.backend import digest

CALLER_HOST = '127.3.0.1'
TIMEOUT_MS = 2000
# Time that a caller waits beyond the timeout in its request.
EXTRA_WAIT_MS = 100
AVOID_SILENT_S = 3.0
OK = 200


@dataclass(slots=True)
class RequestRecord:
    """The outcome of one request as its caller received it."""

    request_id: str
    service: str
    key: str
    slice_id: str
    method: str
    request_class: str
    sent_at: float
    done_at: float
    outcome: str
    reason: str = ''
    server: str = ''
    contacted: str = ''
    owner: str = ''
    whole: bool = True
    probe: bool = False
    retry_after: str = ''


@dataclass(slots=True)
class RouteCache:
    """A caller's cached routes, updated by every response."""

    deployment: Deployment
    clock: BootClock
    slices_by_service: dict[str, int] = field(default_factory=dict)
    owner_by_slice: dict[str, str] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    silent_until: dict[str, float] = field(default_factory=dict)

    def pick(self, service: str, key: str) -> tuple[str, str]:
        """Return the slice of a key and the process to contact."""
        if not key:
            return '', self.any_process()
        count = self.slices_by_service[service]
        slice_id = range_slice_id(service, slice_index(key, count))
        return slice_id, self.owner_by_slice.get(slice_id) or self.any_process()

    def any_process(self) -> str:
        """Return a random process that neither refused nor was silent."""
        servers = [
            server.http
            for server in self.deployment.servers
            if server.http not in self.refused
            and self.silent_until.get(server.http, 0.0) < self.clock.now()
        ]
        return random.choice(servers)

    def learn(self, slice_id: str, owner: str) -> None:
        """Record the owner of a slice."""
        if slice_id and owner:
            self.owner_by_slice[slice_id] = owner

    def forget(self, slice_id: str) -> None:
        """Remove the cached owner of a slice."""
        self.owner_by_slice.pop(slice_id, None)


class Callers:
    """Send requests of every kind and record each outcome."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Create the callers of one deployment."""
        self.clock = BootClock()
        self.routes = RouteCache(deployment, self.clock)
        self.routes.slices_by_service = {
            each.name: each.slices for each in deployment.services
        }
        self.records: list[RequestRecord] = []
        self._deployment = deployment
        self._pool = Pool(self.clock, CALLER_HOST)
        self._random = random.Random(seed)
        self._stopped = False

    def stop(self) -> None:
        """Stop the load; requests in flight are completed."""
        self._stopped = True

    async def async_run(self, workers: int, rate_per_worker: float) -> None:
        """Send mixed requests, and probe one key in each slice."""
        async with asyncio.TaskGroup() as group:
            for _ in range(workers):
                group.create_task(self._work(rate_per_worker))
            for service in self._deployment.services:
                for index in range(service.slices):
                    key = probe_key(service.name, index, service.slices)
                    group.create_task(self._probe(service.name, key))

    async def _work(self, rate: float) -> None:
        while not self._stopped:
            await asyncio.sleep(self._random.expovariate(rate))
            service = self._random.choice(self._deployment.services)
            key_number = int(self._random.paretovariate(1.1))
            keyless = not service.keyed and self._random_bool()
            key = '' if keyless else f'{service.name}-{key_number % 5000}'
            method = self._random.choice(('GET', 'GET', 'POST', 'PUT'))
            await self.async_send(service.name, key, method)

    async def _probe(self, service: str, key: str) -> None:
        await asyncio.sleep(self._random.random() * PROBE_EVERY_S)
        while not self._stopped:
            started_at = self.clock.now()
            method = 'POST' if self._random_bool() else 'GET'
            await self.async_send(service, key, method, probe=True)
            spent = self.clock.now() - started_at
            await asyncio.sleep(max(0.0, PROBE_EVERY_S - spent))

    async def async_send(
        self,
        service: str,
        key: str,
        method: str,
        *,
        probe: bool = False,
    ) -> RequestRecord:
        """Send one request and record its outcome."""
        slice_id, contacted = self.routes.pick(service, key)
        request_id = uuid.uuid4().hex
        body = b'' if method == 'GET' else request_id.encode() * 8
        limit_ms = PROBE_TIMEOUT_MS if probe else TIMEOUT_MS
        kind = 'availability' if method == 'GET' else 'default'
        call = Call(
            method,
            contacted,
            f'/{service}/{key}',
            (
                ('x-request-id', request_id),
                ('x-tenant', random.choice(self._deployment.tenants)),
                ('x-request-class', kind),
                ('x-request-timeout-ms', str(limit_ms)),
            ),
            body,
        )
        record = RequestRecord(
            request_id=request_id,
            service=service,
            key=key,
            slice_id=slice_id,
            method=method,
            request_class=kind,
            sent_at=self.clock.now(),
            done_at=0.0,
            outcome='unknown',
            contacted=contacted,
            probe=probe,
        )
        await self._exchange(call, record, limit_ms + EXTRA_WAIT_MS)
        record.done_at = self.clock.now()
        self.records.append(record)
        if record.outcome == 'answered':
            self.routes.learn(slice_id, record.owner)
        else:
            self.routes.forget(slice_id)
        return record

    async def _exchange(
        self, call: Call, record: RequestRecord, limit_ms: int
    ) -> None:
        try:
            async with asyncio.timeout(limit_ms / 1000):
                reply = await fetch(self._pool, call)
        except ConnectFailedError:
            # Like any client with several addresses, don't retry this one.
            self.routes.refused.add(call.address)
            record.outcome = 'not-run'
            record.reason = 'caller-connect'
            return
        except (ChannelClosedError, LocalProtocolError):
            record.reason = 'caller-broken'
            return
        except TimeoutError:
            # Avoid an address that does not respond for some seconds.
            until = self.clock.now() + AVOID_SILENT_S
            self.routes.silent_until[call.address] = until
            record.reason = 'caller-timeout'
            return
        self._record_reply(reply, record, call.body)

    def _random_bool(self) -> bool:
        return bool(self._random.getrandbits(1))

    def _record_reply(
        self, reply: Reply, record: RequestRecord, body: bytes
    ) -> None:
        headers = reply.headers
        record.outcome = headers.get(b'x-outcome', b'none').decode()
        record.reason = headers.get(b'x-reason', b'').decode()
        record.owner = headers.get(b'x-owner', b'').decode()
        record.retry_after = headers.get(b'retry-after', b'').decode()
        if record.outcome != 'answered':
            return
        answer = json.loads(reply.body) if reply.status == OK else {}
        record.server = answer.get('server', '')
        record.whole = (
            answer.get('id') == record.request_id
            and answer.get('key') == record.key
            and answer.get('body') == hashlib.blake2b(body).hexdigest()
            and answer.get('digest')
            == digest(record.request_id, record.key, answer['filler'])
        )


PROBE_EVERY_S = 0.2
PROBE_TIMEOUT_MS = 400


def probe_key(service: str, index: int, count: int) -> str:
    """Return a key that belongs to a slice."""
    number = 0
    while True:
        key = f'{service}-probe-{number}'
        if slice_index(key, count) == index:
            return key
        number += 1
