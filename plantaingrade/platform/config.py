"""Decoder for the operator's routing configuration."""

from plantaingrade.config.entity import (
    Limits,
    Route,
    RoutingConfig,
    ServiceConfig,
    ServiceShare,
)
from plantaingrade.platform.const import (
    TYPE_IDEMPOTENT,
    TYPE_ONCE,
    TYPE_UPLOAD,
)
from plantaingrade.platform.units import (
    UnreadableFieldError,
    parse_time,
    parse_version,
)
from plantaingrade.schema import Fields, SchemaError, parse_object

DEFAULT_PRIORITY = 1
DEFAULT_MAX_SERVERS = 1
DEFAULT_CONNECTIONS = 100
# Hosts and paths may be longer than other names.
MAX_PATH_CHARS = 4096
MAX_WEIGHT = 1e9
FIELD_COLD_PER_S = 'coldPerS'
MAX_COLD_PER_S = 1e9
KNOWN_TYPES = frozenset((TYPE_IDEMPOTENT, TYPE_ONCE, TYPE_UPLOAD))


def decode_config(body: bytes) -> RoutingConfig:
    """Decode the configuration from the body of its row.

    Raises:
        UnreadableFieldError: the body is not a valid configuration.
    """
    try:
        return _read_config(parse_object(body), body)
    except SchemaError as error:
        raise UnreadableFieldError(
            f'Invalid configuration: {error}',
        ) from error


def _read_config(fields: Fields, body: bytes) -> RoutingConfig:
    services = {
        name: _read_service(name, Fields(raw))
        for name, raw in fields.mapping('services').items()
    }
    raw_by_route = {
        name: Fields(raw) for name, raw in fields.mapping('routes').items()
    }
    routes = tuple(_read_route(name, raw) for name, raw in raw_by_route.items())
    for route in routes:
        _check_services(route, services)
    return RoutingConfig(
        version=parse_version(fields.any_value('version')),
        routes=routes,
        service_by_name=services,
        limits=_read_limits(Fields(fields.any_value('limits'))),
        source=body,
        unknown_kind_by_route=_find_unknown_kinds(raw_by_route),
    )


def _find_unknown_kinds(raw_by_route: dict[str, Fields]) -> dict[str, str]:
    kind_by_route = {
        name: raw.text('type') for name, raw in raw_by_route.items()
    }
    return {
        name: kind
        for name, kind in kind_by_route.items()
        if kind not in KNOWN_TYPES
    }


def _read_service(name: str, raw: Fields) -> ServiceConfig:
    return ServiceConfig(
        name=name,
        is_keyed=raw.boolean('sharded') if raw.has('sharded') else False,
        health_path=raw.text('healthCheckPath', MAX_PATH_CHARS),
        max_connections=_read_count(raw, 'maxConnections', DEFAULT_CONNECTIONS),
        cold_per_s=_read_cold(raw),
    )


def _read_cold(raw: Fields) -> float | None:
    if not raw.has(FIELD_COLD_PER_S):
        return None
    return raw.number(FIELD_COLD_PER_S, 0, MAX_COLD_PER_S)


def _read_route(name: str, raw: Fields) -> Route:
    timeout_s = parse_time(raw.any_value('timeout'))
    objective_s = timeout_s
    if raw.has('targetLatency'):
        objective_s = parse_time(raw.any_value('targetLatency'))
    return Route(
        name=name,
        host=raw.text('host', MAX_PATH_CHARS),
        prefix=raw.text('prefix', MAX_PATH_CHARS),
        shares=_read_shares(raw),
        # The platform says "safe" for idempotent, whatever the HTTP method.
        # Uploads and requests of an unknown type run at most once.
        is_idempotent=raw.text('type') == TYPE_IDEMPOTENT,
        timeout_s=timeout_s,
        objective_s=objective_s,
        priority=_read_count(raw, 'priority', DEFAULT_PRIORITY),
        # The platform's "maxAttempts" counts backend servers, not attempts.
        max_servers=_read_count(raw, 'maxAttempts', DEFAULT_MAX_SERVERS),
    )


def _read_count(raw: Fields, name: str, default: int) -> int:
    return raw.integer(name) if raw.has(name) else default


def _read_shares(raw: Fields) -> tuple[ServiceShare, ...]:
    has_weights = raw.has('weightedServices') and raw.any_value(
        'weightedServices'
    )
    if not has_weights:
        return (ServiceShare(raw.text('service'), 1.0),)
    shares = tuple(
        _read_share(Fields(part)) for part in raw.array('weightedServices')
    )
    if sum(share.weight for share in shares) <= 0:
        raise SchemaError('The sum of the service weights must be positive.')
    return shares


def _read_share(part: Fields) -> ServiceShare:
    return ServiceShare(
        part.text('service'), part.number('weight', 0, MAX_WEIGHT)
    )


def _check_services(route: Route, services: dict[str, ServiceConfig]) -> None:
    for share in route.shares:
        if share.service not in services:
            raise SchemaError(
                f'{route.name}: unknown service {share.service!r}.'
            )


def _read_limits(raw: Fields) -> Limits:
    return Limits(
        max_header_bytes=raw.integer('maxHeaderBytes'),
        max_body_bytes=raw.integer('maxBodyBytes'),
        header_timeout_s=parse_time(raw.any_value('headerTimeout')),
        idle_timeout_s=parse_time(raw.any_value('idleTimeout')),
    )
