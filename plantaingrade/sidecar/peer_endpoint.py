"""HTTP endpoint of one process for the requests of other processes."""

import asyncio
from collections.abc import Awaitable, Callable

from plantaingrade.balance.entity import Load
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.exchange import STATUS_CONTINUE, STATUS_PROCESSING
from plantaingrade.http.messages import InformationalResponse, Request
from plantaingrade.requests.bodies import account_of
from plantaingrade.requests.body_turn_gate import BodyTurnHolder
from plantaingrade.requests.const import STATUS_BAD_REQUEST
from plantaingrade.requests.entity import (
    Answer,
    NotRun,
    NotRunReason,
    Outcome,
    RoutedRequest,
)
from plantaingrade.requests.errors import BufferBudgetExceededError
from plantaingrade.requests.held_bytes import Account, Side
from plantaingrade.requests.hop import (
    KnownVersions,
    MalformedHopError,
    decode_hop,
    decode_leaving,
    encode_leaving,
    encode_load,
    encode_outcome,
    is_hop,
    wants_body_turn,
)
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.sidecar.endpoints import (
    NO_ROOM,
    declared_length,
    log_no_room,
    require_sender,
    send_answer,
)
from plantaingrade.sidecar.instance_bytes import InstanceBytes
from plantaingrade.sidecar.server_watch import ServerWatch


class PeerEndpoint:
    """Serves requests of other processes."""

    __slots__ = (
        '_budget',
        '_clock',
        '_control',
        '_load',
        '_log',
        '_on_known',
        '_server',
        '_server_watch',
        '_service',
        '_body_turn_gate',
    )

    def __init__(
        self,
        service: str,
        server: ServerPath,
        server_watch: ServerWatch,
        clock: Clock,
        control: Callable[[Request, bytes], Awaitable[Answer]],
        load: Callable[[], Load],
        on_known: Callable[[KnownVersions], None],
        held: InstanceBytes,
        log: EventLog,
    ) -> None:
        """Serve hops with the local server, control calls with ``control``.

        ``held`` limits the bytes that it holds and lets in at a time.
        Each answer includes ``load``; ``on_known`` is called with the versions
        of configuration and map that a sender uses.
        """
        self._budget = held.budget
        self._body_turn_gate = held.body_turn_gate
        self._log = log
        self._server_watch = server_watch
        self._load = load
        self._on_known = on_known
        self._service = service
        self._server = server
        self._clock = clock
        self._control = control

    async def async_handle(self, raw: Request, channel: Channel) -> None:
        """Serve one request."""
        if not is_hop(raw.headers):
            body = await read_body(channel)
            send_answer(channel, await self._control(raw, body))
            return
        account = account_of(Side.PEERS, channel)
        try:
            await self._async_handle_hop(raw, channel, account)
        except BufferBudgetExceededError as error:
            log_no_room(self._log, raw, account, self._budget, error)
            self._send(channel, NO_ROOM)
        except MalformedHopError:
            send_answer(channel, Answer(STATUS_BAD_REQUEST, (), b''))
        await self._budget.async_flush(channel, account)

    async def _async_handle_hop(
        self, raw: Request, channel: Channel, account: Account
    ) -> None:
        # Times count from the arrival of the head: the body may take long.
        arrived = self._clock.now()
        length = declared_length(raw)
        with BodyTurnHolder(self._body_turn_gate, length) as turn:
            refusal = None
            if wants_body_turn(raw.headers):
                routed, _ = decode_hop(raw, b'', arrived)
                refusal = await self._async_wait_turn(
                    turn, routed, length, channel
                )
            if refusal is not None:
                self._send(channel, refusal)
                return
            async with self._budget.read_body(
                channel, None, account, length
            ) as body:
                turn.end()
                routed, known = decode_hop(raw, body, arrived)
                self._body_turn_gate.turns.observe(routed.kind, len(body))
                require_sender(self._log, channel, account, routed.caller)
                await self._async_answer(raw, routed, known, channel)

    async def _async_wait_turn(
        self,
        turn: BodyTurnHolder,
        routed: RoutedRequest,
        length: int,
        channel: Channel,
    ) -> NotRun | None:
        """Wait until a body may be sent, or return why it may not."""
        turns = self._body_turn_gate.turns
        left_s = routed.until - self._clock.now()
        left_s -= self._server.expected_work_s(routed.kind)
        arrives_in_s = turns.arrives_in_s(length)
        if arrives_in_s > left_s:
            return NotRun(NotRunReason.LINK_FULL, arrives_in_s)
        try:
            async with asyncio.timeout(left_s):
                await turn.async_wait(
                    lambda: channel.send(
                        InformationalResponse(STATUS_PROCESSING)
                    )
                )
        except TimeoutError:
            return NotRun(NotRunReason.LINK_FULL, turns.arrives_in_s(length))
        channel.send(InformationalResponse(STATUS_CONTINUE))
        return None

    async def _async_answer(
        self,
        raw: Request,
        routed: RoutedRequest,
        known: KnownVersions,
        channel: Channel,
    ) -> None:
        self._on_known(known)
        told_leaving = decode_leaving(raw.headers)
        if told_leaving is not None:
            self._server_watch.notices.on_peer_notice(told_leaving)
        self._send(channel, await self._async_serve(routed, known.key_map))

    def _send(self, channel: Channel, outcome: Outcome) -> None:
        answer = encode_outcome(outcome)
        headers = (
            *answer.headers,
            encode_load(self._load()),
            *encode_leaving(self._server_watch.leaving_incarnation),
        )
        send_answer(channel, Answer(answer.status, headers, answer.body))

    async def _async_serve(
        self, routed: RoutedRequest, map_version: int
    ) -> Outcome:
        """Serve a request if it is for the service of this process.

        The address may have belonged to a process of another service before.
        """
        if routed.service != self._service:
            return NotRun(NotRunReason.OTHER_SERVICE)
        return await self._server.async_serve(routed, map_version)
