"""Reports and responses of backend servers, common to all vendors."""

from enum import StrEnum

from msgspec import Struct


class BackendState(StrEnum):
    """State of a backend server as seen by its process."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    OVERLOADED = 'overloaded'
    DOWN = 'down'


class Report(Struct, frozen=True):
    """A report of health and load, which may be outdated or wrong."""

    state: BackendState
    in_flight: int
    slots: int


class StatusDialect(Struct, frozen=True):
    """JSON at ``/status``; refusals marked by ``x-not-started``."""

    path: str = '/status'


class TextDialect(Struct, frozen=True):
    """Text at ``/health``; refusals marked by status 429 and 412."""

    path: str = '/health'


Dialect = StatusDialect | TextDialect


class Ran(Struct, frozen=True):
    """The request ran, or nothing proves that it did not."""


class Shed(Struct, frozen=True):
    """The server refused the request, for load, before running it."""


class FenceRefused(Struct, frozen=True):
    """The server refused the request, for a stale fence, before running."""


ResponseKind = Ran | Shed | FenceRefused
