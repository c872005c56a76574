"""Requests in progress and their targets."""

from msgspec import Struct

from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Response
from plantaingrade.ownership.entity import Owned

Headers = tuple[tuple[bytes, bytes], ...]


class RouteRequest(Struct, frozen=True):
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


class LocalTarget(Struct, frozen=True):
    """The backend server of this process."""

    owned: Owned | None


class PeerTarget(Struct, frozen=True):
    """Another process, which serves the request or refuses it."""

    member: str
    address: str


Target = LocalTarget | PeerTarget


class Head(Struct, frozen=True):
    """Head of a response; its body follows on the channel."""

    response: Response
    channel: Channel
    address: str
    direct: bool


class RetryAfter(Struct, frozen=True):
    """Retry after a pause."""

    pause_s: float


class ReturnFailure(Struct, frozen=True):
    """Return the failure to the caller."""


RetryDecision = RetryAfter | ReturnFailure
