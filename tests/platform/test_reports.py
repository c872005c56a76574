"""Heartbeats and farewells, from the server here and from strangers."""

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
from tests.strangers import BAD_BODIES, changed

BORN = 1_700_000_000_000
GOOD = {
    'service': 'cases',
    'address': '10.0.0.1:8145',
    'zone': 'a',
    'version': 'v1',
    'capacity': 6,
    'state': 'ready',
    'coldRemaining': '1500ms',
    'sequence': 4,
    'born': BORN,
}
NEEDED = ('service', 'address', 'capacity', 'state', 'coldRemaining')


def request(method: str, target: str) -> Request:
    return Request.build(method, target, [('host', 'h')])


def take(fields: Any, target: str = '/v1/instances/i-1') -> Any:
    return decode_report(request('PUT', target), json.dumps(fields).encode())


def test_a_heartbeat_tells_the_life_by_id_and_start() -> None:
    assert take(GOOD) == Heartbeat(
        ServerIncarnation('i-1', BORN),
        'cases',
        '10.0.0.1:8145',
        6,
        ReportedState.READY,
        1.5,
        4,
    )


def test_a_heartbeat_need_not_tell_the_start() -> None:
    fields = {name: GOOD[name] for name in GOOD if name != 'born'}
    assert take(fields).incarnation == ServerIncarnation('i-1')


def test_a_farewell_may_tell_the_start() -> None:
    bare = decode_report(request('DELETE', '/v1/instances/i-1'), b'')
    assert bare == Farewell(ServerIncarnation('i-1'))
    body = json.dumps({'born': BORN}).encode()
    told = decode_report(request('DELETE', '/v1/instances/i-1'), body)
    assert told == Farewell(ServerIncarnation('i-1', BORN))


def test_other_paths_are_no_reports() -> None:
    assert decode_report(request('PUT', '/v1/other/i-1'), b'') is None
    assert decode_report(request('GET', '/v1/instances/i-1'), b'') is None


@pytest.mark.parametrize('name', [*NEEDED, 'sequence'])
def test_a_heartbeat_without_a_field_is_not_taken(name: str) -> None:
    fields = {each: GOOD[each] for each in GOOD if each != name}
    with pytest.raises(UnreadableFieldError):
        take(fields)


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
        ('born', -BORN),
        ('born', float(BORN)),
        ('born', str(BORN)),
        ('born', 10**30),
    ],
)
def test_a_field_of_another_type_is_not_taken(name: str, wrong: Any) -> None:
    """Another writer's heartbeat came with the server's. Its capacity of
    ``true`` was taken for one slot, its ``nans`` for a time that compares with
    nothing, and the server was sent work by them.
    """
    with pytest.raises(UnreadableFieldError):
        take({**GOOD, name: wrong})


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
def test_a_path_that_names_no_id_is_not_taken(target: str) -> None:
    """An id goes out again as a header of each request to the server.

    One with a line break in it would have broken every request from there.
    """
    with pytest.raises(UnreadableFieldError):
        take(GOOD, target)
    with pytest.raises(UnreadableFieldError):
        decode_report(request('DELETE', target), b'')


@pytest.mark.parametrize('body', BAD_BODIES)
def test_bytes_that_are_no_heartbeat_are_not_taken(body: bytes) -> None:
    """Bytes that no heartbeat has end neither the task nor the process.

    A deep nesting ended in an exception that nothing expected.
    """
    with pytest.raises(UnreadableFieldError):
        decode_report(request('PUT', '/v1/instances/i-1'), body)


@given(changed(GOOD))
def test_no_fields_do_harm(fields: dict[str, Any]) -> None:
    try:
        report = take(fields)
    except UnreadableFieldError:
        return
    assert report.slots.__class__ is int
    assert report.sequence.__class__ is int
    assert report.slots > 0
    assert report.sequence >= 0
    assert report.cold_s >= 0
    assert report.incarnation.born_ms.__class__ in {int, type(None)}


@given(st.binary(max_size=200), st.sampled_from(['PUT', 'DELETE']))
def test_no_bytes_do_harm(body: bytes, method: str) -> None:
    try:
        decode_report(request(method, '/v1/instances/i-1'), body)
    except UnreadableFieldError:
        return


@given(st.text('%0123456789abcdefABCDEF/?#i-.', max_size=30))
def test_no_path_does_harm(path: str) -> None:
    try:
        report = take(GOOD, f'/v1/instances/{path}')
    except UnreadableFieldError:
        return
    assert report.incarnation.instance.isascii()
    assert not set(report.incarnation.instance) & set('%/?#')
