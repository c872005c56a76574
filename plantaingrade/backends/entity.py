"""What backend servers report, in one form for all vendors."""

from enum import StrEnum

from msgspec import Struct


class BackendState(StrEnum):
    """State of a backend server as its process sees it."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    OVERLOADED = 'overloaded'
    DOWN = 'down'


class Report(Struct, frozen=True):
    """One report of health and load, which may lag or mislead."""

    state: BackendState
    in_flight: int
    slots: int


class StatusDialect(Struct, frozen=True):
    """JSON at ``/status``; refusals marked by ``x-not-started``."""

    path: str = '/status'


class TextDialect(Struct, frozen=True):
    """Text at ``/health``; refusals told apart by status 429 and 412."""

    path: str = '/health'


Dialect = StatusDialect | TextDialect


class Ran(Struct, frozen=True):
    """The answer comes from work that was run."""


class Shed(Struct, frozen=True):
    """The server refused the request before running it."""


class FenceRefused(Struct, frozen=True):
    """The server refused a stale grant of ownership."""


Verdict = Ran | Shed | FenceRefused
