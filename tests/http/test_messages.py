"""Tests for parsing and writing messages, with h11 as the reference."""

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantaingrade.http.connection import NEED_DATA, PAUSED, Connection
from plantaingrade.http.messages import (
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
    Role,
    State,
)

MAX_HEAD = 16_384
TOKENS = st.text('abcxyz-', min_size=1, max_size=12).map('x{}'.format)
TEXTS = st.text(
    st.characters(min_codepoint=0x21, max_codepoint=0x7E), max_size=30
)
BODIES = st.binary(max_size=400)
PIECE_SIZES = st.lists(st.integers(1, 60), min_size=1, max_size=30)
ATTACKS = {
    'both framings': b'content-length: 5\r\ntransfer-encoding: chunked\r\n',
    'two lengths': b'content-length: 5\r\ncontent-length: 6\r\n',
    'signed length': b'content-length: +5\r\n',
    'hex length': b'content-length: 0x5\r\n',
    'list of lengths': b'content-length: 5, 6\r\n',
    'space before colon': b'content-length : 5\r\n',
    'another coding': b'transfer-encoding: gzip\r\n',
    'coding after chunked': b'transfer-encoding: chunked, identity\r\n',
    'two codings': b'transfer-encoding: chunked\r\ntransfer-encoding: x\r\n',
    'folded': b'a: b\r\n c\r\n',
    'no colon': b'header\r\n',
    'null in a text': b'a: b\0c\r\n',
    'second host': b'host: y\r\n',
    'no name': b': b\r\n',
    'return in a text': b'a: b\rc: d\r\n',
}


def read(connection: Connection) -> list:
    """Return all parts available."""
    parts = []
    while True:
        part = connection.next_event()
        if part in (NEED_DATA, PAUSED):
            return parts
        parts.append(part)
        if isinstance(part, ConnectionClosed):
            return parts


def join_parts(parts: list) -> tuple:
    """Return the head and body, and whether the message is complete."""
    body = b''.join(part.data for part in parts if isinstance(part, Data))
    return parts[0], body, isinstance(parts[-1], EndOfMessage)


def feed(connection: Connection, raw: bytes, sizes: list[int]) -> list:
    """Return the parts parsed while the bytes arrive in pieces."""
    parts = []
    at = 0
    while at < len(raw):
        step = sizes[len(parts) % len(sizes)]
        connection.receive(raw[at : at + step])
        at += step
        parts.extend(read(connection))
    return parts


def server() -> Connection:
    return Connection(Role.SERVER, MAX_HEAD)


def client(method: bytes = b'GET') -> Connection:
    connection = Connection(Role.CLIENT, MAX_HEAD)
    connection.send(Request(method, b'/', ((b'host', b'x'),)))
    connection.send(EndOfMessage())
    return connection


@settings(deadline=None, max_examples=150)
@given(
    st.sampled_from(['GET', 'POST', 'PUT', 'DELETE']),
    st.lists(st.tuples(TOKENS, TEXTS), max_size=6),
    st.lists(BODIES, max_size=3),
    st.booleans(),
    PIECE_SIZES,
)
def test_requests_written_by_reference_are_parsed(
    method, headers, chunks, is_chunked, sizes
) -> None:
    """Head and body must be complete however a request is framed and split."""
    writer = h11.Connection(h11.CLIENT)
    framing = (
        ('transfer-encoding', 'chunked')
        if is_chunked
        else ('content-length', str(sum(map(len, chunks))))
    )
    sent = h11.Request(
        method=method,
        target='/a/b?c=1',
        headers=[('host', 'x.example'), *headers, framing],
    )
    parts = (sent, *(h11.Data(data=chunk) for chunk in chunks))
    raw = b''.join(map(writer.send, (*parts, h11.EndOfMessage())))
    head, body, is_complete = join_parts(feed(server(), raw, sizes))
    assert head.method == sent.method
    assert head.target == sent.target
    assert head.headers == tuple((name, text) for name, text in sent.headers)
    assert body == b''.join(chunks)
    assert is_complete


@settings(deadline=None, max_examples=150)
@given(
    st.sampled_from([200, 204, 304, 400, 503]),
    st.lists(st.tuples(TOKENS, TEXTS), max_size=6),
    BODIES,
    st.booleans(),
    PIECE_SIZES,
)
def test_written_responses_are_parsed_by_reference(
    status, headers, body, has_length, sizes
) -> None:
    """A response with or without a length must be parsed back unchanged."""
    body = b'' if status in {204, 304} else body
    writer = server()
    writer.receive(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    read(writer)
    length = [('content-length', str(len(body)))] if has_length else []
    raw = writer.send(Response.build(status, [*headers, *length]))
    raw += writer.send(Data(body)) + writer.send(EndOfMessage())
    reader = h11.Connection(h11.CLIENT)
    reader.send(h11.Request(method='GET', target='/', headers=[('host', 'x')]))
    reader.send(h11.EndOfMessage())
    reader.receive_data(raw)
    head = reader.next_event()
    assert head.status_code == status
    found = b''
    event = reader.next_event()
    while isinstance(event, h11.Data):
        found += bytes(event.data)
        event = reader.next_event()
    assert isinstance(event, h11.EndOfMessage)
    assert found == body
    own = client()
    head, found, is_complete = join_parts(feed(own, raw, sizes))
    assert (head.status_code, found, is_complete) == (status, body, True)


@settings(deadline=None, max_examples=300)
@given(st.binary(max_size=200), PIECE_SIZES)
def test_random_bytes_raise_only_protocol_errors(raw, sizes) -> None:
    for connection in (server(), client()):
        try:
            feed(connection, raw, sizes)
        except RemoteProtocolError:
            continue


@pytest.mark.parametrize('lines', ATTACKS.values(), ids=ATTACKS.keys())
@pytest.mark.parametrize('sizes', [[10_000], [1], [7]])
def test_ambiguous_request_is_rejected(lines, sizes) -> None:
    """A caller hides a second request in the body of its first (smuggling).

    A server that finds another end of the first request than this process
    would run the second one as if this process had sent it.
    """
    raw = b'POST /a HTTP/1.1\r\nhost: x\r\n%b\r\n' % lines
    raw += b'5\r\nGET /hidden HTTP/1.1\r\nhost: x\r\n\r\n'
    with pytest.raises(RemoteProtocolError):
        feed(server(), raw, sizes)


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET /a b HTTP/1.1\r\nhost: x\r\n\r\n', 400),
        (b'GET / HTTP/2.0\r\nhost: x\r\n\r\n', 505),
        (b'GET / HTTP/1.1\r\n\r\n', 400),
        (b'GET /\xff HTTP/1.1\r\nhost: x\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nhost: x\r\na: ' + b'y' * 2 * MAX_HEAD, 431),
        (b'GET /' + b'y' * 2 * MAX_HEAD, 431),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip\r\n\r\n',
            501,
        ),
    ],
)
def test_invalid_request_has_a_status_code(raw, status) -> None:
    with pytest.raises(RemoteProtocolError) as caught:
        feed(server(), raw, [1000])
    assert caught.value.status == status


def test_chunk_of_wrong_size_is_rejected() -> None:
    head = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
    with pytest.raises(RemoteProtocolError):
        feed(server(), head + b'2\r\nabc\r\n0\r\n\r\n', [1000])


def test_trailers_are_not_added_to_headers() -> None:
    head = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
    parts = feed(server(), head + b'1\r\na\r\n0\r\nhost: evil\r\n\r\n', [1000])
    head, body, is_complete = join_parts(parts)
    assert (b'host', b'evil') not in head.headers
    assert (body, is_complete) == (b'a', True)


def test_second_request_waits_for_the_first_response() -> None:
    connection = server()
    one = b'GET /1 HTTP/1.1\r\nhost: x\r\n\r\n'
    connection.receive(one + one.replace(b'GET /1', b'GET /2'))
    assert [type(part) for part in read(connection)] == [Request, EndOfMessage]
    assert connection.has_unread
    connection.send(Response.build(200, [('content-length', '0')]))
    connection.send(EndOfMessage())
    connection.start_next_cycle()
    assert read(connection)[0].target == b'/2'


@pytest.mark.parametrize(
    'raw',
    [
        b'GET / HTTP/1.0\r\nhost: x\r\n\r\n',
        b'GET / HTTP/1.0\r\nhost: x\r\nconnection: keep-alive\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n'
        b'upgrade: other\r\n\r\nbytes of another protocol',
    ],
)
def test_last_response_announces_close(raw) -> None:
    connection = server()
    connection.receive(raw)
    read(connection)
    answer = connection.send(Response.build(200, [('content-length', '0')]))
    connection.send(EndOfMessage())
    assert b'connection: close\r\n' in answer
    with pytest.raises(LocalProtocolError):
        connection.start_next_cycle()


def test_http10_response_without_length_ends_at_close() -> None:
    connection = server()
    connection.receive(b'GET / HTTP/1.0\r\nhost: x\r\n\r\n')
    read(connection)
    answer = connection.send(Response.build(200, []))
    assert b'chunked' not in answer
    assert connection.send(Data(b'all')) == b'all'
    connection.send(EndOfMessage())
    assert connection.our_state is State.CLOSING


def test_expect_continue_is_detected() -> None:
    connection = server()
    connection.receive(
        b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n'
        b'expect: 100-continue\r\n\r\n'
    )
    assert isinstance(connection.next_event(), Request)
    assert connection.awaits_continue
    raw = connection.send(InformationalResponse(100))
    assert raw == b'HTTP/1.1 100 Continue\r\n\r\n'
    assert not connection.awaits_continue
    connection.receive(b'ab')
    assert join_parts([Request(b'', b'', ()), *read(connection)])[1:] == (
        b'ab',
        True,
    )


def test_response_to_head_has_no_body() -> None:
    connection = client(b'HEAD')
    connection.receive(b'HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n')
    head, body, is_complete = join_parts(read(connection))
    assert (head.status_code, body, is_complete) == (200, b'', True)


def test_informational_response_is_followed_by_the_final_one() -> None:
    connection = client()
    connection.receive(
        b'HTTP/1.1 100 Continue\r\n\r\n'
        b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na'
    )
    parts = read(connection)
    assert isinstance(parts[0], InformationalResponse)
    assert join_parts(parts[1:])[1:] == (b'a', True)
    connection.start_next_cycle()
    assert not connection.has_unread


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'HTTP/1.1 200 OK\r\ncontent-le',
        b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\na',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n',
    ],
)
def test_incomplete_response_is_an_error(raw) -> None:
    connection = client()
    connection.receive(raw or b'\r\n')
    connection.receive(b'')
    with pytest.raises(RemoteProtocolError):
        read(connection)


def test_response_without_length_ends_at_close() -> None:
    connection = client()
    connection.receive(b'HTTP/1.1 200 OK\r\n\r\nhalf')
    assert not join_parts(read(connection))[2]
    connection.receive(b'')
    assert isinstance(read(connection)[0], EndOfMessage)
    with pytest.raises(LocalProtocolError):
        connection.start_next_cycle()


@pytest.mark.parametrize('extra', [b'x', b'HTTP/1.1 200 OK\r\n\r\n', b'\0'])
def test_bytes_after_a_response_make_the_connection_unusable(extra) -> None:
    connection = client()
    raw = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na'
    connection.receive(raw)
    read(connection)
    connection.start_next_cycle()
    assert not connection.has_unread
    connection.receive(extra)
    assert connection.has_unread


@pytest.mark.parametrize('name', ['a\r\nb', 'a\nb', 'a\rb', 'a\0b'])
def test_header_with_line_break_or_null_is_not_sent(name) -> None:
    connection = server()
    connection.receive(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    read(connection)
    with pytest.raises(LocalProtocolError):
        connection.send(Response.build(200, [(name, 'b')]))


@pytest.mark.parametrize('body', [b'a', b'abc'])
def test_body_must_match_its_content_length(body) -> None:
    connection = server()
    connection.receive(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    read(connection)
    connection.send(Response.build(200, [('content-length', '2')]))
    with pytest.raises(LocalProtocolError):
        connection.send(Data(body)) + connection.send(EndOfMessage())


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
@pytest.mark.parametrize('body', [b'', b'x' * 5])
def test_status_outside_of_http_is_an_error(status, body) -> None:
    """Guards against bytes that are no answer and are told to a caller."""
    client = Connection(Role.CLIENT, MAX_HEAD)
    client.send(Request(b'GET', b'/', ((b'host', b'x'),)))
    client.send(EndOfMessage())
    length = b'%d' % len(body)
    client.receive(b'HTTP/1.1 ' + status + b' Odd\r\ncontent-length: ' + length)
    client.receive(b'\r\n\r\n' + body)
    with pytest.raises(RemoteProtocolError):
        read(client)


CHUNKED_ANSWER = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
CHUNKED_REQUEST = (
    b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
)


@pytest.mark.parametrize('is_server', [False, True])
@pytest.mark.parametrize(
    ('begin', 'piece'),
    [
        (b'1\r\na\r\n0\r\nx-long: ', b'y' * 1000),
        (b'1\r\na\r\n0\r\n', b'x-more: and more\r\n' * 50),
        (b'1;x=', b'y' * 1000),
    ],
)
def test_bytes_without_end_around_a_body_are_an_error(
    is_server, begin, piece
) -> None:
    """Guards against bytes that are read, or kept, until the time limit."""
    head = CHUNKED_REQUEST if is_server else CHUNKED_ANSWER
    connection = server() if is_server else client()
    connection.receive(head + begin)
    read(connection)
    for _ in range(2 * MAX_HEAD // len(piece)):
        connection.receive(piece)
    with pytest.raises(RemoteProtocolError):
        read(connection)


@pytest.mark.parametrize(
    'piece', [b'HTTP/1.1 102 Wait\r\n\r\n' * 40, b'\r\n' * 500]
)
def test_answer_that_never_begins_is_an_error(piece) -> None:
    """Guards against interim answers, or none, until the time limit."""
    connection = client()
    for _ in range(2 * MAX_HEAD // len(piece)):
        connection.receive(piece)
    with pytest.raises(RemoteProtocolError):
        read(connection)


def test_body_in_many_short_chunks_is_read() -> None:
    connection = client()
    connection.receive(CHUNKED_ANSWER)
    for _ in range(MAX_HEAD):
        connection.receive(b'1;x=y\r\n')
        connection.receive(b'a\r\n')
    connection.receive(b'0\r\n\r\n')
    assert join_parts(read(connection))[1:] == (b'a' * MAX_HEAD, True)
