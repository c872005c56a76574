"""Forward requests to other processes."""

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.exchange import (
    FullResponse,
    async_send_when_accepted,
    read_response,
    send_request,
)
from plantaingrade.http.messages import Response
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.answers import CountedAnswer
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.body_turns import needs_body_turn
from plantaingrade.requests.const import (
    DEFAULT_RETRY_AFTER_S,
    PEER_GRACE_S,
)
from plantaingrade.requests.entity import (
    Answer,
    CallerRequest,
    Headers,
    NotRun,
    NotRunReason,
    Outcome,
    RoutedRequest,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.errors import BufferBudgetExceededError
from plantaingrade.requests.hop import (
    KnownVersions,
    decode_leaving,
    decode_load,
    decode_outcome,
    encode_hop,
    encode_leaving,
)
from plantaingrade.requests.leaving import LeavingServers
from plantaingrade.requests.process_end import ProcessEnd


class PeerPath:
    """Forwards requests to the processes of other servers."""

    __slots__ = (
        '_budget',
        '_clock',
        '_directory',
        '_end',
        '_known',
        '_leaving',
        '_loads',
        '_log',
        '_pool',
    )

    def __init__(
        self,
        directory: Directory,
        loads: PeerLoads,
        pool: Pool,
        budget: BufferBudget,
        clock: Clock,
        known: Callable[[str], KnownVersions],
        end: ProcessEnd,
        log: EventLog,
    ) -> None:
        """Use a pool of connections to other processes.

        ``budget`` limits the bytes of answers while they are read, and
        ``known`` returns the versions that this process uses for a service.
        ``end`` tells when this process ends, if it stops.
        """
        self._end = end
        self._budget = budget
        self._log = log
        self._loads = loads
        self._known = known
        self._leaving = LeavingServers()
        self._directory = directory
        self._pool = pool
        self._clock = clock

    async def async_serve(
        self, routed: RoutedRequest, member: Member, map_version: int = 0
    ) -> Outcome:
        """Forward a request to another process and return its outcome.

        ``map_version`` is the newest version that a redirect referred to.
        """
        known = self._known(routed.service)
        known = replace(known, key_map=max(known.key_map, map_version))
        # Nobody receives an answer that comes after the end of this process.
        routed = replace(routed, until=min(routed.until, self._end.ends_at))
        left_s = routed.until - self._clock.now()
        try:
            async with asyncio.timeout(left_s + PEER_GRACE_S):
                outcome = await self._async_exchange(routed, member, known)
        except TimeoutError:
            self._mark_unreachable(member, 'no answer')
            return Unknown(UnknownReason.TIMEOUT)
        return outcome

    async def _async_exchange(
        self, routed: RoutedRequest, member: Member, known: KnownVersions
    ) -> Outcome:
        try:
            channel = await self._pool.acquire(member.address)
        except ConnectFailedError:
            self._mark_unreachable(member, 'no connection')
            return NotRun(NotRunReason.PEER_DOWN, DEFAULT_RETRY_AFTER_S)
        headers = (
            *encode_hop(routed, known, self._clock.now()),
            *encode_leaving(self._leaving.find(member.name)),
        )
        try:
            head = await self._async_send(channel, routed.caller, headers)
        except ChannelClosedError:
            channel.abort()
            return NotRun(NotRunReason.PEER_DOWN, DEFAULT_RETRY_AFTER_S)
        except BaseException:
            channel.abort()
            raise
        try:
            with CountedAnswer(self._budget, channel) as answer:
                whole = await _async_read(channel, head, answer)
        except ChannelClosedError:
            channel.abort()
            self._mark_unreachable(member, 'connection broken')
            return Unknown(UnknownReason.PEER_BROKEN)
        except BufferBudgetExceededError:
            channel.abort()
            return Unknown(UnknownReason.NO_ROOM)
        except BaseException:
            channel.abort()
            raise
        self._pool.release(member.address, channel)
        return self._apply_answer(member, whole.head, whole.body)

    async def _async_send(
        self, channel: Channel, caller: CallerRequest, headers: Headers
    ) -> Response | None:
        """Send a request; return the head of an answer that comes before it."""
        request = (caller.method, caller.target, headers, caller.body)
        if needs_body_turn(len(caller.body)):
            return await async_send_when_accepted(channel, *request)
        send_request(channel, *request)
        return None

    def _apply_answer(
        self, member: Member, head: Response, body: bytes
    ) -> Outcome:
        """Return the outcome of an answer; note what it says of its member."""
        if self._directory.clear_suspicion(member.name):
            self._log.write('member-regained', member=member.name)
        load = decode_load(head.headers)
        if load is None:
            # Only the answer to a hop has a load. Another one, such as that to
            # a control call, must not pass for the answer of a server.
            self._log.write(
                'peer-answer-rejected',
                member=member.name,
                status=head.status_code,
            )
            return Unknown(UnknownReason.PEER_BROKEN)
        self._loads.record(member.name, load, self._clock.now())
        outcome = decode_outcome(Answer(head.status_code, head.headers, body))
        leaving = decode_leaving(head.headers)
        self._leaving.on_answer(member.name, leaving, outcome)
        return outcome

    def _mark_unreachable(self, member: Member, why: str) -> None:
        """Record that a member was not reached; close its idle connections.

        The network in between may have dropped all of them.
        """
        self._pool.close_idle(member.address)
        if self._directory.on_unreachable(member.name, self._clock.now()):
            self._log.write('member-unreachable', member=member.name, why=why)


async def _async_read(
    channel: Channel, head: Response | None, answer: CountedAnswer
) -> FullResponse:
    """Return the whole response, whose head may have been read."""
    if head is None:
        return await read_response(
            channel, lambda _: True, async_read_body=answer.async_read
        )
    return FullResponse(head, await answer.async_read(channel, head))
