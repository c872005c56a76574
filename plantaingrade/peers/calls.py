"""Calls to other processes that have an answer."""

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
# Members asked for a configuration before it is tried again later.
MAX_ASKED = 3
# Answers come from memory, within some milliseconds.
CALL_TIMEOUT_S = 0.5
# A relayed call may wait for the store as long as a direct one.
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
        """Use a pool of connections to other processes."""
        self._own = own
        self._directory = directory
        self._pool = pool
        self._clock = clock
        self._log = log

    async def async_offer(self, target: str, offer: Offer) -> OfferReply | None:
        """Ask a member to take over work."""
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
        """Have a member call the store; return its answer, if it came."""
        call = Call('POST', member.address, path, (), body)
        return await self.async_call(call, RELAY_TIMEOUT_S)

    def relays(self) -> list[Member]:
        """Return members that may call the store, of other zones first.

        What cuts an instance off often cuts its neighbours off too.
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
        """Return the configuration of another process, a near one first."""
        members = [
            member
            for member in self._directory.members()
            if member.name != self._own.name
        ]
        random.shuffle(members)
        members.sort(key=lambda member: member.zone != self._own.zone)
        for member in members[:MAX_ASKED]:
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
        """Send a message; return the answer's body, if one came."""
        return await self.async_call(
            Call('POST', member.address, path, (), body), timeout_s
        )

    async def async_call(
        self, call: Call, timeout_s: float = CALL_TIMEOUT_S
    ) -> bytes | None:
        """Return the body of an answer, if one came and was not a refusal."""
        reply = await self.async_fetch(call, timeout_s)
        return None if reply is None else reply.body

    async def async_fetch(
        self, call: Call, timeout_s: float = CALL_TIMEOUT_S
    ) -> Reply | None:
        """Return an answer, if one came and was not a refusal."""
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
