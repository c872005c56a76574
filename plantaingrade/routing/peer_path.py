"""Path of requests to other processes."""

import asyncio

from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.http.const import (
    HEADER_HOP,
    HEADER_REQUEST_ID,
    HEADER_TIMEOUT_MS,
)
from plantaingrade.outcome import (
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from plantaingrade.routing.attempt import Upstream, UpstreamClient, peer_outcome
from plantaingrade.routing.entity import Head, PeerTarget, RouteRequest
from plantaingrade.routing.exchange import Exchange
from plantaingrade.routing.relay import discard
from plantaingrade.routing.targets import TargetChooser
from plantaingrade.routing.waits import WaitTable


class PeerPath:
    """Forwards requests to the processes that own their keys."""

    __slots__ = ('_client', '_clock', '_targets', '_waits')

    def __init__(
        self,
        targets: TargetChooser,
        waits: WaitTable,
        client: UpstreamClient,
        clock: Clock,
    ) -> None:
        """Create the path from the components of one process."""
        self._targets = targets
        self._waits = waits
        self._client = client
        self._clock = clock

    async def async_send(
        self, exchange: Exchange, target: PeerTarget
    ) -> Outcome:
        """Forward the request and its response; record a failure."""
        self._targets.begin(target.member)
        try:
            outcome = await self._forward(exchange, target)
        finally:
            self._targets.end(target.member)
        if isinstance(outcome, NotRun | Unknown):
            self._record_failure(exchange, target, outcome)
        return outcome

    async def _forward(
        self,
        exchange: Exchange,
        target: PeerTarget,
    ) -> Outcome:
        request = exchange.request
        left_s = exchange.left_s(self._clock.now())
        upstream = _upstream(target, request, left_s)
        try:
            async with asyncio.timeout(left_s) as timeout:
                with self._waits.track(target.member, timeout):
                    head = await self._client.async_send(
                        upstream,
                        request,
                        exchange.body,
                        left_s,
                    )
                if isinstance(head, Head):
                    return await self._finish(exchange, head)
                return head
        except TimeoutError:
            self._client.on_unresponsive(target.address)
            return Unknown(UnknownReason.TIMEOUT)

    async def _finish(self, exchange: Exchange, head: Head) -> Outcome:
        pool = self._client.pool
        failure = peer_outcome(head)
        if failure is None:
            return await exchange.async_respond(pool, head, ())
        await discard(pool, head)
        return failure

    def _record_failure(
        self,
        exchange: Exchange,
        target: PeerTarget,
        outcome: NotRun | Unknown,
    ) -> None:
        retry_state = exchange.retry_state
        match outcome:
            case NotRun(reason=NotRunReason.NOT_OWNER, owner_hint=hint):
                retry_state.hint = '' if hint == target.address else hint
                return
            case NotRun(reason=NotRunReason.CONNECT_FAILED):
                self._targets.suspect(target.member)
            case Unknown(reason=UnknownReason.BROKEN):
                self._targets.suspect(target.member)
        retry_state.excluded.add(target.member)


def _upstream(
    target: PeerTarget,
    request: RouteRequest,
    left_s: float,
) -> Upstream:
    return Upstream(
        target.address,
        (
            (HEADER_REQUEST_ID, request.request_id),
            (HEADER_TIMEOUT_MS, b'%d' % (left_s * MS_PER_S)),
            (HEADER_HOP, b'%d' % (request.hop + 1)),
        ),
        direct=False,
    )
