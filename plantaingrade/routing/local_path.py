"""Path of requests to the backend server of this process."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from msgspec import Struct

from plantaingrade.admission.queue import AdmissionQueue, NotAdmittedError
from plantaingrade.backends.coordinator import BackendCoordinator
from plantaingrade.backends.dialects import classify_response
from plantaingrade.backends.entity import FenceRefused, Ran, Shed
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.http.const import (
    HEADER_DEADLINE,
    HEADER_FENCE,
    HEADER_GENERATION,
    HEADER_LEASE_UNTIL,
    HEADER_OUTCOME,
    HEADER_OWNER,
    HEADER_REQUEST_ID,
    HEADER_SLICE,
)
from plantaingrade.journal.entity import MapState, MemberRow
from plantaingrade.outcome import (
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
    UpstreamClient,
)
from plantaingrade.routing.entity import (
    Head,
    Headers,
    LocalTarget,
    PeerTarget,
    RouteRequest,
)
from plantaingrade.routing.exchange import Exchange
from plantaingrade.routing.relay import discard
from plantaingrade.routing.targets import RetryState, TargetChooser


class WorkState(Struct):
    """Whether a request is known to run no longer."""

    ended: bool = False


class LocalPath:
    """Sends requests to the own backend server, with fence and deadline."""

    __slots__ = (
        '_admission',
        '_backend',
        '_client',
        '_clock',
        '_ownership',
        '_row',
        '_state',
        '_targets',
    )

    def __init__(
        self,
        row: MemberRow,
        state: Callable[[], MapState],
        ownership: OwnershipCoordinator,
        backend: BackendCoordinator,
        targets: TargetChooser,
        admission: AdmissionQueue,
        client: UpstreamClient,
        clock: Clock,
    ) -> None:
        """Create the path from the components of one process."""
        self._row = row
        self._state = state
        self._ownership = ownership
        self._backend = backend
        self._targets = targets
        self._admission = admission
        self._client = client
        self._clock = clock

    async def async_send(
        self, exchange: Exchange, target: LocalTarget
    ) -> Outcome:
        """Wait for a slot, send the request and forward the response."""
        waiting = True
        request_class = exchange.request.request_class
        try:
            async with asyncio.timeout(exchange.left_s(self._clock.now())):
                async with self._admission.slot(request_class):
                    waiting = False
                    return await self._run(exchange, target)
        except NotAdmittedError as refused:
            return refused.outcome
        except TimeoutError:
            if waiting:
                return NotRun(NotRunReason.EXPIRED)
            self._client.on_unresponsive(self._backend.address)
            return Unknown(UnknownReason.TIMEOUT)

    async def _run(self, exchange: Exchange, target: LocalTarget) -> Outcome:
        request = exchange.request
        if target.owned is not None:
            # The slice may have moved while the request waited for a slot.
            choice = self._targets.choose(request, RetryState())
            if isinstance(choice, NotRun):
                return choice
            if isinstance(choice, PeerTarget):
                return NotRun(NotRunReason.NOT_OWNER, owner_hint=choice.address)
            target = choice
        owned = target.owned
        deadline = self._work_deadline(request, owned)
        with self._track_work(owned, deadline) as work:
            work.ended = request.is_safe
            upstream = Upstream(
                self._backend.address,
                _request_headers(request, owned, deadline),
                direct=True,
            )
            head = await self._client.async_send(
                upstream,
                request,
                exchange.body,
                exchange.left_s(self._clock.now()),
            )
            outcome = await self._finish(exchange, head, owned)
            work.ended = request.is_safe or not isinstance(outcome, Unknown)
            return outcome

    @contextmanager
    def _track_work(
        self,
        owned: Owned | None,
        deadline: float,
    ) -> Iterator[WorkState]:
        work = WorkState()
        slice_id = '' if owned is None else owned.slice_id
        table = self._ownership.in_flight
        table.begin(slice_id)
        try:
            yield work
        finally:
            may_run_until = None if work.ended else deadline
            table.end(slice_id, may_run_until=may_run_until)

    def _work_deadline(
        self,
        request: RouteRequest,
        owned: Owned | None,
    ) -> float:
        """Return the time until which the backend server may run the request.

        The process may pause between checking the lease and sending. Requests
        that change state end with the lease plus the declared grace, by the
        clock shared by process and server; the successor waits out the grace.
        """
        if owned is None or request.is_safe or self._row.checks_fence:
            return request.deadline
        service = self._state().services[request.service]
        grace = service.unfenced_grace_ms / MS_PER_S
        return min(request.deadline, owned.until + grace)

    async def _finish(
        self,
        exchange: Exchange,
        head: AttemptOutcome,
        owned: Owned | None,
    ) -> Outcome:
        if not isinstance(head, Head):
            return head
        response = head.response
        verdict = classify_response(
            self._backend.dialect,
            response.status_code,
            dict(response.headers),
        )
        pool = self._client.pool
        match verdict:
            case Ran():
                replaced = self._response_headers(owned)
                return await exchange.async_respond(pool, head, replaced)
            case Shed():
                await discard(pool, head)
                return NotRun(NotRunReason.SHED)
            case FenceRefused():
                await discard(pool, head)
                return NotRun(NotRunReason.STALE_FENCE)

    def _response_headers(self, owned: Owned | None) -> Headers:
        headers = [
            (HEADER_OUTCOME, b'answered'),
            (HEADER_OWNER, self._row.http.encode()),
        ]
        if owned is not None:
            generation = self._state().generation
            headers.append((HEADER_SLICE, owned.slice_id.encode()))
            headers.append((HEADER_GENERATION, b'%d' % generation))
        return tuple(headers)


def _request_headers(
    request: RouteRequest,
    owned: Owned | None,
    deadline: float,
) -> Headers:
    """Return the headers with the deadline and the proof of ownership."""
    headers = [
        (HEADER_REQUEST_ID, request.request_id),
        (HEADER_DEADLINE, b'%.6f' % deadline),
    ]
    if owned is not None:
        headers.append((HEADER_SLICE, owned.slice_id.encode()))
        headers.append((HEADER_FENCE, b'%d' % owned.fence))
        headers.append((HEADER_LEASE_UNTIL, b'%.6f' % owned.until))
    return tuple(headers)
