"""Tests for the headers of callers and backend servers."""

import pytest

from plantaingrade.http.messages import Request, Response
from plantaingrade.platform.headers import (
    decode_reply,
    decode_request,
    encode_to_server,
)
from plantaingrade.platform.reports import decode_report
from plantaingrade.platform.units import UnreadableFieldError
from plantaingrade.requests.entity import RoutedRequest
from plantaingrade.requests.errors import MalformedRequestError


def request(*headers: tuple[str, str], method: str = 'GET') -> Request:
    every = [('host', 'x.example'), *headers]
    return Request.build(method, '/a/b?c=1', every)


def routed(raw: Request, body: bytes = b'') -> RoutedRequest:
    caller = decode_request(raw, body, 100.0)
    return RoutedRequest(caller, 'mine', 'cases', True, 1, 100.4, 100.2)


def test_request_is_decoded() -> None:
    raw = request(
        ('attempt-id', 'id1'),
        ('deadline-ms', '500'),
        ('shard-key', '4711'),
        ('cookie', 'a=b'),
        ('connection', 'close, x-own'),
        ('x-own', '1'),
        ('caller-service', 'forged'),
        ('expect-instance', 'forged'),
    )
    caller = decode_request(raw, b'', 100.0)
    assert caller.request_id == b'id1'
    assert caller.key == 4711
    assert caller.deadline == pytest.approx(100.5)
    assert caller.headers == ((b'cookie', b'a=b'),)


@pytest.mark.parametrize('key', ['-1', '65536', 'x', '', '9' * 5000])
def test_invalid_key_is_rejected(key) -> None:
    with pytest.raises(MalformedRequestError):
        decode_request(request(('shard-key', key)), b'', 0.0)


@pytest.mark.parametrize('deadline', ['nan', 'inf', '-inf', 'soon', ''])
def test_invalid_deadline_is_rejected(deadline: str) -> None:
    """A deadline of ``inf`` raises an exception when it is encoded for the
    server, and ``nan`` does not compare with any time.
    """
    with pytest.raises(MalformedRequestError):
        decode_request(request(('deadline-ms', deadline)), b'', 0.0)


def test_headers_to_the_server_are_set_by_this_process() -> None:
    raw = request(
        ('attempt-id', 'id1'),
        ('deadline-ms', '500'),
        ('shard-key', '4711'),
        ('caller-service', 'forged'),
        method='POST',
    )
    headers = dict(encode_to_server(routed(raw, b'body'), 'i-7', 0.3215))
    assert headers[b'attempt-id'] == b'id1'
    assert headers[b'deadline-ms'] == b'321'
    assert headers[b'caller-service'] == b'mine'
    assert headers[b'expect-instance'] == b'i-7'
    assert headers[b'shard-key'] == b'4711'
    assert headers[b'content-length'] == b'4'


def test_response_is_decoded() -> None:
    response = Response.build(
        200,
        [
            ('Attempt-Id', 'id1'),
            ('Server-Stamp', '6.14'),
            ('Server-Load', '3,1,6'),
            ('Instance-Id', 'i-7'),
            ('Connection', 'close'),
            ('Keep-Alive', 'timeout=8'),
            ('Content-Type', 'text/plain'),
        ],
    )
    reply = decode_reply(response)
    assert reply.request_id == b'id1'
    assert reply.instance == 'i-7'
    assert reply.load.running == 3
    assert reply.closes
    assert reply.idle_s == pytest.approx(8)
    assert not reply.is_not_run
    assert dict(reply.headers) == {
        b'server-stamp': b'6.14',
        b'content-type': b'text/plain',
    }


def test_only_an_explicit_response_says_that_nothing_ran() -> None:
    plain = Response.build(503, [])
    marked = Response.build(503, [('Not-Executed', '1')])
    misdirected = Response.build(421, [])
    assert not decode_reply(plain).is_not_run
    assert decode_reply(marked).is_not_run
    assert decode_reply(misdirected).is_not_run


@pytest.mark.parametrize(
    'load',
    ['x,1', '1,2', '1,2,3,4,5', '1,2,3,0', '-1,0,8', '1_0,0,8', '9' * 5000, ''],
)
def test_malformed_load_is_ignored(load: str) -> None:
    response = Response.build(200, [('Server-Load', load)])
    assert decode_reply(response).load is None


def test_load_may_include_the_current_pace() -> None:
    """A server that shares its machine reports its pace as a fourth number.

    The other three numbers must not be ignored because of it.
    """
    headers = [('Server-Load', '3,1,8,250')]
    load = decode_reply(Response.build(200, headers)).load
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
    assert load.pace == pytest.approx(2.5)


@pytest.mark.parametrize(
    'body',
    [b'', b'{', b'[]', b'{"service":"s"}', b'{"state":"asleep"}', b'\xff'],
)
def test_malformed_heartbeat_is_rejected(body) -> None:
    raw = Request.build('PUT', '/v1/instances/i-1', [('host', 'x')])
    with pytest.raises(UnreadableFieldError):
        decode_report(raw, body)
