"""HTTP calls to other processes."""

import asyncio
import random

from plantaingrade.clock import Clock
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.eventlog import EventLog
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member, Offer, OfferReply

OFFER_CODEC = Codec(Offer)
REPLY_CODEC = Codec(OfferReply)
PATH_CONFIG = '/-/config'
PATH_OFFER = '/-/offer'
# Members asked in one attempt to fetch the configuration.
MAX_CONFIG_PEERS = 3
# Peers answer from memory, within milliseconds.
CALL_TIMEOUT_S = 0.5
# A relayed store call may take as long as a direct one.
RELAY_TIMEOUT_S = 1.2
STATUS_OK = 200


class PeerCalls:
    """Make calls on behalf of one member."""

    __slots__ = ('_clock', '_directory', '_log', '_own', '_pool')

    def __init__(
        self,
        own: Member,
        directory: Directory,
        pool: Pool,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Make calls over a pool of connections to peers."""
        self._own = own
        self._directory = directory
        self._pool = pool
        self._clock = clock
        self._log = log

    async def async_offer(self, target: str, offer: Offer) -> OfferReply | None:
        """Ask a member to take over work; return None without an answer."""
        member = self._directory.find(target)
        if member is None:
            return None
        body = OFFER_CODEC.encode(offer)
        reply = await self.async_post(member, PATH_OFFER, body)
        if reply is None:
            return None
        try:
            return REPLY_CODEC.decode(reply)
        except MalformedMessageError as error:
            self._log.write('offer-reply-unreadable', why=str(error))
            return None

    async def async_relay(
        self, member: Member, path: str, body: bytes
    ) -> bytes | None:
        """Call the store through a member; return None without an answer."""
        call = Call('POST', member.address, path, (), body)
        return await self.async_call(call, RELAY_TIMEOUT_S)

    def relays(self) -> list[Member]:
        """Return members to relay store calls, those in other zones first.

        A fault that cuts an instance off from the store often affects other
        instances in its zone too.
        """
        now = self._clock.now()
        members = [
            member
            for member in self._directory.members()
            if member.name != self._own.name
            and not self._directory.is_suspect(member.name, now)
        ]
        random.shuffle(members)
        members.sort(key=lambda member: member.zone == self._own.zone)
        return members

    async def async_ask_config(self) -> bytes | None:
        """Fetch the configuration from a peer, trying the own zone first."""
        members = [
            member
            for member in self._directory.members()
            if member.name != self._own.name
        ]
        random.shuffle(members)
        members.sort(key=lambda member: member.zone != self._own.zone)
        for member in members[:MAX_CONFIG_PEERS]:
            body = await self.async_call(
                Call('GET', member.address, PATH_CONFIG)
            )
            if body:
                return body
        return None

    async def async_post(
        self,
        member: Member,
        path: str,
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> bytes | None:
        """Post a message; return the body of a 200 response, else None."""
        return await self.async_call(
            Call('POST', member.address, path, (), body), timeout_s
        )

    async def async_call(
        self, call: Call, timeout_s: float = CALL_TIMEOUT_S
    ) -> bytes | None:
        """Return the body of a 200 response, else None."""
        reply = await self.async_fetch(call, timeout_s)
        return None if reply is None else reply.body

    async def async_fetch(
        self, call: Call, timeout_s: float = CALL_TIMEOUT_S
    ) -> Reply | None:
        """Return a response with status 200, else None."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await fetch(self._pool, call)
        except (TimeoutError, ConnectFailedError, ChannelClosedError) as error:
            self._log.write(
                'peer-call-failed',
                to=call.address,
                path=call.target,
                why=type(error).__name__,
            )
            return None
        return reply if reply.status == STATUS_OK else None
