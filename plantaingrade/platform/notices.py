"""Decode what a backend server says of itself in any of its answers."""

import re

from plantaingrade.backends.report import (
    LimitNotice,
    NamedLimit,
    NoLimit,
    ServerNotice,
    UnreadableLimit,
)
from plantaingrade.platform.const import (
    HEADER_INSTANCE,
    HEADER_LEAVING,
    HEADER_LIMIT,
)
from plantaingrade.requests.entity import Headers

# A decimal number without sign or exponent, far larger than any real limit.
LIMIT = re.compile(rb'\d{1,9}(\.\d{0,9})?|\.\d{1,9}')
LEAVING = b'1'
MAX_LOGGED_CHARS = 40


def decode_notice(headers: Headers) -> ServerNotice:
    """Decode the headers in which a server names its state."""
    return decode_indexed_notice(headers, dict(headers))


def decode_indexed_notice(
    headers: Headers, text_by_name: dict[bytes, bytes]
) -> ServerNotice:
    """Decode the same headers, where they are already indexed by name."""
    instance = text_by_name.get(HEADER_INSTANCE, b'').decode('ascii', 'replace')
    if not (HEADER_LIMIT in text_by_name or HEADER_LEAVING in text_by_name):
        return ServerNotice(instance)
    limits = [text for name, text in headers if name == HEADER_LIMIT]
    return ServerNotice(
        instance,
        _decode_limit(limits),
        any(
            name == HEADER_LEAVING and text.strip() == LEAVING
            for name, text in headers
        ),
    )


def _decode_limit(texts: list[bytes]) -> LimitNotice:
    if not texts:
        return NoLimit()
    text = b','.join(each.strip() for each in texts)
    if LIMIT.fullmatch(text) is None:
        readable = text.decode('ascii', 'replace')
        return UnreadableLimit(readable[:MAX_LOGGED_CHARS])
    return NamedLimit(float(text))
