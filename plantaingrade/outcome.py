"""Typed outcomes of requests."""

from dataclasses import dataclass
from enum import StrEnum


class NotRunReason(StrEnum):
    """Proof that a request was not run."""

    CONNECT_FAILED = 'connect-failed'
    NOT_OWNER = 'not-owner'
    NO_OWNER = 'no-owner'
    LEASE_LAPSED = 'lease-lapsed'
    MOVING = 'moving'
    SHED = 'shed'
    QUEUE_FULL = 'queue-full'
    DRAINING = 'draining'
    NOT_READY = 'not-ready'
    STALE_FENCE = 'stale-fence'
    EXPIRED = 'deadline-expired'
    BAD_REQUEST = 'bad-request'
    UNKNOWN_SERVICE = 'unknown-service'
    MISSING_KEY = 'missing-key'


class UnknownReason(StrEnum):
    """Why nobody can tell whether a request was run."""

    BROKEN = 'connection-broken'
    TIMEOUT = 'deadline-passed'
    MISMATCH = 'answer-of-another-request'


@dataclass(slots=True, frozen=True)
class NotRun:
    """The request was certainly not run."""

    reason: NotRunReason
    retry_after_s: int = 1
    owner_hint: str = ''


@dataclass(slots=True, frozen=True)
class Unknown:
    """The request may have been run."""

    reason: UnknownReason
    retry_after_s: int = 1


@dataclass(slots=True, frozen=True)
class Answered:
    """The backend server answered, and the answer went out whole."""

    status: int
    direct: bool


Outcome = Answered | NotRun | Unknown
