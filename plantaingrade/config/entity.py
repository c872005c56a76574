"""Typed routing configuration.

All times are in seconds.
"""

from msgspec import Struct


class ServiceShare(Struct, frozen=True):
    """One service of a route and its relative weight."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """Targets and limits of the requests to one host and path prefix.

    ``objective_s`` is the latency objective, ``priority`` is 0 for the most
    urgent requests and higher for others, and ``max_servers`` limits the number
    of backend servers that one request may be sent to.
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
    """One service as declared by the operator.

    ``cold_per_s`` is the number of requests per second that one of its servers
    can serve while cold; None if not declared.
    """

    name: str
    is_keyed: bool
    health_path: str
    max_connections: int
    cold_per_s: float | None = None


class Limits(Struct, frozen=True):
    """Limits on requests of callers, in bytes and seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RoutingConfig(Struct, frozen=True):
    """One complete version of the configuration.

    ``unknown_kind_by_route`` holds the kinds that this program does not know,
    by route; requests of these routes are never repeated.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ServiceConfig]
    limits: Limits
    source: bytes = b''
    unknown_kind_by_route: dict[str, str] = {}
