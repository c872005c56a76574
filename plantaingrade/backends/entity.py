"""What backend servers report, in one form for all vendors."""

from dataclasses import dataclass
from enum import StrEnum


class BackendState(StrEnum):
    """State of a backend server as its process sees it."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    OVERLOADED = 'overloaded'
    DOWN = 'down'


@dataclass(slots=True, frozen=True)
class Report:
    """One report of health and load, which may lag or mislead."""

    state: BackendState
    in_flight: int
    slots: int


@dataclass(slots=True, frozen=True)
class StatusDialect:
    """JSON at ``/status``; refusals marked by ``x-not-started``."""

    path: str = '/status'


@dataclass(slots=True, frozen=True)
class TextDialect:
    """Text at ``/health``; refusals told apart by status 429 and 412."""

    path: str = '/health'


Dialect = StatusDialect | TextDialect


@dataclass(slots=True, frozen=True)
class Ran:
    """The answer comes from work that was run."""


@dataclass(slots=True, frozen=True)
class Shed:
    """The server refused the request before running it."""


@dataclass(slots=True, frozen=True)
class FenceRefused:
    """The server refused a stale grant of ownership."""


Verdict = Ran | Shed | FenceRefused
