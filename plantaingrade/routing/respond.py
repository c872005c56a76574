"""Write the router's own answers."""

import json

from plantaingrade.http.channel import Channel
from plantaingrade.http.const import (
    HEADER_OUTCOME,
    HEADER_OWNER,
    HEADER_REASON,
    HEADER_RETRY_AFTER,
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_MISDIRECTED,
    STATUS_NOT_FOUND,
    STATUS_TIMEOUT,
    STATUS_TOO_LARGE,
    STATUS_UNAVAILABLE,
)
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Response,
    State,
)
from plantaingrade.metrics import outcome_name
from plantaingrade.outcome import (
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)

STATUS_BY_REASON = {
    NotRunReason.BAD_REQUEST: STATUS_BAD_REQUEST,
    NotRunReason.MISSING_KEY: STATUS_BAD_REQUEST,
    NotRunReason.UNKNOWN_SERVICE: STATUS_NOT_FOUND,
    NotRunReason.EXPIRED: STATUS_TIMEOUT,
    UnknownReason.TIMEOUT: STATUS_TIMEOUT,
    UnknownReason.BROKEN: STATUS_BAD_GATEWAY,
    UnknownReason.MISMATCH: STATUS_BAD_GATEWAY,
}
TYPE_JSON = (b'content-type', b'application/json')


def send_plain(
    channel: Channel,
    status: int,
    body: bytes,
    headers: tuple[tuple[bytes, bytes], ...] = (TYPE_JSON,),
) -> None:
    """Send a whole answer."""
    length = (b'content-length', str(len(body)).encode())
    channel.send(
        Response(status_code=status, headers=[length, *headers]),
    )
    channel.send(Data(body))
    channel.send(EndOfMessage())


def send_outcome(
    channel: Channel,
    outcome: NotRun | Unknown,
    *,
    to_peer: bool,
) -> None:
    """Tell a caller at once what became of a request that failed."""
    status = STATUS_BY_REASON.get(outcome.reason, STATUS_UNAVAILABLE)
    headers = [
        TYPE_JSON,
        (HEADER_OUTCOME, outcome_name(outcome).encode()),
        (HEADER_REASON, outcome.reason.value.encode()),
    ]
    if status >= STATUS_UNAVAILABLE - 1:
        after = str(outcome.retry_after_s).encode()
        headers.append((HEADER_RETRY_AFTER, after))
    if isinstance(outcome, NotRun) and outcome.owner_hint:
        headers.append((HEADER_OWNER, outcome.owner_hint.encode()))
        status = STATUS_MISDIRECTED if to_peer else status
    body = json.dumps(
        {
            'outcome': outcome_name(outcome),
            'reason': outcome.reason.value,
            'retry_after_s': outcome.retry_after_s,
        }
    )
    send_plain(channel, status, body.encode(), tuple(headers))


def refuse_malformed(channel: Channel, error: RemoteProtocolError) -> None:
    """Answer bytes that are no HTTP request, if an answer can be sent."""
    if channel.http.our_state is not State.IDLE:
        return
    too_large = error.status == STATUS_TOO_LARGE
    status = STATUS_TOO_LARGE if too_large else STATUS_BAD_REQUEST
    reason = NotRunReason.BAD_REQUEST.value
    body = json.dumps({'outcome': 'not-run', 'reason': reason}).encode()
    headers = (
        TYPE_JSON,
        (HEADER_OUTCOME, b'not-run'),
        (HEADER_REASON, reason.encode()),
        (b'connection', b'close'),
    )
    if not channel.closed:
        send_plain(channel, status, body, headers)
