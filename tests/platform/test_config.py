"""Tests for decoding the operator's configuration."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantaingrade.platform.config import decode_config
from plantaingrade.platform.units import (
    UnreadableFieldError,
    format_time,
    parse_time,
    parse_version,
)

ROUTE = {
    'host': 'ficu95.example',
    'prefix': '/pufi791/',
    'type': 'unsafe',
    'timeout': '600ms',
    'targetLatency': '250ms',
    'priority': 1,
    'service': 'huvo11a',
    'maxAttempts': 2,
}
SPLIT_ROUTE = {
    **ROUTE,
    'type': 'safe',
    'weightedServices': [
        {'service': 'huvo11a', 'weight': 90},
        {'service': 'wuno96b', 'weight': 10},
    ],
}


def make_config(**changes) -> dict:
    return {
        'version': 'r7',
        'routes': {'r-1': ROUTE, 'r-2': {**SPLIT_ROUTE, 'prefix': '/lohu930/'}},
        'services': {
            'huvo11a': {
                'healthCheckPath': '/healthz',
                'maxConnections': 110,
                'protocol': 'h1',
                'sharded': True,
            },
            'wuno96b': {'healthCheckPath': '/healthz'},
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
        'baseVersion': 'r5',
        **changes,
    }


def decode(fields: object):
    return decode_config(json.dumps(fields).encode())


def test_configuration_is_decoded() -> None:
    config = decode(make_config())
    assert config.version == 7
    once, split = config.routes
    assert not once.is_idempotent
    assert once.timeout_s == pytest.approx(0.6)
    assert once.objective_s == pytest.approx(0.25)
    assert once.max_servers == 2
    assert split.is_idempotent
    assert [share.weight for share in split.shares] == [90, 10]
    assert config.service_by_name['huvo11a'].is_keyed
    assert not config.service_by_name['wuno96b'].is_keyed
    assert config.limits.idle_timeout_s == pytest.approx(15)


@pytest.mark.parametrize(
    'broken',
    [
        make_config(version='7'),
        make_config(version=None),
        make_config(routes=[]),
        make_config(routes={'r-1': {**ROUTE, 'service': 'gone'}}),
        make_config(routes={'r-1': {**ROUTE, 'type': 7}}),
        make_config(routes={'r-1': {**ROUTE, 'type': None}}),
        make_config(routes={'r-1': {**ROUTE, 'timeout': 600}}),
        make_config(routes={'r-1': {**ROUTE, 'timeout': 'soon'}}),
        make_config(limits={}),
        make_config(services=None),
        [],
        'text',
        7,
    ],
)
def test_configuration_with_an_invalid_field_is_rejected(broken) -> None:
    with pytest.raises(UnreadableFieldError):
        decode(broken)


def test_uploads_are_not_idempotent() -> None:
    config = decode(make_config(routes={'r-1': {**ROUTE, 'type': 'upload'}}))
    assert not config.routes[0].is_idempotent
    assert not config.unknown_kind_by_route


def test_route_of_an_unknown_kind_is_never_repeated() -> None:
    """Guards against one unreadable kind taking all routes out of service."""
    odd = {**SPLIT_ROUTE, 'type': 'maybe'}
    config = decode(make_config(routes={'r-1': odd, 'r-2': SPLIT_ROUTE}))
    unknown, known = config.routes
    assert not unknown.is_idempotent
    assert known.is_idempotent
    assert config.unknown_kind_by_route == {'r-1': 'maybe'}


def test_truncated_configuration_is_rejected() -> None:
    body = json.dumps(make_config()).encode()
    for length in range(0, len(body), 37):
        with pytest.raises(UnreadableFieldError):
            decode_config(body[:length])


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected(body) -> None:
    with pytest.raises(UnreadableFieldError):
        decode_config(body)


def test_durations_and_versions() -> None:
    assert parse_time('1500ms') == pytest.approx(1.5)
    assert parse_time('2.5s') == pytest.approx(2.5)
    assert format_time(parse_time('870ms')) == '870ms'
    assert parse_version('r12') > parse_version('r9')
    for wrong in ('12', 'ms', '', None, 12, 'r', 'rx'):
        with pytest.raises(UnreadableFieldError):
            parse_time(wrong)
        with pytest.raises(UnreadableFieldError):
            parse_version(wrong)
