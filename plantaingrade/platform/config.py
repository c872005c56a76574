"""Decode the operator's configuration."""

import json
from typing import Any

from plantaingrade.config.entity import (
    Limits,
    Route,
    RoutingConfig,
    ServiceConfig,
    ServiceShare,
)
from plantaingrade.platform.const import TYPE_IDEMPOTENT, TYPE_ONCE
from plantaingrade.platform.units import (
    UnreadableFieldError,
    parse_time,
    parse_version,
)

DEFAULT_PRIORITY = 1
DEFAULT_MAX_SERVERS = 1
DEFAULT_CONNECTIONS = 100
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def decode_config(body: bytes) -> RoutingConfig:
    """Return the configuration that a row holds.

    Raises:
        UnreadableFieldError: the bytes are no configuration that can be used.
    """
    try:
        return _read_config(json.loads(body), body)
    except DECODE_ERRORS as error:
        raise UnreadableFieldError(
            f'Configuration not understood: {error!r}.',
        ) from error


def _read_config(fields: dict[str, Any], body: bytes) -> RoutingConfig:
    services = {
        name: _read_service(name, raw)
        for name, raw in fields['services'].items()
    }
    routes = tuple(
        _read_route(name, raw) for name, raw in fields['routes'].items()
    )
    for route in routes:
        _check_services(route, services)
    return RoutingConfig(
        version=parse_version(fields['version']),
        routes=routes,
        service_by_name=services,
        limits=_read_limits(fields['limits']),
        source=body,
    )


def _read_service(name: str, raw: dict[str, Any]) -> ServiceConfig:
    return ServiceConfig(
        name=name,
        is_keyed=bool(raw.get('sharded', False)),
        health_path=raw['healthCheckPath'],
        max_connections=int(raw.get('maxConnections', DEFAULT_CONNECTIONS)),
    )


def _read_route(name: str, raw: dict[str, Any]) -> Route:
    kind = raw['type']
    if kind not in {TYPE_IDEMPOTENT, TYPE_ONCE}:
        raise ValueError(f'{name}: unknown type {kind!r}')
    timeout_s = parse_time(raw['timeout'])
    return Route(
        name=name,
        host=raw['host'],
        prefix=raw['prefix'],
        shares=_read_shares(raw),
        # Their word for idempotent; it says nothing of the method.
        is_idempotent=kind == TYPE_IDEMPOTENT,
        timeout_s=timeout_s,
        objective_s=parse_time(raw.get('targetLatency', raw['timeout'])),
        priority=int(raw.get('priority', DEFAULT_PRIORITY)),
        # Counts backend servers, not tries.
        max_servers=int(raw.get('maxAttempts', DEFAULT_MAX_SERVERS)),
    )


def _read_shares(raw: dict[str, Any]) -> tuple[ServiceShare, ...]:
    parts = raw.get('weightedServices')
    if not parts:
        return (ServiceShare(raw['service'], 1.0),)
    shares = tuple(
        ServiceShare(part['service'], float(part['weight'])) for part in parts
    )
    if sum(share.weight for share in shares) <= 0:
        raise ValueError('weights add up to nothing')
    return shares


def _check_services(route: Route, services: dict[str, ServiceConfig]) -> None:
    for share in route.shares:
        if share.service not in services:
            raise ValueError(f'{route.name}: no service {share.service!r}')


def _read_limits(raw: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=int(raw['maxHeaderBytes']),
        max_body_bytes=int(raw['maxBodyBytes']),
        header_timeout_s=parse_time(raw['headerTimeout']),
        idle_timeout_s=parse_time(raw['idleTimeout']),
    )
