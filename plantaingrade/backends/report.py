"""What a backend server says of itself, typed."""

from enum import StrEnum

from msgspec import Struct


class ReportedState(StrEnum):
    """What a backend server says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class ServerIncarnation(Struct, frozen=True):
    """One life of a backend server: its id, and when it started.

    A server may start again under the id that it had, so that the id alone
    does not name a life. ``born_ms`` is the start in milliseconds of the
    server's own clock, or nothing where that was not told.
    """

    instance: str
    born_ms: int | None = None

    def is_before(self, other: 'ServerIncarnation') -> bool:
        """Tell whether both bear one id and this one started earlier."""
        if self.instance != other.instance:
            return False
        if self.born_ms is None or other.born_ms is None:
            return False
        return self.born_ms < other.born_ms


class Heartbeat(Struct, frozen=True):
    """One heartbeat.

    ``sequence`` rises with each heartbeat of one life of the server, and
    ``cold_s`` is how long it will stay slow.
    """

    incarnation: ServerIncarnation
    service: str
    address: str
    slots: int
    state: ReportedState
    cold_s: float
    sequence: int


class ServerPresence(Struct, frozen=True):
    """What a server says when it is asked who it is.

    ``cold_s`` is how long it will stay slow, or nothing where it does not
    tell.
    """

    instance: str
    cold_s: float | None = None


class Farewell(Struct, frozen=True):
    """The server says that this life of it leaves."""

    incarnation: ServerIncarnation
