"""Orders to the backend server (grants and releases) and health checks."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from plantaingrade.backends.report import ServerNotice, ServerPresence
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
from plantaingrade.http.client import Call, Reply, fetch, fetch_once
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.http.session import Checkout, SessionEndedError, Sessions
from plantaingrade.platform.const import (
    HEADER_COLD,
    HEADER_HANDOVER,
    HEADER_INSTANCE,
    PATH_GRANT,
    PATH_RELEASE,
    TYPE_JSON,
)
from plantaingrade.platform.notices import decode_notice
from plantaingrade.platform.units import format_time

STATUS_OK = 200
STATUS_CONFLICT = 409
HEALTH_TIMEOUT_S = 0.5
# A sound server answers an order without a body, and a health check briefly.
MAX_REPLY_BYTES = 65_536
# Maximum number of digits in the cold time: eleven days in milliseconds, more
# than any server stays cold.
MAX_COLD_DIGITS = 9


OnNotice = Callable[[ServerNotice], None]


class OrderRejectedError(PlantaingradeError):
    """Raised when the server rejects an order as invalid."""

    advice = 'The server may use another version of the platform.'


class GrantConnection:
    """Exclusive use of one connection of a session for one grant."""

    __slots__ = ('_address', '_checkout', '_on_notice')

    def __init__(
        self, checkout: Checkout, address: str, on_notice: OnNotice
    ) -> None:
        """Use a connection that was checked out of its session."""
        self._checkout = checkout
        self._address = address
        self._on_notice = on_notice

    async def async_grant(self, grant: Grant, limit_s: float) -> OrderOutcome:
        """Send a new or renewed grant of a key range.

        Waits up to ``limit_s`` for the response.
        """
        call = _make_call(self._address, PATH_GRANT, _grant_fields(grant))
        try:
            async with asyncio.timeout(limit_s):
                reply = await self._checkout.async_fetch(call)
        except (TimeoutError, ChannelClosedError):
            self._checkout.drop()
            return Unanswered()
        self._on_notice(decode_notice(reply.pairs))
        return _decode_order(reply)


class OrderClient:
    """Client that sends orders to one backend server."""

    __slots__ = ('_address', '_on_notice', '_pool', '_sessions')

    def __init__(self, pool: Pool, address: str) -> None:
        """Create a client for the server at an address."""
        self._pool = pool
        self._address = address
        self._sessions = Sessions(pool, address)
        self._on_notice: OnNotice = _ignore_notice

    @property
    def session(self) -> int:
        """Return the number of the current session, 0 if there is none."""
        return self._sessions.number

    def listen(self, on_over: Callable[[], None]) -> None:
        """Set the callback for the end of a session."""
        self._sessions.on_ended = on_over

    def listen_to_notices(self, on_notice: OnNotice) -> None:
        """Set the callback for what the server says of itself in answers."""
        self._on_notice = on_notice

    async def async_open(self) -> bool:
        """Open a session unless there is one, and return whether it is open."""
        try:
            await self._sessions.async_open()
        except ConnectFailedError:
            return False
        return True

    @asynccontextmanager
    async def turn(self, session: int) -> AsyncIterator[GrantConnection]:
        """Provide a connection of a session for one grant.

        Raises on entry:
            NoSessionError: the session has ended, and nothing was sent.
        """
        try:
            async with self._sessions.checkout(session) as checkout:
                yield GrantConnection(checkout, self._address, self._on_notice)
        except SessionEndedError as error:
            raise NoSessionError('The session has ended.') from error

    async def async_release(
        self, release: Release, limit_s: float
    ) -> OrderOutcome:
        """Release a key range, and wait until running work on it has ended.

        The release may reach a later incarnation of the server than the one
        that was granted the range. This is harmless, since that incarnation
        does not hold the range and a release only removes keys.

        Each release has a connection of its own. Orders have no id, so the late
        second copy of an earlier answer would count as its answer, and another
        server would be granted keys that this one still holds.
        """
        fields = {
            'startKey': release.keys.first,
            'to': release.keys.last,
            'fence': release.fence,
        }
        call = _make_call(self._address, PATH_RELEASE, fields)
        try:
            async with asyncio.timeout(limit_s):
                reply = await fetch_once(self._pool, call)
        except ConnectFailedError:
            return Unsent()
        except (TimeoutError, ChannelClosedError):
            return Unanswered()
        self._on_notice(decode_notice(reply.pairs))
        return _decode_order(reply)

    def close(self) -> None:
        """Close the session."""
        self._sessions.close()

    async def async_ask_presence(self, path: str) -> ServerPresence | None:
        """Return what the server's current incarnation reports about itself.

        Uses the health check, which takes a slot like any other request.
        Returns None if the server does not respond or reports no instance id.
        """
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                reply = await fetch(
                    self._pool,
                    Call(
                        'GET',
                        self._address,
                        path,
                        max_reply_bytes=MAX_REPLY_BYTES,
                    ),
                )
        except (TimeoutError, ConnectFailedError, ChannelClosedError):
            return None
        instance = _read_text(reply, HEADER_INSTANCE)
        if not instance:
            return None
        return ServerPresence(
            instance, _read_cold_s(reply), decode_notice(reply.pairs)
        )


def _ignore_notice(_: ServerNotice) -> None:
    """Ignore notices while nothing listens to them."""


def _make_call(address: str, path: str, fields: dict[str, object]) -> Call:
    body = json.dumps(fields, separators=(',', ':')).encode()
    return Call(
        'POST',
        address,
        path,
        (TYPE_JSON,),
        body,
        max_reply_bytes=MAX_REPLY_BYTES,
    )


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
    """Return the text of a header, empty if it is missing or not ASCII."""
    try:
        return reply.headers.get(name, b'').decode('ascii')
    except UnicodeDecodeError:
        return ''
