"""Orders to the backend server: grants, releases, health checks."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from plantaingrade.backends.report import ServerPresence
from plantaingrade.const import MS_PER_S
from plantaingrade.errors import PlantaingradeError
from plantaingrade.holds.entity import (
    Accepted,
    Grant,
    OrderOutcome,
    Outranked,
    Rejected,
    Release,
    Unanswered,
    Unsent,
)
from plantaingrade.holds.orders import NoSessionError
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.http.session import SessionEndedError, Sessions, Turn
from plantaingrade.platform.const import (
    HEADER_COLD,
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
# Eleven days in milliseconds; more is no time that a server stays cold.
MAX_COLD_DIGITS = 9


class OrderRejectedError(PlantaingradeError):
    """Report an order that the server says it does not understand."""

    advice = 'The server speaks another version of the platform.'


class OrderTurn:
    """Use of one connection of a session for one grant."""

    __slots__ = ('_address', '_turn')

    def __init__(self, turn: Turn, address: str) -> None:
        """Use a connection that was taken."""
        self._turn = turn
        self._address = address

    async def async_grant(self, grant: Grant, limit_s: float) -> OrderOutcome:
        """Grant a range, or renew a grant."""
        call = _make_call(self._address, PATH_GRANT, _grant_fields(grant))
        try:
            async with asyncio.timeout(limit_s):
                return _decode_order(await self._turn.async_fetch(call))
        except (TimeoutError, ChannelClosedError):
            self._turn.drop()
            return Unanswered()


class OrderClient:
    """Send orders to one backend server."""

    __slots__ = ('_address', '_pool', '_sessions')

    def __init__(self, pool: Pool, address: str) -> None:
        """Use the server at one address."""
        self._pool = pool
        self._address = address
        self._sessions = Sessions(pool, address)

    @property
    def session(self) -> int:
        """Return the number of the session in force, 0 if there is none."""
        return self._sessions.number

    def listen(self, on_over: Callable[[], None]) -> None:
        """Have ``on_over`` called when a session is over."""
        self._sessions.on_over = on_over

    async def async_open(self) -> bool:
        """Open a session unless one is in force; tell whether there is one."""
        try:
            await self._sessions.async_open()
        except ConnectFailedError:
            return False
        return True

    @asynccontextmanager
    async def turn(self, session: int) -> AsyncIterator[OrderTurn]:
        """Return the use of a session for one grant.

        Raises on entry:
            NoSessionError: the session is over, and nothing was sent.
        """
        try:
            async with self._sessions.turn(session) as turn:
                yield OrderTurn(turn, self._address)
        except SessionEndedError as error:
            raise NoSessionError('The session is over.') from error

    async def async_release(
        self, release: Release, limit_s: float
    ) -> OrderOutcome:
        """Take a range back; wait until running work on it has ended.

        It may reach a later life than the one that was granted the range,
        which holds nothing of it: a release only ever takes away.
        """
        fields = {
            'startKey': release.keys.first,
            'to': release.keys.last,
            'fence': release.fence,
        }
        call = _make_call(self._address, PATH_RELEASE, fields)
        try:
            async with asyncio.timeout(limit_s):
                return _decode_order(await fetch(self._pool, call))
        except ConnectFailedError:
            return Unsent()
        except (TimeoutError, ChannelClosedError):
            return Unanswered()

    def close(self) -> None:
        """End the session."""
        self._sessions.close()

    async def async_ask_presence(self, path: str) -> ServerPresence | None:
        """Return what the server's present life says of itself, if it does.

        Uses the health check, which takes a slot like any other request.
        """
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                reply = await fetch(
                    self._pool, Call('GET', self._address, path)
                )
        except (TimeoutError, ConnectFailedError, ChannelClosedError):
            return None
        instance = _read_text(reply, HEADER_INSTANCE)
        if not instance:
            return None
        return ServerPresence(instance, _read_cold_s(reply))


def _make_call(address: str, path: str, fields: dict[str, object]) -> Call:
    body = json.dumps(fields, separators=(',', ':')).encode()
    return Call('POST', address, path, (TYPE_JSON,), body)


def _grant_fields(grant: Grant) -> dict[str, object]:
    fields: dict[str, object] = {
        'startKey': grant.keys.first,
        'to': grant.keys.last,
        'fence': grant.fence,
        'hold_time': format_time(grant.hold_s),
    }
    if grant.handover:
        fields['handover'] = grant.handover
    return fields


def _decode_order(reply: Reply) -> OrderOutcome:
    if reply.status == STATUS_OK:
        return Accepted(_read_text(reply, HEADER_HANDOVER))
    if reply.status == STATUS_CONFLICT:
        return Outranked()
    return Rejected(reply.status)


def _read_cold_s(reply: Reply) -> float | None:
    text = _read_text(reply, HEADER_COLD)
    if not text.isdigit() or len(text) > MAX_COLD_DIGITS:
        return None
    return int(text) / MS_PER_S


def _read_text(reply: Reply, name: bytes) -> str:
    """Return a header's text, empty if there is none that can be read."""
    try:
        return reply.headers.get(name, b'').decode('ascii')
    except UnicodeDecodeError:
        return ''
