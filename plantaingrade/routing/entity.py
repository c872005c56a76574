"""Requests on their way, and where to send them."""

from dataclasses import dataclass

import h11

from plantaingrade.http.channel import Channel
from plantaingrade.ownership.entity import Owned

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(slots=True, frozen=True)
class RouteRequest:
    """A validated request of a caller or of another process."""

    request_id: bytes
    service: str
    key: str
    method: bytes
    target: bytes
    tenant: str
    request_class: str
    deadline: float
    hop: int
    headers: Headers
    is_safe: bool
    is_idempotent: bool


@dataclass(slots=True, frozen=True)
class LocalTarget:
    """The backend server beside this process."""

    owned: Owned | None


@dataclass(slots=True, frozen=True)
class PeerTarget:
    """Another process."""

    member: str
    address: str


Target = LocalTarget | PeerTarget


@dataclass(slots=True, frozen=True)
class Head:
    """The head of an answer has come; its body follows on the channel."""

    response: h11.Response
    channel: Channel
    address: str
    direct: bool


@dataclass(slots=True, frozen=True)
class RetryAfter:
    """Try again after a pause."""

    pause_s: float


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Answer the caller now."""


NextStep = RetryAfter | GiveUp
