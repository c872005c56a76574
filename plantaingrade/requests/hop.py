"""Requests and answers between two processes, as small as HTTP allows.

Bytes between availability zones are the dearest thing a request uses, so
names are one letter long and figures share one header.
"""

from msgspec import Struct

from plantaingrade.balance.entity import Load
from plantaingrade.const import MS_PER_S, PERCENT
from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.messages import Request
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

NAME_ID = b'a'
NAME_FACTS = b'q'
NAME_OUTCOME = b'o'
NAME_RETRY_AFTER = b'r'
NAME_OWNER = b'w'
NAME_LOAD = b'l'
MARK_IDEMPOTENT = 'i'
MARK_ONCE = 'o'
MARK_NOT_RUN = 'n'
MARK_UNKNOWN = 'u'
NO_KEY = ''
FACT_COUNT = 10
LOAD_COUNT = 3
STATUS_FAILED = 503
OWN_NAMES = frozenset(
    (
        NAME_ID,
        NAME_FACTS,
        NAME_OUTCOME,
        NAME_RETRY_AFTER,
        NAME_OWNER,
        NAME_LOAD,
        b'host',
        b'content-length',
        b'transfer-encoding',
        b'connection',
    )
)


class MalformedHopError(PlantaingradeError):
    """Report a request of another process that is not understood."""

    advice = 'The other process runs another version.'


class KnownVersions(Struct, frozen=True):
    """Versions that the sender of a request goes by.

    A receiver that is behind learns so from any request that reaches it.
    """

    config: int
    key_map: int


def encode_hop(
    routed: RoutedRequest, known: KnownVersions, now: float
) -> Headers:
    """Return the headers of a request to another process.

    Times travel as milliseconds left, since clocks of instances differ.
    """
    caller = routed.caller
    facts = ','.join(
        (
            str(_ms(caller.deadline - now)),
            str(_ms(routed.until - now)),
            str(_ms(routed.due - now)),
            str(routed.priority),
            MARK_IDEMPOTENT if routed.is_idempotent else MARK_ONCE,
            NO_KEY if caller.key is None else str(caller.key),
            routed.service,
            routed.caller_service,
            str(known.config),
            str(known.key_map),
        )
    )
    headers = [
        (b'host', caller.host),
        (NAME_ID, caller.request_id),
        (NAME_FACTS, facts.encode()),
        *caller.headers,
    ]
    if caller.body:
        length = str(len(caller.body)).encode()
        headers.append((b'content-length', length))
    return tuple(headers)


def decode_hop(
    raw: Request, body: bytes, now: float
) -> tuple[RoutedRequest, KnownVersions]:
    """Return the request that another process sent, and what it went by.

    Raises:
        MalformedHopError: the facts of the request are not understood.
    """
    pairs = raw.headers
    text_by_name = dict(pairs)
    facts = text_by_name.get(NAME_FACTS, b'').decode('ascii', 'replace')
    parts = facts.split(',')
    if len(parts) != FACT_COUNT:
        raise MalformedHopError('Request of a process not understood.')
    try:
        left_s, until_s, due_s = (int(part) / MS_PER_S for part in parts[:3])
        priority = int(parts[3])
        key = int(parts[5]) if parts[5] else None
        known = KnownVersions(int(parts[8]), int(parts[9]))
    except ValueError as error:
        raise MalformedHopError('Request of a process has no times.') from error
    caller = CallerRequest(
        request_id=text_by_name.get(NAME_ID, b''),
        method=raw.method,
        target=raw.target,
        host=text_by_name.get(b'host', b''),
        key=key,
        headers=_others(pairs),
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


def encode_load(load: Load) -> tuple[bytes, bytes]:
    """Return the header that tells the load of the process that answers."""
    share = int(load.share * PERCENT)
    return NAME_LOAD, f'{share},{_ms(load.work_s)},{load.slots}'.encode()


def decode_load(headers: Headers) -> Load | None:
    """Return the load that an answer tells, if it does."""
    text = dict(headers).get(NAME_LOAD)
    if text is None:
        return None
    try:
        share, work_ms, slots = (int(part) for part in text.split(b','))
    except ValueError:
        return None
    return Load(share / PERCENT, work_ms / MS_PER_S, slots)


def encode_outcome(outcome: Outcome) -> Answer:
    """Return what one process answers another."""
    match outcome:
        case Answered(answer):
            return answer
        case NotRun(reason, retry_after_s, owner, map_version):
            headers = [
                (NAME_OUTCOME, f'{MARK_NOT_RUN}{reason.value}'.encode()),
                (NAME_RETRY_AFTER, str(_ms(retry_after_s)).encode()),
            ]
            if owner:
                told = f'{map_version},{owner}'
                headers.append((NAME_OWNER, told.encode()))
            return Answer(STATUS_FAILED, tuple(headers), b'')
        case Unknown(reason):
            mark = f'{MARK_UNKNOWN}{reason.value}'.encode()
            return Answer(STATUS_FAILED, ((NAME_OUTCOME, mark),), b'')


def decode_outcome(answer: Answer) -> Outcome:
    """Return the outcome that another process answered."""
    text_by_name = dict(answer.headers)
    mark = text_by_name.get(NAME_OUTCOME, b'').decode('ascii', 'replace')
    if not mark:
        return Answered(
            Answer(answer.status, _others(answer.headers), answer.body)
        )
    reason = mark[1:]
    if not mark.startswith(MARK_NOT_RUN):
        return Unknown(_unknown_reason(reason))
    after = text_by_name.get(NAME_RETRY_AFTER, b'0')
    told = text_by_name.get(NAME_OWNER, b'').decode('ascii', 'replace')
    version, _, owner = told.partition(',')
    return NotRun(
        _not_run_reason(reason),
        int(after) / MS_PER_S if after.isdigit() else 0.0,
        owner,
        int(version) if version.isdigit() else 0,
    )


def _others(headers: Headers) -> Headers:
    return tuple(
        (name, text) for name, text in headers if name not in OWN_NAMES
    )


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
