"""Typed requests, responses and outcomes.

Points in time are readings of this instance's boot clock, in seconds.
"""

from enum import StrEnum

from msgspec import Struct

from plantaingrade.backends.report import ServerNotice

Headers = tuple[tuple[bytes, bytes], ...]


class NotRunReason(StrEnum):
    """Why a request was definitely not run."""

    NO_CONFIG = 'no-config'
    OLD_CONFIG = 'older-config'
    NO_SERVER = 'no-server'
    NO_OWNER = 'no-owner'
    NOT_OWNER = 'not-owner'
    OTHER_SERVICE = 'other-service'
    MOVING = 'keys-moving'
    NOT_GRANTED = 'keys-not-granted'
    QUEUE_FULL = 'queue-full'
    TOO_LATE = 'cannot-finish-in-time'
    RATE_LIMITED = 'server-rate-limit'
    EXPIRED = 'deadline-passed'
    DRAINING = 'server-draining'
    SERVER_DOWN = 'server-down'
    SERVER_REFUSED = 'server-refused'
    CONNECT_FAILED = 'connect-failed'
    PEER_DOWN = 'process-not-reached'
    UNREACHABLE = 'process-unreachable'
    LEAVING = 'process-leaving'
    NO_BUFFER_BUDGET = 'no-room-for-body'
    LINK_FULL = 'link-full'
    CRASHES = 'crashes-servers'
    TRIES_USED_UP = 'servers-used-up'


class UnknownReason(StrEnum):
    """Why it is unknown whether a request was run."""

    BROKEN = 'connection-broken'
    PEER_BROKEN = 'connection-to-process-broken'
    TIMEOUT = 'deadline-passed'
    INCOMPLETE = 'answer-incomplete'
    MISMATCH = 'answer-of-another-request'
    NO_ROOM = 'answer-without-room'


class CallerRequest(Struct, frozen=True):
    """One attempt of a caller, as received.

    ``key`` is the key whose owner must run the request, if it names one;
    ``headers`` are the headers that are forwarded unchanged; ``deadline`` is
    when the caller stops waiting; ``ahead`` is the number of requests of its
    connection that were not answered when it was read.
    """

    request_id: bytes
    method: bytes
    target: bytes
    host: bytes
    key: int | None
    headers: Headers
    body: bytes
    arrived: float
    deadline: float
    ahead: int = 0


class RoutedRequest(Struct, frozen=True):
    """A request together with the settings of its route.

    ``until`` is the latest time for its final response: the caller's deadline
    or the route's timeout, whichever is earlier. ``due`` is the end of its
    latency objective. ``max_servers`` is how many servers it may be sent to.
    """

    caller: CallerRequest
    caller_service: str
    service: str
    is_idempotent: bool
    priority: int
    until: float
    due: float
    max_servers: int = 1

    @property
    def kind(self) -> str:
        """Return the request class, whose requests take about the same time."""
        return f'{self.priority}{"i" if self.is_idempotent else "o"}'


class Answer(Struct, frozen=True):
    """Complete response of a backend server, forwarded unchanged."""

    status: int
    headers: Headers
    body: bytes


class Answered(Struct, frozen=True):
    """A backend server responded."""

    answer: Answer


class NotRun(Struct, frozen=True):
    """The request has not run and never will.

    ``retry_after_s`` is the time after which a retry would probably be served.
    ``owner`` is the owner of the key in the refusing process's map, and
    ``map_version`` the version of that map.
    """

    reason: NotRunReason
    retry_after_s: float = 0.0
    owner: str = ''
    map_version: int = 0


class Unknown(Struct, frozen=True):
    """The request may have run or may still be running."""

    reason: UnknownReason


Outcome = Answered | NotRun | Unknown


class ServerLoad(Struct, frozen=True):
    """Load that a backend server reports.

    ``pace`` is the current work time relative to a machine without other
    work, where it is 1; None if the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class ServerReply(Struct, frozen=True):
    """Decoded head of a response of a backend server.

    ``request_id`` and ``instance`` are empty if the server sent none.
    ``is_not_run`` is set if the server guarantees that it did not run the
    request. ``closes`` is set if the server closes the connection. ``notice``
    is what the server says of itself.
    """

    status: int
    headers: Headers
    request_id: bytes
    instance: str
    is_not_run: bool
    load: ServerLoad | None
    closes: bool
    idle_s: float | None
    notice: ServerNotice = ServerNotice()
