"""Decoder for the heartbeats and farewells of the backend server."""

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

# Upper bounds far above what a server can have. A value beyond them was sent by
# mistake or by another sender.
MAX_SLOTS = 100_000
MAX_COLD_S = 86_400.0
# Instance ids are sent again in a header. So they must not contain characters
# with a meaning in headers, paths or logs.
INSTANCE = re.compile('[A-Za-z0-9._:~-]{1,128}', re.ASCII)
FIELD_START_TIME = 'born'
DECODE_ERRORS = (SchemaError, UnreadableFieldError, ValueError)


def decode_report(raw: Request, body: bytes) -> Heartbeat | Farewell | None:
    """Decode a heartbeat or farewell; return None for any other request.

    Raises:
        UnreadableFieldError: the path or the body is invalid.
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
        raise UnreadableFieldError('Invalid instance id in path.') from error
    if INSTANCE.fullmatch(instance) is None:
        raise UnreadableFieldError('Invalid instance id in path.')
    return instance


def _decode_heartbeat(instance: str, body: bytes) -> Heartbeat:
    try:
        return _read_heartbeat(instance, parse_object(body))
    except DECODE_ERRORS as error:
        raise UnreadableFieldError(f'Invalid heartbeat: {error}') from error


def _read_heartbeat(instance: str, fields: Fields) -> Heartbeat:
    cold_s = parse_time(fields.any_value('coldRemaining'))
    if cold_s > MAX_COLD_S:
        raise UnreadableFieldError('coldRemaining is above its maximum.')
    return Heartbeat(
        incarnation=_read_incarnation(instance, fields),
        service=fields.text('service'),
        address=fields.text('address'),
        slots=fields.integer('capacity', 1, MAX_SLOTS),
        state=ReportedState(fields.text('state')),
        cold_s=cold_s,
        sequence=fields.integer('sequence'),
    )


def _decode_farewell(instance: str, body: bytes) -> ServerIncarnation:
    """Return the incarnation that stops; the body of a farewell is optional."""
    if not body:
        return ServerIncarnation(instance)
    try:
        return _read_incarnation(instance, parse_object(body))
    except SchemaError as error:
        raise UnreadableFieldError(f'Invalid farewell: {error}') from error


def _read_incarnation(instance: str, fields: Fields) -> ServerIncarnation:
    if not fields.has(FIELD_START_TIME):
        return ServerIncarnation(instance)
    return ServerIncarnation(instance, fields.integer(FIELD_START_TIME, 1))
