"""Validate incoming requests and convert them to typed form."""

import os
from collections.abc import Iterable
from urllib.parse import unquote

from plantaingrade.admission.const import CLASS_DEFAULT, PRIORITY_BY_CLASS
from plantaingrade.const import MS_PER_S
from plantaingrade.http.const import (
    HEADER_CLASS,
    HEADER_DEADLINE,
    HEADER_FENCE,
    HEADER_HOP,
    HEADER_LEASE_UNTIL,
    HEADER_REQUEST_ID,
    HEADER_SLICE,
    HEADER_TENANT,
    HEADER_TIMEOUT_MS,
    HOP_BY_HOP,
    IDEMPOTENT_METHODS,
    SAFE_METHODS,
)
from plantaingrade.http.messages import Request
from plantaingrade.journal.entity import MapState
from plantaingrade.metrics import TENANT_OTHER
from plantaingrade.outcome import NotRun, NotRunReason
from plantaingrade.routing.const import DEFAULT_TIMEOUT_MS, MAX_TIMEOUT_MS
from plantaingrade.routing.entity import Headers, RouteRequest

MAX_HOP = 1
REQUEST_ID_BYTES = 12
GENERATED_HEADERS = frozenset(
    (
        HEADER_REQUEST_ID,
        HEADER_TIMEOUT_MS,
        HEADER_HOP,
        HEADER_DEADLINE,
        HEADER_FENCE,
        HEADER_LEASE_UNTIL,
        HEADER_SLICE,
    )
)


def parse_request(
    raw: Request,
    state: MapState,
    now: float,
) -> RouteRequest | NotRun:
    """Return the request in typed form, or the reason for refusing it.

    The target is ``/<service>/<key>[/...]``; services that are not keyed also
    accept ``/<service>``.
    """
    headers = dict(raw.headers)
    path = raw.target.split(b'?', 1)[0].decode('ascii', 'replace')
    _, _, rest = path.partition('/')
    name, _, rest = rest.partition('/')
    service = state.services.get(unquote(name))
    if service is None:
        return NotRun(NotRunReason.UNKNOWN_SERVICE)
    key = unquote(rest.partition('/')[0])
    if service.keyed and not key:
        return NotRun(NotRunReason.MISSING_KEY)
    timeout_ms = _parse_int(headers.get(HEADER_TIMEOUT_MS), DEFAULT_TIMEOUT_MS)
    hop = _parse_int(headers.get(HEADER_HOP), 0)
    if timeout_ms is None or hop is None:
        return NotRun(NotRunReason.BAD_REQUEST)
    if timeout_ms <= 0:
        return NotRun(NotRunReason.EXPIRED)
    return RouteRequest(
        request_id=headers.get(HEADER_REQUEST_ID) or _new_id(),
        service=service.name,
        key=key,
        method=raw.method,
        target=raw.target,
        tenant=_known_tenant(headers.get(HEADER_TENANT), service.tenants),
        request_class=_known_class(headers.get(HEADER_CLASS)),
        deadline=now + min(timeout_ms, MAX_TIMEOUT_MS) / MS_PER_S,
        hop=min(hop, MAX_HOP),
        headers=forwardable_headers(raw.headers, GENERATED_HEADERS)
        + _framing(headers),
        is_safe=raw.method in SAFE_METHODS,
        is_idempotent=raw.method in IDEMPOTENT_METHODS,
    )


def _framing(headers: dict[bytes, bytes]) -> Headers:
    # A body of unknown length is forwarded in chunks, as it was received.
    if b'transfer-encoding' in headers:
        return ((b'transfer-encoding', b'chunked'),)
    return ()


def forwardable_headers(
    headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
) -> Headers:
    """Return the headers to forward: not hop-by-hop and not dropped."""
    connection_headers: frozenset[bytes] = frozenset()
    for name, text in headers:
        if name == b'connection':
            connection_headers |= {
                token.strip().lower() for token in text.split(b',')
            }
    skipped = HOP_BY_HOP | dropped | connection_headers
    return tuple((name, text) for name, text in headers if name not in skipped)


def _new_id() -> bytes:
    return os.urandom(REQUEST_ID_BYTES).hex().encode()


def _parse_int(raw: bytes | None, default: int) -> int | None:
    if raw is None:
        return default
    try:
        return int(raw)
    except ValueError:
        return None


def _known_tenant(raw: bytes | None, tenants: tuple[str, ...]) -> str:
    # Tenants are labels of histograms: callers that could choose them freely
    # could exhaust the memory of the process.
    name = (raw or b'').decode('ascii', 'replace')
    return name if name in tenants else TENANT_OTHER


def _known_class(raw: bytes | None) -> str:
    name = (raw or b'').decode('ascii', 'replace')
    return name if name in PRIORITY_BY_CLASS else CLASS_DEFAULT
