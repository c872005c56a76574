"""How the stand-in for a backend server sends its heartbeats."""

import asyncio
import json
import random
from dataclasses import replace

from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.platform.const import PATH_REPORTS
from standins.incarnation import Heartbeat
from standins.strange import Flaw, spoil

# The platform's time for an acknowledgement.
ANSWER_LIMIT_S = 1.0


class Reporter:
    """Send the heartbeats of one life; ``sequence`` counts them."""

    def __init__(self, first: Heartbeat, address: str, pool: Pool) -> None:
        """Send what the first heartbeat says, to one address."""
        self._next = first
        self._address = address
        self._pool = pool

    async def async_say(self, state: str, cold_s: float = 0.0) -> int | None:
        """Send one heartbeat; return the answer's status, if one came."""
        heartbeat = replace(self._next, state=state, cold_s=cold_s)
        self._next = replace(self._next, sequence=self._next.sequence + 1)
        body = json.dumps(heartbeat.fields()).encode()
        return await self._async_put(heartbeat.incarnation.instance, body)

    async def async_say_strange(
        self, flaw: Flaw, chooser: random.Random, instance: str = ''
    ) -> int | None:
        """Send a flawed heartbeat, under this id or a stranger's.

        It bears the next sequence: taken up in part, it would shadow the
        sound heartbeat that follows.
        """
        body = spoil(self._next.fields(), flaw, chooser)
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
