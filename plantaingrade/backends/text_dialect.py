"""Adapter to servers that report one line of text at ``/health``."""

import re
from http import HTTPStatus

from plantaingrade.backends.entity import (
    BackendState,
    FenceRefused,
    Ran,
    Report,
    ResponseKind,
    Shed,
)

LINE = re.compile(r'(OK|WARM|DRAIN|BUSY) load=(\d+)/(\d+)\s*')
STATE_BY_NAME = {
    'WARM': BackendState.STARTING,
    'OK': BackendState.READY,
    'DRAIN': BackendState.DRAINING,
    'BUSY': BackendState.OVERLOADED,
}


def read_report(body: bytes) -> Report:
    """Return the report in a line like ``OK load=3/6``.

    Raises:
        ValueError: the body is not such a line.
    """
    line = LINE.fullmatch(body.decode())
    if line is None:
        raise ValueError('malformed health line')
    name, in_flight, slots = line.groups()
    return Report(STATE_BY_NAME[name], int(in_flight), int(slots))


def classify_response(status: int, headers: dict[bytes, bytes]) -> ResponseKind:
    """Return whether an answer proves that the request did not run."""
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return Shed()
    if status == HTTPStatus.PRECONDITION_FAILED and b'fence' in headers:
        return FenceRefused()
    return Ran()
