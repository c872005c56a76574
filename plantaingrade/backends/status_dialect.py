"""Adapter to servers that report JSON at ``/status``."""

import json
from http import HTTPStatus

from plantaingrade.backends.entity import (
    BackendState,
    FenceRefused,
    Ran,
    Report,
    ResponseKind,
    Shed,
)

STATE_BY_NAME = {
    'warming': BackendState.STARTING,
    'ready': BackendState.READY,
    'draining': BackendState.DRAINING,
    'overloaded': BackendState.OVERLOADED,
}
NOT_STARTED = b'x-not-started'


def read_report(body: bytes) -> Report:
    """Return the report in a body like ``{"state": "ready", ...}``.

    Raises:
        ValueError: the body is not such a report.
    """
    try:
        fields = json.loads(body)
        return Report(
            STATE_BY_NAME[fields['state']],
            int(fields['in_flight']),
            int(fields['slots']),
        )
    except (KeyError, TypeError) as error:
        raise ValueError('malformed status report') from error


def classify_response(status: int, headers: dict[bytes, bytes]) -> ResponseKind:
    """Return whether an answer proves that the request did not run."""
    if headers.get(NOT_STARTED) == b'fence' and status == HTTPStatus.CONFLICT:
        return FenceRefused()
    if NOT_STARTED in headers and status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Shed()
    return Ran()
