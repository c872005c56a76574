"""Have a request run by the backend server beside this process."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from plantaingrade.admission.gate import Gate, RefusedError
from plantaingrade.admission.slots import Ticket
from plantaingrade.backends.life import BackendLife
from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.exchange import (
    read_response,
    send_request,
)
from plantaingrade.http.messages import Response
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.requests.const import (
    CATCH_UP_S,
    DEFAULT_RETRY_AFTER_S,
    HOLD_LOOK_S,
    MAX_SKIPPED_ANSWERS,
    MIN_TRY_S,
    ONCE_IDLE_S,
    SERVER_GRACE_S,
)
from plantaingrade.requests.crashes import CrashWatch
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    RoutedRequest,
    ServerReply,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.failures import FailureRates
from plantaingrade.requests.suspects import Suspects, fingerprint

# A server that was not reached is offered no work without a key for this long,
# in seconds. It runs nothing, and would look like the one with most room.
UNREACHED_PAUSE_S = 0.5
# Stands for no key where work is counted by key.
NO_KEY = -1
EncodeRequest = Callable[[RoutedRequest, str, float], list]
DecodeReply = Callable[[Response], ServerReply]


class ServerWire(Struct, frozen=True):
    """How requests to the server and its answers are written."""

    address: str
    encode: EncodeRequest
    decode: DecodeReply


class ServerHooks(Struct, frozen=True):
    """What the path asks and tells.

    ``is_keyed`` tells whether the server's service is divided by key, or
    nothing while no configuration is known. ``on_other_life`` is told of an
    unexpected id. ``observe`` is told of each key asked for here, or of
    ``NO_KEY``, with the work that it brings. ``on_crash`` is told what ran at
    the server when it crashed.
    """

    is_keyed: Callable[[], bool | None]
    on_other_life: Callable[[str], None]
    observe: Callable[[int, float], None]
    on_crash: Callable[[tuple[str, ...]], None]


class ServerPath:
    """Serve requests at the own server, within its slots."""

    __slots__ = (
        '_clock',
        '_crashes',
        '_gate',
        '_holds',
        '_hooks',
        '_life',
        '_log',
        '_failures',
        '_pool',
        '_unreached_until',
        '_wire',
        'is_closed',
        'is_drained',
        'is_evacuated',
    )

    def __init__(
        self,
        wire: ServerWire,
        life: BackendLife,
        holds: HoldCoordinator,
        gate: Gate,
        pool: Pool,
        clock: Clock,
        log: EventLog,
        hooks: ServerHooks,
    ) -> None:
        """Join the parts."""
        self.is_closed = False
        # By an operator; keys are still served until they have passed on.
        self.is_drained = False
        # By an operator; nothing is served, whoever owns the keys.
        self.is_evacuated = False
        self._hooks = hooks
        self._crashes = CrashWatch(Suspects())
        self._failures = FailureRates()
        self._unreached_until = 0.0
        self._wire = wire
        self._life = life
        self._holds = holds
        self._gate = gate
        self._pool = pool
        self._clock = clock
        self._log = log

    def room(self, kind: str, priority: int) -> FreeCapacity | None:
        """Return how soon the server could run a request without a key."""
        is_closed = self.is_closed or self.is_evacuated or self.is_drained
        if is_closed or not self._life.takes_work:
            return None
        now = self._clock.now()
        if now < self._unreached_until:
            return None
        queue = self._gate.queue
        return FreeCapacity(
            queue.expected_wait_s(kind, priority, now),
            queue.estimate.expected_s(kind),
            self._failures.rate(self._life.instance, now),
        )

    def on_new_life(self) -> None:
        """Keep no connection to the life before.

        Nobody has closed them, and work sent on one of them may be lost.
        """
        self._pool.close_idle(self._wire.address)
        self._note_down()

    def suspect(self, digests: tuple[str, ...]) -> None:
        """Take what ran at a server when it crashed, here or elsewhere."""
        self._crashes.suspects.note_crash(digests, self._clock.now())

    async def async_serve(
        self, routed: RoutedRequest, map_version: int = 0
    ) -> Outcome:
        """Return what became of a request.

        ``map_version`` is that of the map by which it was sent here.
        """
        arrived = self._clock.now()
        if self._needs_hold(routed):
            await self._async_catch_up(map_version)
        outcome = await self._async_decide(routed)
        if not isinstance(outcome, Answered):
            self._explain(routed, outcome, arrived)
        return outcome

    async def _async_catch_up(self, map_version: int) -> None:
        """Wait for the map by which a request was sent here.

        Else a request goes to and fro between giver and receiver until its
        tries are spent.
        """
        if map_version <= self._holds.registry.key_map.version:
            return
        self._holds.on_hint(map_version)
        ends = self._clock.now() + CATCH_UP_S
        while map_version > self._holds.registry.key_map.version:
            left_s = ends - self._clock.now()
            if left_s <= 0:
                return
            await self._holds.async_wait_change(left_s)

    def _explain(
        self, routed: RoutedRequest, outcome: NotRun | Unknown, arrived: float
    ) -> None:
        """Log what decided on a request that was not answered."""
        now = self._clock.now()
        queue = self._gate.queue
        key = routed.caller.key
        owned = None
        if key is not None and self._needs_hold(routed):
            owned = self._holds.registry.key_map.find(key)
        self._log.write(
            'not-served',
            id=routed.caller.request_id.decode('ascii', 'replace'),
            key=key,
            kind=routed.kind,
            outcome=type(outcome).__name__,
            why=outcome.reason.value,
            held_ms=round((now - arrived) * MS_PER_S, 1),
            left_ms=round((routed.until - now) * MS_PER_S, 1),
            due_ms=round((routed.due - now) * MS_PER_S, 1),
            running=queue.running,
            waiting=queue.waiting,
            slots=queue.slots,
            expected_ms=round(
                queue.estimate.expected_s(routed.kind) * MS_PER_S, 1
            ),
            server=self._life.instance,
            server_state=self._life.state,
            server_heard_s=round(now - self._life.heard_at, 2),
            owner=owned and owned.owner,
            fence=owned and owned.fence,
            map=self._holds.registry.key_map.version,
            lease_left_s=round(self._holds.registry.lease_until - now, 2),
        )

    async def _async_decide(self, routed: RoutedRequest) -> Outcome:
        refusal = self._refuse_by_state(routed) or self._refuse_suspect(routed)
        if refusal is None and not self._needs_hold(routed):
            self._observe(routed, NO_KEY)
        if refusal is None and self._needs_hold(routed):
            refusal = await self._async_wait_hold(routed)
        if refusal is not None:
            return refusal
        ticket = Ticket(routed.kind, routed.priority, routed.until, routed.due)
        try:
            async with self._gate.slot(ticket):
                return await self._async_run(routed)
        except RefusedError as error:
            return error.outcome

    def _refuse_suspect(self, routed: RoutedRequest) -> NotRun | None:
        """Refuse a request that one server after the other crashed with."""
        suspects = self._crashes.suspects
        if suspects.is_empty:
            return None
        left_s = suspects.left_s(fingerprint(routed), self._clock.now())
        return NotRun(NotRunReason.CRASHES, left_s) if left_s else None

    def _note_down(self) -> None:
        digests = self._crashes.on_down(self._clock.now())
        if digests:
            self._log.write('server-crashed', ran=digests)
            self.suspect(digests)
            self._hooks.on_crash(digests)

    def _observe(self, routed: RoutedRequest, key: int) -> None:
        """Count what a request asks of the server, whatever comes of it."""
        work_s = self._gate.queue.estimate.expected_s(routed.kind)
        self._hooks.observe(key, work_s)

    def _needs_hold(self, routed: RoutedRequest) -> bool:
        return bool(self._hooks.is_keyed()) and routed.caller.key is not None

    def _refuse_by_state(self, routed: RoutedRequest) -> NotRun | None:
        if self.is_closed:
            return NotRun(NotRunReason.LEAVING)
        if self.is_evacuated:
            return NotRun(NotRunReason.DRAINING, DEFAULT_RETRY_AFTER_S)
        if self.is_drained and not self._needs_hold(routed):
            return NotRun(NotRunReason.DRAINING, DEFAULT_RETRY_AFTER_S)
        if self._hooks.is_keyed() is None:
            return NotRun(NotRunReason.NO_CONFIG, DEFAULT_RETRY_AFTER_S)
        if self._life.takes_work:
            return None
        now = self._clock.now()
        if self._needs_hold(routed) and self._life.is_finishing(now):
            # Its keys are on their way to others and may still be here.
            return None
        return NotRun(NotRunReason.SERVER_DOWN, DEFAULT_RETRY_AFTER_S)

    async def _async_wait_hold(self, routed: RoutedRequest) -> NotRun | None:
        """Wait while keys move or are about to be granted."""
        key = routed.caller.key or 0
        if self._holds.find_own(key) is not None:
            self._observe(routed, key)
        while not self._holds.is_held(key):
            assignment = self._holds.registry.key_map.find(key)
            if assignment is None:
                return NotRun(NotRunReason.NO_OWNER, DEFAULT_RETRY_AFTER_S)
            if self._holds.find_own(key) is None:
                return NotRun(
                    NotRunReason.NOT_OWNER,
                    0.0,
                    assignment.owner,
                    self._holds.registry.key_map.version,
                )
            left_s = routed.until - self._clock.now()
            left_s -= self._gate.queue.estimate.expected_s(routed.kind)
            if left_s <= 0 or self._holds.is_overdue(key):
                return NotRun(NotRunReason.NOT_GRANTED, DEFAULT_RETRY_AFTER_S)
            await self._holds.async_wait_change(min(left_s, HOLD_LOOK_S))
        return None

    async def _async_run(self, routed: RoutedRequest) -> Outcome:
        """Send the request to the server while a slot is held."""
        key = routed.caller.key or 0
        if self._needs_hold(routed) and not self._holds.is_held(key):
            return NotRun(NotRunReason.MOVING, DEFAULT_RETRY_AFTER_S)
        left_s = routed.until - self._clock.now()
        if left_s < MIN_TRY_S:
            return NotRun(NotRunReason.EXPIRED, DEFAULT_RETRY_AFTER_S)
        began = self._clock.now()
        try:
            async with asyncio.timeout(left_s + SERVER_GRACE_S):
                outcome = await self._async_exchange(routed, left_s)
        except TimeoutError:
            # A server answers at the deadline at the latest, so what lies
            # between may have forgotten the connections that are kept.
            self._pool.close_idle(self._wire.address)
            outcome = Unknown(UnknownReason.TIMEOUT)
        now = self._clock.now()
        self._failures.observe(self._life.instance, outcome, now)
        if not isinstance(outcome, NotRun):
            took_s = now - began
            self._gate.queue.estimate.observe(routed.kind, took_s)
        return outcome

    async def _async_exchange(
        self, routed: RoutedRequest, left_s: float
    ) -> Outcome:
        instance = self._life.instance
        max_idle_s = None if routed.is_idempotent else ONCE_IDLE_S
        address = self._wire.address
        try:
            channel = await self._pool.acquire(address, max_idle_s=max_idle_s)
        except ConnectFailedError as error:
            self._log.write(
                'server-not-reached',
                id=routed.caller.request_id.decode('ascii', 'replace'),
                why=str(error.__cause__),
            )
            self._unreached_until = self._clock.now() + UNREACHED_PAUSE_S
            self._note_down()
            return NotRun(NotRunReason.CONNECT_FAILED, DEFAULT_RETRY_AFTER_S)
        headers = tuple(self._wire.encode(routed, instance, left_s))
        caller = routed.caller
        try:
            send_request(
                channel, caller.method, caller.target, headers, caller.body
            )
        except ChannelClosedError:
            channel.abort()
            return NotRun(NotRunReason.CONNECT_FAILED, DEFAULT_RETRY_AFTER_S)
        return await self._async_watch(routed, channel)

    async def _async_watch(
        self, routed: RoutedRequest, channel: Channel
    ) -> Outcome:
        """Read the answer, and note what it tells of the server's health."""
        digest = fingerprint(routed)
        self._crashes.on_sent(digest)
        outcome = None
        try:
            outcome = await self._async_read(routed, channel)
        finally:
            now = self._clock.now()
            match outcome:
                case Answered():
                    self._crashes.on_answered(digest, now)
                case Unknown(reason=UnknownReason.BROKEN):
                    self._crashes.on_broken(digest, now)
                case _:
                    self._crashes.on_ended(digest)
        return outcome

    async def _async_read(
        self, routed: RoutedRequest, channel: Channel
    ) -> Outcome:
        wanted = routed.caller.request_id
        reply = None

        def is_own(head: Response) -> bool:  # noqa: WPS430
            # The head of the last answer looked at is the one returned.
            nonlocal reply  # noqa: WPS420
            reply = self._wire.decode(head)
            return not reply.request_id or reply.request_id == wanted

        try:
            whole = await read_response(channel, is_own, MAX_SKIPPED_ANSWERS)
        except ChannelClosedError:
            channel.abort()
            return Unknown(UnknownReason.BROKEN)
        except BaseException:
            # Closing tells the server that nobody waits for the answer.
            channel.abort()
            raise
        if whole is None or reply is None:
            channel.abort()
            return Unknown(UnknownReason.MISMATCH)
        if reply.closes:
            channel.close()
        else:
            self._pool.release(self._wire.address, channel)
        return self._judge(reply, whole.body)

    def _judge(self, reply: ServerReply, body: bytes) -> Outcome:
        if reply.is_not_run:
            if reply.instance and reply.instance != self._life.instance:
                self._hooks.on_other_life(reply.instance)
            self._log.write(
                'server-refused',
                id=reply.request_id.decode('ascii', 'replace'),
                status=reply.status,
                named=reply.instance,
                load=reply.load,
            )
            return NotRun(NotRunReason.SERVER_REFUSED, DEFAULT_RETRY_AFTER_S)
        return Answered(Answer(reply.status, reply.headers, body))
