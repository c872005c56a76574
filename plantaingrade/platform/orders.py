"""Orders to the backend server: grants, releases, health checks."""

import asyncio
import json

from plantaingrade.errors import PlantaingradeError
from plantaingrade.holds.entity import (
    Accepted,
    Grant,
    OrderOutcome,
    Outranked,
    Release,
    Unanswered,
    Unsent,
)
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.platform.const import (
    HEADER_HANDOVER,
    HEADER_INSTANCE,
    PATH_GRANT,
    PATH_RELEASE,
    TYPE_JSON,
)
from plantaingrade.platform.units import format_time

STATUS_OK = 200
STATUS_CONFLICT = 409
HEALTH_TIMEOUT_S = 0.5


class OrderRejectedError(PlantaingradeError):
    """Report an order that the server says it does not understand."""

    advice = 'The server speaks another version of the platform.'


class OrderClient:
    """Send orders to one backend server."""

    __slots__ = ('_address', '_pool')

    def __init__(self, pool: Pool, address: str) -> None:
        """Use the server at one address."""
        self._pool = pool
        self._address = address

    async def async_grant(self, grant: Grant, limit_s: float) -> OrderOutcome:
        """Grant a range, or renew a grant."""
        fields: dict[str, object] = {
            'startKey': grant.keys.first,
            'to': grant.keys.last,
            'fence': grant.fence,
            'hold_time': format_time(grant.hold_s),
        }
        if grant.handover:
            fields['handover'] = grant.handover
        return await self._order(PATH_GRANT, fields, limit_s)

    async def async_release(
        self, release: Release, limit_s: float
    ) -> OrderOutcome:
        """Take a range back; wait until running work on it has ended."""
        fields = {
            'startKey': release.keys.first,
            'to': release.keys.last,
            'fence': release.fence,
        }
        return await self._order(PATH_RELEASE, fields, limit_s)

    def has_lost_connection(self) -> bool:
        """Tell whether the server closed a connection since the last look."""
        return self._pool.has_lost(self._address)

    async def async_ask_instance(self, path: str) -> str | None:
        """Return the id of the server's present life, if it tells one.

        Uses the health check, which takes a slot like any other request.
        """
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                reply = await fetch(
                    self._pool, Call('GET', self._address, path)
                )
        except (TimeoutError, ConnectFailedError, ChannelClosedError):
            return None
        instance = reply.headers.get(HEADER_INSTANCE)
        return None if instance is None else instance.decode()

    async def _order(
        self, path: str, fields: dict[str, object], limit_s: float
    ) -> OrderOutcome:
        body = json.dumps(fields, separators=(',', ':')).encode()
        call = Call('POST', self._address, path, (TYPE_JSON,), body)
        try:
            async with asyncio.timeout(limit_s):
                reply = await fetch(self._pool, call)
        except ConnectFailedError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Unsent(is_refused=refused)
        except (TimeoutError, ChannelClosedError):
            return Unanswered()
        return _decode_order(reply)


def _decode_order(reply: Reply) -> OrderOutcome:
    if reply.status == STATUS_OK:
        return Accepted(reply.headers.get(HEADER_HANDOVER, b'').decode())
    if reply.status == STATUS_CONFLICT:
        return Outranked()
    return Unanswered()
