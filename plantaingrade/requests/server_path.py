"""Run requests at the backend server of this process."""

import asyncio


from plantaingrade.admission.entity import Ticket
from plantaingrade.admission.gate import Gate, RefusedError
from plantaingrade.backends.incarnation import IncarnationTracker
from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.const import (
    DEFAULT_RETRY_AFTER_S,
    HOLD_POLL_S,
    MAP_WAIT_S,
    MIN_TRY_S,
    SERVER_GRACE_S,
)
from plantaingrade.requests.crashes import CrashDetector
from plantaingrade.requests.entity import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    RoutedRequest,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.failures import FailureRates
from plantaingrade.requests.process_end import ProcessEnd
from plantaingrade.requests.server_exchange import (
    ServerCodec,
    ServerExchange,
    ServerHooks,
    ServerProgress,
)
from plantaingrade.requests.suspects import Suspects, fingerprint
from plantaingrade.requests.work_samples import WorkSamples

# A server that could not be reached gets no requests without a key for this
# long, in seconds. As it runs nothing, it would otherwise seem to have the most
# free capacity.
UNREACHED_PAUSE_S = 0.5
# Placeholder for requests without a key where load is counted by key.
NO_KEY = -1


class ServerPath:
    """Runs requests at the own server, within the limit of its slots."""

    __slots__ = (
        '_clock',
        '_crashes',
        '_exchange',
        '_gate',
        '_holds',
        '_hooks',
        '_tracker',
        '_log',
        '_failures',
        '_samples',
        '_unreached_until',
        'end',
        'is_closed',
        'is_drained',
        'is_evacuated',
    )

    def __init__(
        self,
        codec: ServerCodec,
        tracker: IncarnationTracker,
        holds: HoldCoordinator,
        gate: Gate,
        pool: Pool,
        budget: BufferBudget,
        clock: Clock,
        log: EventLog,
        hooks: ServerHooks,
    ) -> None:
        """Combine the components that requests to the server pass through.

        ``budget`` limits the bytes of answers while they are read.
        """
        # Which requests may still begin if this process stops.
        self.end = ProcessEnd()
        self.is_closed = False
        # Set by an operator; requests with a key are still served until the
        # keys have been transferred.
        self.is_drained = False
        # Set by an operator; no requests are served, whoever owns the keys.
        self.is_evacuated = False
        self._hooks = hooks
        self._crashes = CrashDetector(Suspects())
        self._failures = FailureRates()
        self._samples = WorkSamples(gate.queue.estimate)
        self._unreached_until = 0.0
        self._exchange = ServerExchange(
            codec, tracker, pool, budget, clock, log, hooks
        )
        self._tracker = tracker
        self._holds = holds
        self._gate = gate
        self._clock = clock
        self._log = log

    def free_capacity(self, kind: str, priority: int) -> FreeCapacity | None:
        """Return how soon the server could run a request without a key.

        Return None if it accepts none.
        """
        is_closed = self.is_closed or self.is_evacuated or self.is_drained
        if is_closed or not self._tracker.accepts_work:
            return None
        now = self._clock.now()
        if now < self._unreached_until:
            return None
        queue = self._gate.queue
        return FreeCapacity(
            queue.expected_wait_s(kind, priority, now),
            queue.estimate.expected_s(kind),
            self._failures.rate(self._tracker.instance, now),
        )

    def expected_work_s(self, kind: str) -> float:
        """Return how long the server works on a request of a class."""
        return self._gate.queue.estimate.expected_s(kind)

    def on_new_incarnation(self) -> None:
        """Close the connections to the previous incarnation of the server.

        They may still be open here, and requests sent on them may be lost.
        """
        self._exchange.close_idle()
        self._report_crash()

    def on_leaving(self) -> None:
        """Refuse what waits for a server that begins to leave.

        Others may serve it, and its turn may come after the drain time.
        """
        refused = self._gate.refuse_waiting(
            NotRun(NotRunReason.SERVER_DOWN, DEFAULT_RETRY_AFTER_S)
        )
        self._log.write('queue-refused', count=refused)

    def on_end_near(self) -> None:
        """Refuse what waits and may outlast this process, which stops."""
        refused = self._gate.refuse_by(self._refuse_waiting_by_end)
        self._log.write('queue-refused', count=refused)

    def record_crash(self, digests: tuple[str, ...]) -> None:
        """Record the requests that ran at a server when it crashed.

        The crash may have been at this server or at another one.
        """
        self._crashes.suspects.add_crash(digests, self._clock.now())

    async def async_serve(
        self, routed: RoutedRequest, map_version: int = 0
    ) -> Outcome:
        """Serve a request and return its outcome.

        ``map_version`` is the version of the map that its sender used.
        """
        arrived = self._clock.now()
        if self._needs_hold(routed):
            await self._async_wait_for_map(map_version)
        outcome = await self._async_admit(routed)
        if not isinstance(outcome, Answered):
            self._log_not_served(routed, outcome, arrived)
        return outcome

    async def _async_wait_for_map(self, map_version: int) -> None:
        """Wait for the map version that the sender of a request used.

        Otherwise the previous and the new owner could redirect a request to
        each other until its tries are used up.
        """
        if map_version <= self._holds.registry.key_map.version:
            return
        self._holds.on_hint(map_version)
        ends = self._clock.now() + MAP_WAIT_S
        while map_version > self._holds.registry.key_map.version:
            left_s = ends - self._clock.now()
            if left_s <= 0:
                return
            await self._holds.async_wait_change(left_s)

    def _log_not_served(
        self, routed: RoutedRequest, outcome: NotRun | Unknown, arrived: float
    ) -> None:
        """Log the state in which a request was not answered."""
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
            server=self._tracker.instance,
            server_state=self._tracker.state,
            server_heard_s=round(now - self._tracker.last_received_at, 2),
            owner=owned and owned.owner,
            fence=owned and owned.fence,
            map=self._holds.registry.key_map.version,
            lease_left_s=round(self._holds.registry.lease_until - now, 2),
        )

    async def _async_admit(self, routed: RoutedRequest) -> Outcome:
        refusal = self._refuse_by_state(routed) or self._refuse_quarantined(
            routed
        )
        if refusal is None and not self._needs_hold(routed):
            self._record_demand(routed, NO_KEY)
        if refusal is None and self._needs_hold(routed):
            refusal = await self._async_wait_for_hold(routed)
        refusal = refusal or self._refuse_by_end(routed)
        if refusal is not None:
            return refusal
        ticket = Ticket(
            routed.kind,
            routed.priority,
            routed.until,
            routed.due,
            size=len(routed.caller.body),
            is_bound=self._needs_hold(routed),
        )
        try:
            async with self._gate.slot(ticket):
                return await self._async_run(routed, ticket)
        except RefusedError as error:
            return error.outcome

    def _refuse_quarantined(self, routed: RoutedRequest) -> NotRun | None:
        """Refuse a request that is quarantined for crashing servers."""
        suspects = self._crashes.suspects
        if suspects.is_empty:
            return None
        left_s = suspects.quarantine_left_s(
            fingerprint(routed), self._clock.now()
        )
        return NotRun(NotRunReason.CRASHES, left_s) if left_s else None

    def _report_crash(self) -> None:
        digests = self._crashes.on_down(self._clock.now())
        if digests:
            self._log.write('server-crashed', ran=digests)
            self._learn_bytes()
            self.record_crash(digests)
            self._hooks.on_crash(digests)

    def _learn_bytes(self) -> None:
        memory = self._gate.queue.limits.memory
        learned = memory.on_crash(self._clock.now())
        if learned is not None:
            self._log.write(
                'server-bytes-limited',
                limit=learned.limit,
                at_crash=learned.at_crash,
            )

    def _record_demand(self, routed: RoutedRequest, key: int) -> None:
        """Record the work that a request needs, whatever its outcome."""
        work_s = self._gate.queue.estimate.long_term_s(routed.kind)
        self._hooks.observe(key, work_s)

    def _needs_hold(self, routed: RoutedRequest) -> bool:
        return bool(self._hooks.is_keyed()) and routed.caller.key is not None

    def _refuse_by_state(self, routed: RoutedRequest) -> NotRun | None:
        if self.is_closed:
            return self._refuse_leaving(routed)
        if self.is_evacuated:
            return NotRun(NotRunReason.DRAINING, DEFAULT_RETRY_AFTER_S)
        if self.is_drained and not self._needs_hold(routed):
            return NotRun(NotRunReason.DRAINING, DEFAULT_RETRY_AFTER_S)
        if self._hooks.is_keyed() is None:
            return NotRun(NotRunReason.NO_CONFIG, DEFAULT_RETRY_AFTER_S)
        return self._refuse_by_server(routed)

    def _refuse_by_end(self, routed: RoutedRequest) -> NotRun | None:
        """Refuse a request that may outlast this process."""
        if not self.end.is_planned:
            return None
        now = self._clock.now()
        longest_s = self._samples.recent.longest_s(routed.kind)
        has_time = self.end.has_time_for(routed, longest_s, now)
        if has_time and self.end.may_begin(routed.until, now):
            return None
        return self._refuse_leaving(routed)

    def _refuse_waiting_by_end(self, ticket: Ticket) -> NotRun | None:
        now = self._clock.now()
        if self.end.may_begin(ticket.deadline, now):
            return None
        after_s = self.end.retry_after_s(now) if ticket.is_bound else 0.0
        return NotRun(NotRunReason.LEAVING, after_s)

    def _refuse_leaving(self, routed: RoutedRequest) -> NotRun:
        """Refuse a request because this process stops.

        While keys can't be transferred, nobody else serves them before its end.
        """
        after_s = 0.0
        key = routed.caller.key or 0
        if self._needs_hold(routed) and self._holds.find_own(key) is not None:
            after_s = self.end.retry_after_s(self._clock.now())
        return NotRun(NotRunReason.LEAVING, after_s)

    def _refuse_by_server(self, routed: RoutedRequest) -> NotRun | None:
        if self._tracker.accepts_work:
            return None
        now = self._clock.now()
        if self._needs_hold(routed) and self._tracker.is_finishing(now):
            # The transfer of its keys may not have finished yet.
            return None
        return NotRun(NotRunReason.SERVER_DOWN, DEFAULT_RETRY_AFTER_S)

    async def _async_wait_for_hold(
        self, routed: RoutedRequest
    ) -> NotRun | None:
        """Wait while the key is being transferred or its grant is pending."""
        key = routed.caller.key or 0
        if self._holds.find_own(key) is not None:
            self._record_demand(routed, key)
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
            estimate = self._gate.queue.estimate
            left_s -= estimate.expected_s(routed.kind)
            longest_s = estimate.longest_s()
            if left_s <= 0 or self._holds.is_overdue(key, longest_s):
                return NotRun(NotRunReason.NOT_GRANTED, DEFAULT_RETRY_AFTER_S)
            await self._holds.async_wait_change(min(left_s, HOLD_POLL_S))
        return None

    async def _async_run(
        self, routed: RoutedRequest, ticket: Ticket
    ) -> Outcome:
        """Send the request to the server; requires a slot that is held."""
        # The request may have waited since its admission.
        refusal = (
            self._refuse_by_server(routed)
            or self._refuse_quarantined(routed)
            or self._refuse_by_end(routed)
        )
        if refusal is not None:
            return refusal
        key = routed.caller.key or 0
        if self._needs_hold(routed) and not self._holds.is_held(key):
            return NotRun(NotRunReason.MOVING, DEFAULT_RETRY_AFTER_S)
        left_s = routed.until - self._clock.now()
        if left_s < MIN_TRY_S:
            return NotRun(NotRunReason.EXPIRED, DEFAULT_RETRY_AFTER_S)
        progress = ServerProgress(self._clock.now())
        try:
            async with asyncio.timeout(left_s + SERVER_GRACE_S):
                outcome = await self._async_exchange(routed, left_s, progress)
        except TimeoutError:
            # A server responds at the deadline at the latest, so the network
            # in between may have dropped the pooled connections.
            self._exchange.close_idle()
            outcome = Unknown(UnknownReason.TIMEOUT)
        now = self._clock.now()
        self._failures.observe(self._tracker.instance, outcome, now)
        self._samples.observe(ticket, progress, outcome, now)
        return outcome

    async def _async_exchange(
        self, routed: RoutedRequest, left_s: float, progress: ServerProgress
    ) -> Outcome:
        instance = self._tracker.instance
        try:
            channel = await self._exchange.async_connect(routed)
        except ConnectFailedError as error:
            self._log.write(
                'server-not-reached',
                id=routed.caller.request_id.decode('ascii', 'replace'),
                why=str(error.__cause__),
            )
            self._unreached_until = self._clock.now() + UNREACHED_PAUSE_S
            self._report_crash()
            return NotRun(NotRunReason.CONNECT_FAILED, DEFAULT_RETRY_AFTER_S)
        try:
            self._exchange.send(routed, channel, instance, left_s)
        except ChannelClosedError:
            channel.abort()
            return NotRun(NotRunReason.CONNECT_FAILED, DEFAULT_RETRY_AFTER_S)
        return await self._async_track(routed, channel, instance, progress)

    async def _async_track(
        self,
        routed: RoutedRequest,
        channel: Channel,
        instance: str,
        progress: ServerProgress,
    ) -> Outcome:
        """Read the response, and update the crash detection by its outcome."""
        digest = fingerprint(routed)
        self._crashes.on_sent(digest)
        memory = self._gate.queue.limits.memory
        at_server = memory.running
        outcome = None
        try:
            outcome = await self._exchange.async_read(
                routed, channel, instance, progress
            )
        finally:
            now = self._clock.now()
            match outcome:
                case Answered():
                    self._crashes.on_answered(digest, now)
                    memory.on_answer(at_server)
                case Unknown(reason=UnknownReason.BROKEN):
                    self._crashes.on_broken(digest, now)
                    memory.on_broken(now)
                case _:
                    self._crashes.on_inconclusive(digest)
        return outcome
