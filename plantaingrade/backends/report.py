"""Messages in which a backend server reports its own state."""

from enum import StrEnum

from msgspec import Struct


class ReportedState(StrEnum):
    """State that a backend server reports."""

    READY = 'ready'
    DRAINING = 'draining'


class ServerIncarnation(Struct, frozen=True):
    """One run of a backend server from a start to its end.

    A server may restart with the same id, so the id alone does not identify
    an incarnation. ``born_ms`` is the start time in milliseconds of the
    server's own clock, or ``None`` where it was not reported.
    """

    instance: str
    born_ms: int | None = None

    def is_before(self, other: 'ServerIncarnation') -> bool:
        """Return whether both have one id and this one started earlier."""
        if self.instance != other.instance:
            return False
        if self.born_ms is None or other.born_ms is None:
            return False
        return self.born_ms < other.born_ms


class Heartbeat(Struct, frozen=True):
    """One heartbeat.

    ``sequence`` increases with each heartbeat of one incarnation, and
    ``cold_s`` is how long the server will remain cold, in seconds.
    """

    incarnation: ServerIncarnation
    service: str
    address: str
    slots: int
    state: ReportedState
    cold_s: float
    sequence: int


class NoLimit(Struct, frozen=True):
    """The answer names no rate limit."""


class NamedLimit(Struct, frozen=True):
    """The server accepts so many requests per second from all callers."""

    per_s: float


class UnreadableLimit(Struct, frozen=True):
    """The answer names a rate limit that is not a number of requests."""

    text: str


LimitNotice = NoLimit | NamedLimit | UnreadableLimit


class ServerNotice(Struct, frozen=True):
    """What a server says of itself in one of its answers.

    ``instance`` is empty if the answer does not name the server's id.
    """

    instance: str = ''
    limit: LimitNotice = NoLimit()
    is_leaving: bool = False


class ResponseNotice(Struct, frozen=True):
    """What a server says of itself in the response to a request.

    The request was sent to the incarnation ``sent_to`` at ``sent_at``.
    ``has_run`` is unset if the server refused it.
    """

    sent_to: str
    request_id: bytes
    sent_at: float
    has_run: bool
    notice: ServerNotice


class ServerPresence(Struct, frozen=True):
    """Answer of a server that was asked for its id.

    ``cold_s`` is how long it will remain cold, in seconds, or ``None`` where
    it does not report that.
    """

    instance: str
    cold_s: float | None = None
    notice: ServerNotice = ServerNotice()


class Farewell(Struct, frozen=True):
    """Message that this incarnation of the server is about to end."""

    incarnation: ServerIncarnation
