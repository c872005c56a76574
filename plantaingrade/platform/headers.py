"""Headers of requests from callers and of responses of backend servers."""

import math

from plantaingrade.backends.report import ServerNotice
from plantaingrade.const import MS_PER_S
from plantaingrade.http.const import HOP_BY_HOP
from plantaingrade.http.messages import Request, Response
from plantaingrade.keyspace.entity import KEY_COUNT
from plantaingrade.platform.const import (
    HEADER_CALLER,
    HEADER_DEADLINE,
    HEADER_EXPECTED,
    HEADER_INSTANCE,
    HEADER_KEY,
    HEADER_LOAD,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
)
from plantaingrade.platform.notices import decode_indexed_notice
from plantaingrade.requests.entity import (
    CallerRequest,
    Headers,
    RoutedRequest,
    ServerLoad,
    ServerReply,
)
from plantaingrade.requests.errors import MalformedRequestError

# Deadline of requests without a deadline header, in seconds. Callers on the
# platform always send one.
DEFAULT_DEADLINE_S = 10.0
STATUS_MISDIRECTED = 421
# Maximum number of digits accepted in a header; no valid number has as many.
MAX_DIGITS = 12
# A server reports its pace in percent of the usual duration of its work.
PERCENT = 100

# Headers of a request that each process on the path sets itself, or that are
# addressed to this process only.
REQUEST_HEADERS_NOT_FORWARDED = frozenset(
    (
        b'host',
        b'content-length',
        HEADER_REQUEST_ID,
        HEADER_DEADLINE,
        HEADER_EXPECTED,
        HEADER_CALLER,
        HEADER_KEY,
    )
)
# Headers of a response that are for this process only, or that it sets itself.
RESPONSE_HEADERS_NOT_FORWARDED = frozenset(
    (
        b'content-length',
        b'date',
        HEADER_REQUEST_ID,
        HEADER_LOAD,
        HEADER_INSTANCE,
    )
)


def decode_request(raw: Request, body: bytes, arrived: float) -> CallerRequest:
    """Decode the request of a caller that arrived at the given time.

    Raises:
        MalformedRequestError: the key or the deadline is invalid.
    """
    pairs = raw.headers
    text_by_name = dict(pairs)
    key = text_by_name.get(HEADER_KEY)
    return CallerRequest(
        request_id=text_by_name.get(HEADER_REQUEST_ID, b''),
        method=raw.method,
        target=raw.target,
        host=text_by_name.get(b'host', b''),
        key=None if key is None else _parse_key(key),
        headers=_forwardable(pairs, REQUEST_HEADERS_NOT_FORWARDED),
        body=body,
        arrived=arrived,
        deadline=arrived + _deadline_s(text_by_name.get(HEADER_DEADLINE)),
        ahead=raw.ahead,
    )


def encode_to_server(
    routed: RoutedRequest, instance: str, left_s: float
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to the backend server.

    ``left_s`` is the remaining time until the deadline, in seconds.
    """
    caller = routed.caller
    headers = [
        (b'host', caller.host),
        (HEADER_REQUEST_ID, caller.request_id),
        (HEADER_DEADLINE, str(int(left_s * MS_PER_S)).encode()),
        (HEADER_CALLER, routed.caller_service.encode()),
    ]
    if instance:
        headers.append((HEADER_EXPECTED, instance.encode()))
    if caller.key is not None:
        headers.append((HEADER_KEY, str(caller.key).encode()))
    headers.extend(caller.headers)
    if caller.body or caller.method not in {b'GET', b'HEAD', b'DELETE'}:
        length = str(len(caller.body)).encode()
        headers.append((b'content-length', length))
    return headers


def decode_reply(response: Response) -> ServerReply:
    """Decode the head of a backend server's response."""
    pairs = response.headers
    text_by_name = dict(pairs)
    instance = text_by_name.get(HEADER_INSTANCE, b'')
    not_run = (
        HEADER_NOT_RUN in text_by_name
        or response.status_code == STATUS_MISDIRECTED
    )
    connection = text_by_name.get(b'connection', b'').lower()
    return ServerReply(
        status=response.status_code,
        headers=_forwardable(pairs, RESPONSE_HEADERS_NOT_FORWARDED),
        request_id=text_by_name.get(HEADER_REQUEST_ID, b''),
        instance=instance.decode('ascii', 'replace'),
        is_not_run=not_run,
        load=_parse_load(text_by_name.get(HEADER_LOAD)),
        closes=b'close' in connection,
        idle_s=_parse_idle(text_by_name.get(b'keep-alive', b'')),
        notice=_decode_notice(response.status_code, pairs, text_by_name),
    )


def _decode_notice(
    status: int, pairs: Headers, text_by_name: dict[bytes, bytes]
) -> ServerNotice:
    notice = decode_indexed_notice(pairs, text_by_name)
    if status == STATUS_MISDIRECTED and not notice.instance:
        # It may be from another incarnation than the request was sent to.
        return ServerNotice()
    return notice


def answer_headers(request_id: bytes) -> Headers:
    """Return the headers that are set on every response to a caller."""
    return ((HEADER_REQUEST_ID, request_id),) if request_id else ()


def _forwardable(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    named: set[bytes] = set()
    for name, text in headers:
        if name == b'connection':
            named.update(word.strip().lower() for word in text.split(b','))
    return tuple(
        (name, text)
        for name, text in headers
        if name not in HOP_BY_HOP and name not in dropped and name not in named
    )


def _parse_key(text: bytes) -> int:
    is_number = text.isdigit() and len(text) <= MAX_DIGITS
    if not is_number or int(text) >= KEY_COUNT:
        raise MalformedRequestError(f'Invalid shard key {text[:MAX_DIGITS]!r}.')
    return int(text)


def _deadline_s(text: bytes | None) -> float:
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        left_ms = float(text)
    except ValueError as error:
        raise MalformedRequestError(f'Invalid deadline {text!r}.') from error
    if not math.isfinite(left_ms):
        raise MalformedRequestError(f'Invalid deadline {text!r}.')
    return max(0.0, left_ms / MS_PER_S)


def _parse_load(text: bytes | None) -> ServerLoad | None:
    if text is None:
        return None
    parts = [part.strip() for part in text.split(b',')]
    if not all(part.isdigit() and len(part) <= MAX_DIGITS for part in parts):
        return None
    numbers = [int(part) for part in parts]
    match numbers:
        case (running, waiting, slots):
            return ServerLoad(running, waiting, slots)
        case (running, waiting, slots, percent) if percent:
            return ServerLoad(running, waiting, slots, percent / PERCENT)
    return None


def _parse_idle(text: bytes) -> float | None:
    """Return the idle timeout of a ``Keep-Alive`` header, in seconds."""
    for part in text.split(b','):
        name, _, amount = part.strip().partition(b'=')
        is_number = amount.isdigit() and len(amount) <= MAX_DIGITS
        if name.lower() == b'timeout' and is_number:
            return float(amount)
    return None
