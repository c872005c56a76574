"""Tests for decoding heartbeats and farewells, including malformed ones."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
    ReportedState,
    ServerIncarnation,
)
from plantaingrade.http.messages import Request
from plantaingrade.platform.reports import decode_report
from plantaingrade.platform.units import UnreadableFieldError
from tests.malformed import BAD_BODIES, mutated

START_TIME_MS = 1_700_000_000_000
VALID = {
    'service': 'cases',
    'address': '10.0.0.1:8145',
    'zone': 'a',
    'version': 'v1',
    'capacity': 6,
    'state': 'ready',
    'coldRemaining': '1500ms',
    'sequence': 4,
    'born': START_TIME_MS,
}
REQUIRED = ('service', 'address', 'capacity', 'state', 'coldRemaining')


def request(method: str, target: str) -> Request:
    return Request.build(method, target, [('host', 'h')])


def decode(fields: Any, target: str = '/v1/instances/i-1') -> Any:
    return decode_report(request('PUT', target), json.dumps(fields).encode())


def test_heartbeat_identifies_incarnation_by_id_and_start_time() -> None:
    assert decode(VALID) == Heartbeat(
        ServerIncarnation('i-1', START_TIME_MS),
        'cases',
        '10.0.0.1:8145',
        6,
        ReportedState.READY,
        1.5,
        4,
    )


def test_start_time_in_heartbeat_is_optional() -> None:
    fields = {name: VALID[name] for name in VALID if name != 'born'}
    assert decode(fields).incarnation == ServerIncarnation('i-1')


def test_start_time_in_farewell_is_optional() -> None:
    bare = decode_report(request('DELETE', '/v1/instances/i-1'), b'')
    assert bare == Farewell(ServerIncarnation('i-1'))
    body = json.dumps({'born': START_TIME_MS}).encode()
    with_start = decode_report(request('DELETE', '/v1/instances/i-1'), body)
    assert with_start == Farewell(ServerIncarnation('i-1', START_TIME_MS))


def test_other_requests_are_not_reports() -> None:
    assert decode_report(request('PUT', '/v1/other/i-1'), b'') is None
    assert decode_report(request('GET', '/v1/instances/i-1'), b'') is None


@pytest.mark.parametrize('name', [*REQUIRED, 'sequence'])
def test_heartbeat_with_a_missing_field_is_rejected(name: str) -> None:
    fields = {each: VALID[each] for each in VALID if each != name}
    with pytest.raises(UnreadableFieldError):
        decode(fields)


@pytest.mark.parametrize(
    ('name', 'wrong'),
    [
        ('service', None),
        ('service', ''),
        ('service', 7),
        ('service', 'x' * 300),
        ('address', ['10.0.0.1:8145']),
        ('address', '10.0.0.1:8145\r\n'),
        ('capacity', True),
        ('capacity', 0),
        ('capacity', -3),
        ('capacity', 1.5),
        ('capacity', '6'),
        ('capacity', 10**30),
        ('capacity', float('nan')),
        ('state', 'READY'),
        ('state', 'gone'),
        ('state', None),
        ('coldRemaining', 0),
        ('coldRemaining', 'nans'),
        ('coldRemaining', 'infs'),
        ('coldRemaining', '-5s'),
        ('coldRemaining', '9' * 400 + 's'),
        ('coldRemaining', '99999999s'),
        ('sequence', True),
        ('sequence', -1),
        ('sequence', 2.5),
        ('sequence', '4'),
        ('sequence', 10**30),
        ('born', None),
        ('born', True),
        ('born', 0),
        ('born', -START_TIME_MS),
        ('born', float(START_TIME_MS)),
        ('born', str(START_TIME_MS)),
        ('born', 10**30),
    ],
)
def test_heartbeat_with_an_invalid_field_is_rejected(
    name: str, wrong: Any
) -> None:
    """Another process sends heartbeats in the name of the server.

    A capacity of ``true`` must not count as one slot, nor ``nans`` as a time,
    which compares with nothing. The server would get work accordingly.
    """
    with pytest.raises(UnreadableFieldError):
        decode({**VALID, name: wrong})


@pytest.mark.parametrize(
    'target',
    [
        '/v1/instances/',
        '/v1/instances/%ff',
        '/v1/instances/%0d%0aX:1',
        '/v1/instances/i-1/more',
        '/v1/instances/i-1?x=1',
        '/v1/instances/%00',
        '/v1/instances/i%201',
        '/v1/instances/%C3%A9',
        f'/v1/instances/{"i" * 300}',
    ],
)
def test_path_with_an_invalid_id_is_rejected(target: str) -> None:
    """The instance id is sent as a header of each request to the server.

    An id with a line break would break all these requests.
    """
    with pytest.raises(UnreadableFieldError):
        decode(VALID, target)
    with pytest.raises(UnreadableFieldError):
        decode_report(request('DELETE', target), b'')


@pytest.mark.parametrize('body', BAD_BODIES)
def test_malformed_body_is_rejected(body: bytes) -> None:
    """A malformed body must end neither the task nor the process.

    Deeply nested JSON raises an exception of its own.
    """
    with pytest.raises(UnreadableFieldError):
        decode_report(request('PUT', '/v1/instances/i-1'), body)


@given(mutated(VALID))
def test_decoded_heartbeat_is_valid(fields: dict[str, Any]) -> None:
    try:
        report = decode(fields)
    except UnreadableFieldError:
        return
    assert report.slots.__class__ is int
    assert report.sequence.__class__ is int
    assert report.slots > 0
    assert report.sequence >= 0
    assert report.cold_s >= 0
    assert report.incarnation.born_ms.__class__ in {int, type(None)}


@given(st.binary(max_size=200), st.sampled_from(['PUT', 'DELETE']))
def test_random_body_is_decoded_or_rejected(body: bytes, method: str) -> None:
    try:
        decode_report(request(method, '/v1/instances/i-1'), body)
    except UnreadableFieldError:
        return


@given(st.text('%0123456789abcdefABCDEF/?#i-.', max_size=30))
def test_decoded_instance_id_is_safe(path: str) -> None:
    try:
        report = decode(VALID, f'/v1/instances/{path}')
    except UnreadableFieldError:
        return
    assert report.incarnation.instance.isascii()
    assert not set(report.incarnation.instance) & set('%/?#')
