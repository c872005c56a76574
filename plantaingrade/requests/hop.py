"""Encode requests and responses between two processes compactly in HTTP.

Traffic between availability zones is the most expensive resource that a
request uses, so header names have one letter and values share one header.
"""

from msgspec import Struct

from plantaingrade.backends.report import ServerIncarnation
from plantaingrade.balance.entity import Load
from plantaingrade.const import MS_PER_S, PERCENT
from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.messages import Request
from plantaingrade.requests.body_turns import needs_body_turn
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    Headers,
    NotRun,
    NotRunReason,
    Outcome,
    RoutedRequest,
    Unknown,
    UnknownReason,
)

HEADER_ID = b'a'
HEADER_FIELDS = b'q'
HEADER_OUTCOME = b'o'
HEADER_RETRY_AFTER = b'r'
HEADER_OWNER = b'w'
HEADER_LOAD = b'l'
HEADER_LEAVING = b'x'
# The sender waits with the body until it is told to send it.
HEADER_BODY_TURN = b't'
MARK_IDEMPOTENT = 'i'
MARK_NON_IDEMPOTENT = 'o'
MARK_NOT_RUN = 'n'
MARK_UNKNOWN = 'u'
NO_KEY = ''
FIELD_COUNT = 10
# Digits of a Unix time in milliseconds, with a margin.
MAX_BORN_DIGITS = 18
LOAD_COUNT = 3
STATUS_FAILED = 503
OWN_HEADERS = frozenset(
    (
        HEADER_ID,
        HEADER_FIELDS,
        HEADER_OUTCOME,
        HEADER_RETRY_AFTER,
        HEADER_OWNER,
        HEADER_LOAD,
        HEADER_LEAVING,
        HEADER_BODY_TURN,
    )
)
HOP_HEADERS = OWN_HEADERS | {
    b'host',
    b'content-length',
    b'transfer-encoding',
    b'connection',
}
# Prefix of a caller's or server's header that is named like one of these
# processes, which would take it for their own.
FOREIGN_PREFIX = b'_'


class MalformedHopError(PlantaingradeError):
    """A request of another process is malformed."""

    advice = 'Check whether the other process runs another version.'


class KnownVersions(Struct, frozen=True):
    """Versions of configuration and key map that a sender uses.

    A receiver with older versions learns from any request that there are newer
    ones.
    """

    config: int
    key_map: int


def encode_hop(
    routed: RoutedRequest, known: KnownVersions, now: float
) -> Headers:
    """Return the headers of a request to another process.

    Times are sent as remaining milliseconds, since the clocks of instances
    differ.
    """
    caller = routed.caller
    fields = ','.join(
        (
            str(_ms(caller.deadline - now)),
            str(_ms(routed.until - now)),
            str(_ms(routed.due - now)),
            str(routed.priority),
            MARK_IDEMPOTENT if routed.is_idempotent else MARK_NON_IDEMPOTENT,
            NO_KEY if caller.key is None else str(caller.key),
            routed.service,
            routed.caller_service,
            str(known.config),
            str(known.key_map),
        )
    )
    headers = [
        (b'host', caller.host),
        (HEADER_ID, caller.request_id),
        (HEADER_FIELDS, fields.encode()),
        *_mark_foreign(caller.headers),
    ]
    if caller.body:
        length = str(len(caller.body)).encode()
        headers.append((b'content-length', length))
    if needs_body_turn(len(caller.body)):
        headers.append((HEADER_BODY_TURN, b''))
    return tuple(headers)


def decode_hop(
    raw: Request, body: bytes, now: float
) -> tuple[RoutedRequest, KnownVersions]:
    """Return the request that another process sent, and the sender's versions.

    Raises:
        MalformedHopError: the header with the request's fields is malformed.
    """
    pairs = raw.headers
    text_by_name = dict(pairs)
    fields = text_by_name.get(HEADER_FIELDS, b'').decode('ascii', 'replace')
    parts = fields.split(',')
    if len(parts) != FIELD_COUNT:
        raise MalformedHopError('Wrong number of request fields.')
    try:
        left_s, until_s, due_s = (int(part) / MS_PER_S for part in parts[:3])
        priority = int(parts[3])
        key = int(parts[5]) if parts[5] else None
        known = KnownVersions(int(parts[8]), int(parts[9]))
    except ValueError as error:
        raise MalformedHopError('Request field is not a number.') from error
    caller = CallerRequest(
        request_id=text_by_name.get(HEADER_ID, b''),
        method=raw.method,
        target=raw.target,
        host=text_by_name.get(b'host', b''),
        key=key,
        headers=_end_to_end_headers(pairs),
        body=body,
        arrived=now,
        deadline=now + left_s,
    )
    routed = RoutedRequest(
        caller=caller,
        caller_service=parts[7],
        service=parts[6],
        is_idempotent=parts[4] == MARK_IDEMPOTENT,
        priority=priority,
        until=now + until_s,
        due=now + due_s,
    )
    return routed, known


def is_hop(headers: Headers) -> bool:
    """Return whether a request was sent on for a caller.

    The target can't tell, since it is the caller's. Every hop has the fields,
    and a caller's header of that name is renamed.
    """
    return any(name == HEADER_FIELDS for name, _ in headers)


def wants_body_turn(headers: Headers) -> bool:
    """Return whether the sender waits with the body until its turn."""
    return any(name == HEADER_BODY_TURN for name, _ in headers)


def encode_leaving(incarnation: ServerIncarnation | None) -> Headers:
    """Return the header that names an incarnation of a server as leaving.

    A process adds it to its answers while its server leaves, and the others to
    the requests that they send to that process afterwards.
    """
    if incarnation is None:
        return ()
    born = '' if incarnation.born_ms is None else incarnation.born_ms
    text = f'{born},{incarnation.instance}'
    return ((HEADER_LEAVING, text.encode('ascii', 'replace')),)


def decode_leaving(headers: Headers) -> ServerIncarnation | None:
    """Return the incarnation that is named as leaving, if any."""
    text = dict(headers).get(HEADER_LEAVING, b'').decode('ascii', 'replace')
    born, _, instance = text.partition(',')
    if not instance:
        return None
    is_number = born.isdecimal() and len(born) <= MAX_BORN_DIGITS
    return ServerIncarnation(instance, int(born) if is_number else None)


def encode_load(load: Load) -> tuple[bytes, bytes]:
    """Return the header that reports the load of the responding process."""
    share = int(load.share * PERCENT)
    return HEADER_LOAD, f'{share},{_ms(load.work_s)},{load.slots}'.encode()


def decode_load(headers: Headers) -> Load | None:
    """Return the load reported in a response, or None without a valid one."""
    text = dict(headers).get(HEADER_LOAD)
    if text is None:
        return None
    try:
        share, work_ms, slots = (int(part) for part in text.split(b','))
    except ValueError:
        return None
    return Load(share / PERCENT, work_ms / MS_PER_S, slots)


def encode_outcome(outcome: Outcome) -> Answer:
    """Return the response to another process for an outcome."""
    match outcome:
        case Answered(answer):
            headers = _mark_foreign(answer.headers)
            return Answer(answer.status, headers, answer.body)
        case NotRun(reason, retry_after_s, owner, map_version):
            headers = [
                (HEADER_OUTCOME, f'{MARK_NOT_RUN}{reason.value}'.encode()),
                (HEADER_RETRY_AFTER, str(_ms(retry_after_s)).encode()),
            ]
            if owner:
                owner_text = f'{map_version},{owner}'
                headers.append((HEADER_OWNER, owner_text.encode()))
            return Answer(STATUS_FAILED, tuple(headers), b'')
        case Unknown(reason):
            mark = f'{MARK_UNKNOWN}{reason.value}'.encode()
            return Answer(STATUS_FAILED, ((HEADER_OUTCOME, mark),), b'')


def decode_outcome(answer: Answer) -> Outcome:
    """Return the outcome that a response of another process reports."""
    text_by_name = dict(answer.headers)
    mark = text_by_name.get(HEADER_OUTCOME, b'').decode('ascii', 'replace')
    if not mark:
        return Answered(
            Answer(
                answer.status, _end_to_end_headers(answer.headers), answer.body
            )
        )
    reason = mark[1:]
    if not mark.startswith(MARK_NOT_RUN):
        return Unknown(_unknown_reason(reason))
    after = text_by_name.get(HEADER_RETRY_AFTER, b'0')
    owner_text = text_by_name.get(HEADER_OWNER, b'').decode('ascii', 'replace')
    version, _, owner = owner_text.partition(',')
    return NotRun(
        _not_run_reason(reason),
        int(after) / MS_PER_S if after.isdigit() else 0.0,
        owner,
        int(version) if version.isdigit() else 0,
    )


def _end_to_end_headers(headers: Headers) -> Headers:
    return tuple(
        (_unmarked(name) if name[:1] == FOREIGN_PREFIX else name, text)
        for name, text in headers
        if name not in HOP_HEADERS
    )


def _mark_foreign(headers: Headers) -> Headers:
    candidates = [
        name
        for name, _ in headers
        if name in OWN_HEADERS or name[:1] == FOREIGN_PREFIX
    ]
    if not candidates:
        return headers
    return tuple(
        (FOREIGN_PREFIX + name if _is_ambiguous(name) else name, text)
        for name, text in headers
    )


def _unmarked(name: bytes) -> bytes:
    return name.removeprefix(FOREIGN_PREFIX) if _is_ambiguous(name) else name


def _is_ambiguous(name: bytes) -> bool:
    return name.lstrip(FOREIGN_PREFIX) in OWN_HEADERS


def _ms(seconds: float) -> int:
    return max(0, round(seconds * MS_PER_S))


def _not_run_reason(text: str) -> NotRunReason:
    try:
        return NotRunReason(text)
    except ValueError:
        return NotRunReason.SERVER_REFUSED


def _unknown_reason(text: str) -> UnknownReason:
    try:
        return UnknownReason(text)
    except ValueError:
        return UnknownReason.PEER_BROKEN
