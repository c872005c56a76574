"""Sends the heartbeats of the stand-in for a backend server."""

import asyncio
import json
import random
from dataclasses import replace

from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.platform.const import PATH_REPORTS
from standins.incarnation import Heartbeat
from standins.malformed import Flaw, corrupt

# Time limit that the platform sets for an acknowledgement.
ANSWER_LIMIT_S = 1.0


class Reporter:
    """Send the heartbeats of one incarnation, with ascending sequence."""

    def __init__(self, first: Heartbeat, address: str, pool: Pool) -> None:
        """Send to one address, starting with a first heartbeat."""
        self._next = first
        self._address = address
        self._pool = pool

    async def async_send(self, state: str, cold_s: float = 0.0) -> int | None:
        """Send one heartbeat; return the HTTP status, None if no answer."""
        heartbeat = replace(self._next, state=state, cold_s=cold_s)
        self._next = replace(self._next, sequence=self._next.sequence + 1)
        body = json.dumps(heartbeat.fields()).encode()
        return await self._async_put(heartbeat.incarnation.instance, body)

    async def async_send_malformed(
        self, flaw: Flaw, rng: random.Random, instance: str = ''
    ) -> int | None:
        """Send a malformed heartbeat, under this id or another one.

        It has the next sequence number: if the receiver applied it in part,
        the valid heartbeat that follows would be ignored as a repeat.
        """
        body = corrupt(self._next.fields(), flaw, rng)
        return await self._async_put(
            instance or self._next.incarnation.instance, body
        )

    async def _async_put(self, instance: str, body: bytes) -> int | None:
        path = f'{PATH_REPORTS.decode()}{instance}'
        call = Call('PUT', self._address, path, (), body)
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                reply = await fetch(self._pool, call)
        except (TimeoutError, ConnectFailedError, ChannelClosedError):
            return None
        return reply.status
