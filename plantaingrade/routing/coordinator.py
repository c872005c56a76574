"""Serve callers: find the owner, try, retry what is safe, answer."""

import asyncio
from collections.abc import Callable
from contextlib import contextmanager
from collections.abc import Iterator

import h11

from plantaingrade.admission.budget import RetryBudget
from plantaingrade.admission.queue import AdmissionQueue, NotAdmittedError
from plantaingrade.backends.coordinator import BackendCoordinator
from plantaingrade.backends.dialects import judge
from plantaingrade.backends.entity import FenceRefused, Ran, Shed
from plantaingrade.clock import Clock
from plantaingrade.http.channel import Channel
from plantaingrade.http.const import (
    HEADER_DEADLINE,
    HEADER_FENCE,
    HEADER_GENERATION,
    HEADER_HOP,
    HEADER_LEASE_UNTIL,
    HEADER_OUTCOME,
    HEADER_OWNER,
    HEADER_REQUEST_ID,
    HEADER_SLICE,
    HEADER_TIMEOUT_MS,
)
from plantaingrade.http.pool import Pool
from plantaingrade.journal.entity import MapState, MemberRow
from plantaingrade.metrics import Metrics
from plantaingrade.outcome import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from plantaingrade.ownership.coordinator import OwnershipCoordinator
from plantaingrade.ownership.entity import Owned
from plantaingrade.routing.attempt import (
    AttemptOutcome,
    Upstream,
    attempt,
    peer_outcome,
)
from plantaingrade.routing.body import RequestBody
from plantaingrade.routing.const import SILENT_AFTER_S
from plantaingrade.routing.entity import (
    Head,
    Headers,
    LocalTarget,
    PeerTarget,
    RetryAfter,
    RouteRequest,
)
from plantaingrade.routing.parse import parse_request
from plantaingrade.routing.relay import discard, relay
from plantaingrade.routing.respond import send_outcome
from plantaingrade.routing.retry import next_step
from plantaingrade.routing.targets import TargetChooser, Tries
from plantaingrade.routing.waits import WaitTable

MS_PER_S = 1000
# A redirect is no load on the server: it was refused by its process.
FREE_OF_BUDGET = frozenset(
    (
        NotRunReason.NOT_OWNER,
        NotRunReason.MOVING,
        NotRunReason.LEASE_LAPSED,
    )
)


class RoutingCoordinator:
    """Route requests on behalf of one member."""

    __slots__ = (
        '_admission',
        '_backend',
        '_budget',
        '_clock',
        '_metrics',
        '_ownership',
        '_pool',
        '_row',
        '_state',
        'targets',
        'waits',
    )

    def __init__(
        self,
        row: MemberRow,
        state: Callable[[], MapState],
        ownership: OwnershipCoordinator,
        backend: BackendCoordinator,
        targets: TargetChooser,
        admission: AdmissionQueue,
        pool: Pool,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Use the parts of one process."""
        self._row = row
        self._state = state
        self._ownership = ownership
        self._backend = backend
        self._admission = admission
        self._pool = pool
        self._metrics = metrics
        self._clock = clock
        self._budget = RetryBudget()
        self.targets = targets
        self.waits = WaitTable()

    async def async_handle(self, raw: h11.Request, caller: Channel) -> None:
        """Serve one request."""
        started = self._clock.now()
        request = parse_request(raw, self._state(), started)
        if isinstance(request, NotRun):
            self._metrics.on_event(f'refused {request.reason}')
            send_outcome(caller, request, to_peer=False)
            return
        self._budget.on_request()
        outcome = await self._route(request, caller)
        self._metrics.on_request(
            request.service,
            request.tenant,
            request.request_class,
            outcome,
            (self._clock.now() - started) * MS_PER_S,
        )

    async def _route(self, request: RouteRequest, caller: Channel) -> Outcome:
        body = RequestBody(caller)
        tries = Tries()
        while True:
            outcome = await self._try_in_time(request, tries, body, caller)
            if isinstance(outcome, Answered):
                return outcome
            left_s = request.deadline - self._clock.now()
            step = next_step(request, outcome, tries, body, left_s)
            if isinstance(step, RetryAfter) and self._may_spend(outcome):
                self._metrics.on_event(f'retry {outcome.reason}')
                await asyncio.sleep(step.pause_s)
                continue
            send_outcome(caller, outcome, to_peer=bool(request.hop))
            return outcome

    def _may_spend(self, outcome: NotRun | Unknown) -> bool:
        return outcome.reason in FREE_OF_BUDGET or self._budget.try_spend()

    async def _try_in_time(
        self,
        request: RouteRequest,
        tries: Tries,
        body: RequestBody,
        caller: Channel,
    ) -> Outcome:
        left_s = request.deadline - self._clock.now()
        if left_s <= 0:
            return NotRun(NotRunReason.EXPIRED)
        target = self.targets.choose(request, tries)
        match target:
            case NotRun():
                return target
            case LocalTarget():
                return await self._try_local(target, request, body, caller)
            case PeerTarget():
                return await self._try_peer(
                    target,
                    request,
                    tries,
                    body,
                    caller,
                )

    async def _try_local(
        self,
        target: LocalTarget,
        request: RouteRequest,
        body: RequestBody,
        caller: Channel,
    ) -> Outcome:
        left_s = request.deadline - self._clock.now()
        waiting = True
        try:
            async with asyncio.timeout(left_s):
                async with self._admission.slot(request.request_class):
                    waiting = False
                    return await self._run_local(
                        target,
                        request,
                        body,
                        caller,
                    )
        except NotAdmittedError as refused:
            return refused.outcome
        except TimeoutError:
            if waiting:
                return NotRun(NotRunReason.EXPIRED)
            return Unknown(UnknownReason.TIMEOUT)

    async def _run_local(
        self,
        target: LocalTarget,
        request: RouteRequest,
        body: RequestBody,
        caller: Channel,
    ) -> Outcome:
        owned = target.owned
        if owned is not None:
            # The slice may have gone while the request waited for a slot.
            choice = self.targets.choose(request, Tries())
            if isinstance(choice, NotRun):
                return choice
            if isinstance(choice, PeerTarget):
                return NotRun(NotRunReason.NOT_OWNER, owner_hint=choice.address)
            owned = choice.owned
        deadline = self._work_deadline(request, owned)
        with self._working(owned, deadline) as work:
            work.ended = request.is_safe
            upstream = Upstream(
                self._backend.address,
                self._local_headers(request, owned, deadline),
                direct=True,
            )
            head = await self._attempt(upstream, request, body)
            outcome = await self._finish_local(head, request, owned, caller)
            work.ended = request.is_safe or not isinstance(outcome, Unknown)
            return outcome

    @contextmanager
    def _working(
        self,
        owned: Owned | None,
        deadline: float,
    ) -> Iterator['WorkNote']:
        note = WorkNote()
        slice_id = '' if owned is None else owned.slice_id
        table = self._ownership.work
        table.begin(slice_id)
        try:
            yield note
        finally:
            may_run_until = None if note.ended else deadline
            table.end(slice_id, may_run_until=may_run_until)

    def _work_deadline(
        self,
        request: RouteRequest,
        owned: Owned | None,
    ) -> float:
        """Return until when the backend server may work on the request.

        Failure: the process pauses between its check of the lease and the
        sending. It shows as a write by a server that is owner no more. Work
        that changes state ends with the lease, on the clock that process and
        server share; the successor waits out the declared grace.
        """
        if owned is None or request.is_safe or self._row.checks_fence:
            return request.deadline
        service = self._state().services[request.service]
        grace = service.unfenced_grace_ms / MS_PER_S
        return min(request.deadline, owned.until + grace)

    def _local_headers(
        self,
        request: RouteRequest,
        owned: Owned | None,
        deadline: float,
    ) -> Headers:
        headers = [
            (HEADER_REQUEST_ID, request.request_id),
            (HEADER_DEADLINE, b'%.6f' % deadline),
        ]
        if owned is not None:
            headers.extend(
                (
                    (HEADER_SLICE, owned.slice_id.encode()),
                    (HEADER_FENCE, b'%d' % owned.fence),
                    (HEADER_LEASE_UNTIL, b'%.6f' % owned.until),
                )
            )
        return tuple(headers)

    async def _attempt(
        self,
        upstream: Upstream,
        request: RouteRequest,
        body: RequestBody,
    ) -> AttemptOutcome:
        """Try once; find a silent connection by its silence."""
        if not request.is_idempotent or upstream.fresh:
            return await attempt(self._pool, upstream, request, body)
        # Failure: a connection went silent for good while new ones work. It
        # shows as a request without answer. Idempotent work goes again on a
        # fresh connection; other work never takes a connection that idled.
        try:
            async with asyncio.timeout(SILENT_AFTER_S):
                return await attempt(self._pool, upstream, request, body)
        except TimeoutError:
            self._metrics.on_event('silent connection')
        if not body.is_replayable:
            return Unknown(UnknownReason.TIMEOUT)
        again = Upstream(
            upstream.address,
            upstream.headers,
            upstream.direct,
            fresh=True,
        )
        return await attempt(self._pool, again, request, body)

    async def _finish_local(
        self,
        head: AttemptOutcome,
        request: RouteRequest,
        owned: Owned | None,
        caller: Channel,
    ) -> Outcome:
        if not isinstance(head, Head):
            return head
        response = head.response
        verdict = judge(
            self._backend.dialect,
            response.status_code,
            dict(response.headers),
        )
        match verdict:
            case Ran():
                own = self._answer_headers(owned)
                return await self._relay(head, caller, own)
            case Shed():
                await discard(self._pool, head)
                return NotRun(NotRunReason.SHED)
            case FenceRefused():
                await discard(self._pool, head)
                self._metrics.on_event('stale fence')
                return NotRun(NotRunReason.STALE_FENCE)

    def _answer_headers(self, owned: Owned | None) -> Headers:
        headers = [
            (HEADER_OUTCOME, b'answered'),
            (HEADER_OWNER, self._row.http.encode()),
        ]
        if owned is not None:
            generation = self._state().generation
            headers.append((HEADER_SLICE, owned.slice_id.encode()))
            headers.append((HEADER_GENERATION, b'%d' % generation))
        return tuple(headers)

    async def _relay(
        self,
        head: Head,
        caller: Channel,
        own: Headers,
    ) -> Outcome:
        await relay(self._pool, head, caller, own)
        return Answered(head.response.status_code, head.direct)

    async def _try_peer(
        self,
        target: PeerTarget,
        request: RouteRequest,
        tries: Tries,
        body: RequestBody,
        caller: Channel,
    ) -> Outcome:
        left_s = request.deadline - self._clock.now()
        upstream = Upstream(
            target.address,
            (
                (HEADER_REQUEST_ID, request.request_id),
                (HEADER_TIMEOUT_MS, b'%d' % (left_s * MS_PER_S)),
                (HEADER_HOP, b'%d' % (request.hop + 1)),
            ),
            direct=False,
        )
        self.targets.begin(target.member)
        try:
            async with asyncio.timeout(left_s) as limit:
                with self.waits.waiting(target.member, limit):
                    head = await self._attempt(upstream, request, body)
                if not isinstance(head, Head):
                    self._note_failure(target, head, tries)
                    return head
                failure = peer_outcome(head)
                if failure is None:
                    return await self._relay(head, caller, ())
                await discard(self._pool, head)
                self._note_failure(target, failure, tries)
                return failure
        except TimeoutError:
            tries.avoided.add(target.member)
            return Unknown(UnknownReason.TIMEOUT)
        finally:
            self.targets.end(target.member)

    def _note_failure(
        self,
        target: PeerTarget,
        outcome: NotRun | Unknown,
        tries: Tries,
    ) -> None:
        match outcome:
            case NotRun(reason=NotRunReason.CONNECT_FAILED) | Unknown():
                self.targets.suspect(target.member)
                tries.avoided.add(target.member)
            case NotRun(reason=NotRunReason.NOT_OWNER, owner_hint=hint):
                tries.hint = '' if hint == target.address else hint
            case NotRun():
                tries.avoided.add(target.member)


class WorkNote:
    """Whether a piece of work is known to have ended."""

    __slots__ = ('ended',)

    def __init__(self) -> None:
        """Assume that it may go on running."""
        self.ended = False
