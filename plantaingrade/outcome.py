"""Outcomes of requests."""

from enum import StrEnum

from msgspec import Struct


class NotRunReason(StrEnum):
    """Why a request was certainly not run."""

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
    """Why it is unknown whether a request was run."""

    BROKEN = 'connection-broken'
    TIMEOUT = 'deadline-passed'
    MISMATCH = 'answer-of-another-request'


class NotRun(Struct, frozen=True):
    """The request was certainly not run."""

    reason: NotRunReason
    retry_after_s: int = 1
    owner_hint: str = ''


class Unknown(Struct, frozen=True):
    """The request may have been run."""

    reason: UnknownReason
    retry_after_s: int = 1


class Answered(Struct, frozen=True):
    """The backend server answered, and the answer was sent completely."""

    status: int
    direct: bool


Outcome = Answered | NotRun | Unknown
