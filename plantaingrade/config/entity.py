"""Typed routing configuration.

All times are seconds.
"""

from msgspec import Struct


class ServiceShare(Struct, frozen=True):
    """One service of a route and its weight among the others."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """Where requests of one host and path prefix go, and within what limits.

    ``objective_s`` is the latency objective, ``priority`` ranks classes of
    requests with 0 as the most urgent, and ``max_servers`` bounds the backend
    servers to which one request may be sent.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_servers: int


class ServiceConfig(Struct, frozen=True):
    """One service as the operator declares it.

    ``cold_per_s`` is how many requests a second one of its servers tolerates
    while it is cold, or nothing where that is not declared.
    """

    name: str
    is_keyed: bool
    health_path: str
    max_connections: int
    cold_per_s: float | None = None


class Limits(Struct, frozen=True):
    """Bounds on what callers may send, in bytes and seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RoutingConfig(Struct, frozen=True):
    """One version of the configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ServiceConfig]
    limits: Limits
    source: bytes = b''
