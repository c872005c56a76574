"""Decode the heartbeats that the backend server sends."""

import re
from urllib.parse import unquote

from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
    ReportedState,
    ServerIncarnation,
)
from plantaingrade.http.messages import Request
from plantaingrade.platform.const import PATH_REPORTS
from plantaingrade.platform.units import UnreadableFieldError, parse_time
from plantaingrade.schema import Fields, SchemaError, parse_object

# Bounds far above what a server can have, so that what lies beyond them is
# certainly another's word.
MAX_SLOTS = 100_000
MAX_COLD_S = 86_400.0
# An id goes out again as a header, so it holds nothing that a header, a path
# or a log could take for something else.
INSTANCE = re.compile('[A-Za-z0-9._:~-]{1,128}', re.ASCII)
FIELD_BORN = 'born'
DECODE_ERRORS = (SchemaError, UnreadableFieldError, ValueError)


def decode_report(raw: Request, body: bytes) -> Heartbeat | Farewell | None:
    """Return the heartbeat or farewell in a request, if it is one.

    Raises:
        UnreadableFieldError: the heartbeat cannot be understood.
    """
    if not raw.target.startswith(PATH_REPORTS):
        return None
    match raw.method:
        case b'PUT':
            return _decode_heartbeat(_parse_instance(raw.target), body)
        case b'DELETE':
            instance = _parse_instance(raw.target)
            return Farewell(_decode_farewell(instance, body))
    return None


def _parse_instance(target: bytes) -> str:
    try:
        path = target.removeprefix(PATH_REPORTS).decode('ascii')
        instance = unquote(path, errors='strict')
    except ValueError as error:
        raise UnreadableFieldError('The path names no id.') from error
    if INSTANCE.fullmatch(instance) is None:
        raise UnreadableFieldError('The path names no id.')
    return instance


def _decode_heartbeat(instance: str, body: bytes) -> Heartbeat:
    try:
        return _read_heartbeat(instance, parse_object(body))
    except DECODE_ERRORS as error:
        raise UnreadableFieldError(
            f'Heartbeat not understood: {error}'
        ) from error


def _read_heartbeat(instance: str, fields: Fields) -> Heartbeat:
    cold_s = parse_time(fields.take('coldRemaining'))
    if cold_s > MAX_COLD_S:
        raise UnreadableFieldError('coldRemaining is out of bounds.')
    return Heartbeat(
        incarnation=_read_life(instance, fields),
        service=fields.text('service'),
        address=fields.text('address'),
        slots=fields.whole('capacity', 1, MAX_SLOTS),
        state=ReportedState(fields.text('state')),
        cold_s=cold_s,
        sequence=fields.whole('sequence'),
    )


def _decode_farewell(instance: str, body: bytes) -> ServerIncarnation:
    """Return the life that leaves; a farewell need not have a body."""
    if not body:
        return ServerIncarnation(instance)
    try:
        return _read_life(instance, parse_object(body))
    except SchemaError as error:
        raise UnreadableFieldError(
            f'Farewell not understood: {error}'
        ) from error


def _read_life(instance: str, fields: Fields) -> ServerIncarnation:
    if not fields.has(FIELD_BORN):
        return ServerIncarnation(instance)
    return ServerIncarnation(instance, fields.whole(FIELD_BORN, 1))
