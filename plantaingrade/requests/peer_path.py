"""Forward requests to other processes."""

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.exchange import read_response, send_request
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.const import (
    DEFAULT_RETRY_AFTER_S,
    PEER_GRACE_S,
)
from plantaingrade.requests.entity import (
    Answer,
    NotRun,
    NotRunReason,
    Outcome,
    RoutedRequest,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.hop import (
    KnownVersions,
    decode_load,
    decode_outcome,
    encode_hop,
)


class PeerPath:
    """Forwards requests to the processes of other servers."""

    __slots__ = (
        '_clock',
        '_directory',
        '_known',
        '_loads',
        '_log',
        '_pool',
    )

    def __init__(
        self,
        directory: Directory,
        loads: PeerLoads,
        pool: Pool,
        clock: Clock,
        known: Callable[[str], KnownVersions],
        log: EventLog,
    ) -> None:
        """Use a pool of connections to other processes.

        ``known`` returns the versions that this process uses for a service.
        """
        self._log = log
        self._loads = loads
        self._known = known
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
        headers = encode_hop(routed, known, self._clock.now())
        caller = routed.caller
        try:
            send_request(
                channel, caller.method, caller.target, headers, caller.body
            )
        except ChannelClosedError:
            channel.abort()
            return NotRun(NotRunReason.PEER_DOWN, DEFAULT_RETRY_AFTER_S)
        try:
            whole = await read_response(channel, lambda _: True)
        except ChannelClosedError:
            channel.abort()
            self._mark_unreachable(member, 'connection broken')
            return Unknown(UnknownReason.PEER_BROKEN)
        except BaseException:
            channel.abort()
            raise
        self._pool.release(member.address, channel)
        if self._directory.clear_suspicion(member.name):
            self._log.write('member-regained', member=member.name)
        headers = whole.head.headers
        load = decode_load(headers)
        if load is not None:
            self._loads.record(member.name, load, self._clock.now())
        return decode_outcome(
            Answer(whole.head.status_code, headers, whole.body)
        )

    def _mark_unreachable(self, member: Member, why: str) -> None:
        """Record that a member was not reached; close its idle connections.

        The network in between may have dropped all of them.
        """
        self._pool.close_idle(member.address)
        if self._directory.on_unreachable(member.name, self._clock.now()):
            self._log.write('member-unreachable', member=member.name, why=why)
