"""Serve callers: find the owner, send, retry if safe, respond."""

import asyncio
from collections.abc import Callable

from plantaingrade.admission.budget import RetryBudget
from plantaingrade.admission.queue import AdmissionQueue
from plantaingrade.backends.coordinator import BackendCoordinator
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Request
from plantaingrade.http.pool import Pool
from plantaingrade.journal.entity import MapState, MemberRow
from plantaingrade.metrics import Metrics
from plantaingrade.outcome import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from plantaingrade.ownership.coordinator import OwnershipCoordinator
from plantaingrade.routing.attempt import UpstreamClient
from plantaingrade.routing.entity import LocalTarget, PeerTarget, RetryAfter
from plantaingrade.routing.exchange import Exchange
from plantaingrade.routing.local_path import LocalPath
from plantaingrade.routing.parse import parse_request
from plantaingrade.routing.peer_path import PeerPath
from plantaingrade.routing.respond import send_outcome
from plantaingrade.routing.retry import decide_retry
from plantaingrade.routing.targets import TargetChooser
from plantaingrade.routing.waits import WaitTable

# The process of the server refuses these itself, so a retry adds no load on
# the server.
EXEMPT_FROM_BUDGET = frozenset(
    (
        NotRunReason.NOT_OWNER,
        NotRunReason.MOVING,
        NotRunReason.LEASE_LAPSED,
    )
)


class RoutingCoordinator:
    """Routes the requests that one member receives."""

    __slots__ = (
        '_budget',
        '_clock',
        '_local',
        '_metrics',
        '_peers',
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
        """Create the local path and the peer path."""
        self._state = state
        self._metrics = metrics
        self._clock = clock
        self._budget = RetryBudget()
        self.targets = targets
        self.waits = WaitTable()
        client = UpstreamClient(pool, metrics)
        self._peers = PeerPath(targets, self.waits, client, clock)
        self._local = LocalPath(
            row,
            state,
            ownership,
            backend,
            targets,
            admission,
            client,
            clock,
        )

    async def async_handle(self, raw: Request, caller: Channel) -> None:
        """Serve one request of a caller or of another process."""
        started = self._clock.now()
        request = parse_request(raw, self._state(), started)
        if isinstance(request, NotRun):
            self._metrics.on_event(f'refused {request.reason}')
            send_outcome(caller, request, to_peer=False)
            return
        self._budget.on_request()
        outcome = await self._route(Exchange(request, caller))
        self._metrics.on_request(
            request.service,
            request.tenant,
            request.request_class,
            outcome,
            (self._clock.now() - started) * MS_PER_S,
        )

    async def _route(self, exchange: Exchange) -> Outcome:
        while True:
            outcome = await self._send_once(exchange)
            if isinstance(outcome, Answered):
                return outcome
            decision = decide_retry(exchange, outcome, self._clock.now())
            if isinstance(decision, RetryAfter) and self._is_within_budget(
                outcome
            ):
                self._metrics.on_event(f'retry {outcome.reason}')
                await asyncio.sleep(decision.pause_s)
                continue
            to_peer = bool(exchange.request.hop)
            send_outcome(exchange.caller, outcome, to_peer=to_peer)
            return outcome

    def _is_within_budget(self, outcome: NotRun | Unknown) -> bool:
        return outcome.reason in EXEMPT_FROM_BUDGET or self._budget.try_spend()

    async def _send_once(self, exchange: Exchange) -> Outcome:
        if exchange.left_s(self._clock.now()) <= 0:
            return NotRun(NotRunReason.EXPIRED)
        target = self.targets.choose(exchange.request, exchange.retry_state)
        match target:
            case NotRun():
                return target
            case LocalTarget():
                return await self._local.async_send(exchange, target)
            case PeerTarget():
                return await self._peers.async_send(exchange, target)
