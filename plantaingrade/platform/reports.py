"""Decode the heartbeats that the backend server sends."""

import json
from urllib.parse import unquote

import h11

from plantaingrade.backends.report import Farewell, Heartbeat, ReportedState
from plantaingrade.platform.const import PATH_REPORTS
from plantaingrade.platform.units import UnreadableFieldError, parse_time

DEFAULT_SLOTS = 1
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def decode_report(raw: h11.Request, body: bytes) -> Heartbeat | Farewell | None:
    """Return the heartbeat or farewell in a request, if it is one.

    Raises:
        UnreadableFieldError: the heartbeat cannot be understood.
    """
    if not raw.target.startswith(PATH_REPORTS):
        return None
    instance = unquote(raw.target.removeprefix(PATH_REPORTS).decode())
    match raw.method:
        case b'PUT':
            return _decode_heartbeat(instance, body)
        case b'DELETE':
            return Farewell(instance)
    return None


def _decode_heartbeat(instance: str, body: bytes) -> Heartbeat:
    try:
        fields = json.loads(body)
        return Heartbeat(
            instance=instance,
            service=str(fields['service']),
            address=str(fields['address']),
            slots=int(fields.get('capacity', DEFAULT_SLOTS)),
            state=ReportedState(fields['state']),
            cold_s=parse_time(fields.get('coldRemaining', '0ms')),
            sequence=int(fields['sequence']),
        )
    except DECODE_ERRORS as error:
        raise UnreadableFieldError('Heartbeat not understood.') from error
