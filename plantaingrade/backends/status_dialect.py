"""Adapter to servers that report JSON at ``/status``."""

import json
from http import HTTPStatus

from plantaingrade.backends.entity import (
    BackendState,
    FenceRefused,
    Ran,
    Report,
    Shed,
    Verdict,
)

STATE_BY_WORD = {
    'warming': BackendState.STARTING,
    'ready': BackendState.READY,
    'draining': BackendState.DRAINING,
    'overloaded': BackendState.OVERLOADED,
}
NOT_STARTED = b'x-not-started'


def read_report(body: bytes) -> Report:
    """Return the report in a body like ``{"state": "ready", ...}``.

    Raises:
        ValueError: the body is no such report.
    """
    try:
        fields = json.loads(body)
        return Report(
            STATE_BY_WORD[fields['state']],
            int(fields['in_flight']),
            int(fields['slots']),
        )
    except (KeyError, TypeError) as error:
        raise ValueError('not a status report') from error


def classify_response(status: int, headers: dict[bytes, bytes]) -> Verdict:
    """Tell whether an answer proves that the request was not run."""
    if headers.get(NOT_STARTED) == b'fence' and status == HTTPStatus.CONFLICT:
        return FenceRefused()
    if NOT_STARTED in headers and status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Shed()
    return Ran()
