"""Typed requests, answers and outcomes.

Points in time are readings of the boot clock of this instance, in seconds.
"""

from enum import StrEnum

from msgspec import Struct

Headers = tuple[tuple[bytes, bytes], ...]


class NotRunReason(StrEnum):
    """Why a request was certainly not run."""

    NO_CONFIG = 'no-config'
    NO_SERVER = 'no-server'
    NO_OWNER = 'no-owner'
    NOT_OWNER = 'not-owner'
    OTHER_SERVICE = 'other-service'
    MOVING = 'keys-moving'
    NOT_GRANTED = 'keys-not-granted'
    QUEUE_FULL = 'queue-full'
    TOO_LATE = 'cannot-finish-in-time'
    EXPIRED = 'deadline-passed'
    DRAINING = 'server-draining'
    SERVER_DOWN = 'server-down'
    SERVER_REFUSED = 'server-refused'
    CONNECT_FAILED = 'connect-failed'
    PEER_DOWN = 'process-not-reached'
    UNREACHABLE = 'process-unreachable'
    LEAVING = 'process-leaving'
    NO_BUFFER_BUDGET = 'no-room-for-body'
    CRASHES = 'crashes-servers'


class UnknownReason(StrEnum):
    """Why nobody can tell whether a request was run."""

    BROKEN = 'connection-broken'
    PEER_BROKEN = 'connection-to-process-broken'
    TIMEOUT = 'deadline-passed'
    INCOMPLETE = 'answer-incomplete'
    MISMATCH = 'answer-of-another-request'


class CallerRequest(Struct, frozen=True):
    """One attempt of a caller, as it came in.

    ``key`` is the key whose owner must run it, if it names one; ``headers``
    are those that go on unchanged; ``deadline`` is when its caller stops
    waiting.
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


class RoutedRequest(Struct, frozen=True):
    """A request together with what its route says.

    ``until`` is when it must have its final answer at the latest: the
    caller's deadline or the route's timeout. ``due`` is the end of its
    latency objective.
    """

    caller: CallerRequest
    caller_service: str
    service: str
    is_idempotent: bool
    priority: int
    until: float
    due: float

    @property
    def kind(self) -> str:
        """Return the class whose requests take about the same time."""
        return f'{self.priority}{"i" if self.is_idempotent else "o"}'


class Answer(Struct, frozen=True):
    """Whole answer of a backend server, to be passed on unchanged."""

    status: int
    headers: Headers
    body: bytes


class Answered(Struct, frozen=True):
    """A backend server answered."""

    answer: Answer


class NotRun(Struct, frozen=True):
    """The request has not run and never will.

    ``retry_after_s`` is when it would probably be served. ``owner`` names the
    member that owns the key by the map that the refusing process has, and
    ``map_version`` the version of that map.
    """

    reason: NotRunReason
    retry_after_s: float = 0.0
    owner: str = ''
    map_version: int = 0


class Unknown(Struct, frozen=True):
    """The request may have run, or may still be running."""

    reason: UnknownReason


Outcome = Answered | NotRun | Unknown


class ServerLoad(Struct, frozen=True):
    """What a backend server says of its slots.

    ``pace`` is how long work takes there at this moment, 1 on a machine
    without other work, or nothing where the server does not tell.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class ServerReply(Struct, frozen=True):
    """Head of an answer of a backend server, decoded.

    ``request_id`` and ``instance`` are empty where the server sent none.
    ``is_not_run`` is its promise that it did not run the request.
    """

    status: int
    headers: Headers
    request_id: bytes
    instance: str
    is_not_run: bool
    load: ServerLoad | None
    closes: bool
    idle_s: float | None
