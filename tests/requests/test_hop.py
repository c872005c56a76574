"""Tests of the encoding of requests and responses between processes."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from msgspec.structs import replace

from plantaingrade.backends.report import ServerIncarnation
from plantaingrade.balance.entity import Load
from plantaingrade.http.messages import Request
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    NotRun,
    NotRunReason,
    RoutedRequest,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.hop import (
    KnownVersions,
    MalformedHopError,
    decode_hop,
    decode_leaving,
    decode_load,
    decode_outcome,
    encode_hop,
    encode_leaving,
    encode_load,
    encode_outcome,
)

NOW = 50.0
CALLER = CallerRequest(
    b'id1',
    b'POST',
    b'/a/b',
    b'x.example',
    4711,
    ((b'cookie', b'a=b'),),
    b'body',
    NOW,
    NOW + 0.5,
)
ROUTED = RoutedRequest(CALLER, 'mine', 'cases', True, 1, NOW + 0.4, NOW + 0.2)
KNOWN = KnownVersions(7, 99)
outcomes = st.one_of(
    st.builds(
        NotRun,
        st.sampled_from(NotRunReason),
        st.integers(0, 5000).map(lambda ms: ms / 1000),
    ),
    st.builds(
        NotRun,
        st.just(NotRunReason.NOT_OWNER),
        st.just(0),
        st.just('cases@10.0.0.1'),
        st.integers(0, 5000),
    ),
    st.builds(Unknown, st.sampled_from(UnknownReason)),
    st.builds(
        lambda status, body: Answered(
            Answer(status, ((b'server-stamp', b'6.14'),), body)
        ),
        st.sampled_from([200, 404, 500, 503, 504]),
        st.binary(max_size=50),
    ),
)


def hop(headers) -> Request:
    return Request.build('POST', '/a/b', list(headers))


def test_request_round_trip() -> None:
    raw = hop(encode_hop(ROUTED, KNOWN, NOW))
    routed, known = decode_hop(raw, b'body', NOW)
    assert known == KNOWN
    assert routed.caller.request_id == b'id1'
    assert routed.caller.headers == CALLER.headers
    assert routed.caller.key == 4711
    assert routed.service == 'cases'
    assert routed.caller_service == 'mine'
    assert routed.is_idempotent
    assert routed.until == pytest.approx(ROUTED.until, abs=0.002)
    assert routed.due == pytest.approx(ROUTED.due, abs=0.002)


def test_times_are_sent_as_remaining_time() -> None:
    """Clocks of instances differ, and the transfer takes time."""
    raw = hop(encode_hop(ROUTED, KNOWN, NOW + 0.1))
    routed, _ = decode_hop(raw, b'', 900.0)
    assert routed.until == pytest.approx(900.3, abs=0.002)


# 1.001 * 1000 is just below 1001 as a float; truncation would give 1000.
@example(NotRun(NotRunReason.NO_CONFIG, 1.001))
@given(outcomes)
def test_outcome_round_trip(outcome) -> None:
    assert decode_outcome(encode_outcome(outcome)) == outcome


def test_refusal_by_a_server_is_forwarded_as_an_answer() -> None:
    """A server's 503 that does not guarantee that the request has not run must
    not become such a guarantee.
    """
    answer = Answer(503, ((b'server-stamp', b'6.14'),), b'x')
    assert decode_outcome(encode_outcome(Answered(answer))) == Answered(answer)


@pytest.mark.parametrize(
    'fields', ['', 'a', '1,2,3,4,i,5,s', 'x,y,z,1,i,5,s,t,1,2', ',,,,,,,,,']
)
def test_malformed_fields_are_rejected(fields) -> None:
    raw = hop([(b'host', b'x'), (b'q', fields.encode())])
    with pytest.raises(MalformedHopError):
        decode_hop(raw, b'', NOW)


def test_load_round_trip() -> None:
    header = encode_load(Load(0.87, 0.064, 6))
    load = decode_load((header,))
    assert load.share == pytest.approx(0.87)
    assert load.work_s == pytest.approx(0.064)
    assert load.slots == 6
    assert decode_load(((b'l', b'x'),)) is None
    assert decode_load(()) is None


@pytest.mark.parametrize('name', [b'q', b'a', b'x', b'o', b'_q', b'__x', b'_'])
def test_headers_named_like_those_of_processes_are_forwarded(name) -> None:
    """A caller's header is taken for one of the process that forwards it."""
    headers = ((name, b',i-1'),)
    caller = replace(CALLER, headers=headers)
    encoded = encode_hop(replace(ROUTED, caller=caller), KNOWN, NOW)
    raw = Request(method=b'POST', target=b'/a/b', headers=encoded)
    decoded, known = decode_hop(raw, b'body', NOW)
    assert decoded.caller.headers == headers
    assert known == KNOWN
    assert decode_leaving(encoded) is None
    answer = Answer(200, headers, b'done')
    sent = encode_outcome(Answered(answer))
    assert decode_leaving(sent.headers) is None
    assert decode_outcome(sent) == Answered(answer)


@pytest.mark.parametrize('born_ms', [None, 1_700_000_000_000])
def test_leaving_incarnation_is_named_between_processes(born_ms) -> None:
    incarnation = ServerIncarnation('i-1', born_ms)
    assert decode_leaving(encode_leaving(incarnation)) == incarnation
    assert decode_leaving(encode_leaving(None)) is None


@given(st.binary(max_size=40))
def test_malformed_leaving_header_raises_no_error(text) -> None:
    incarnation = decode_leaving(((b'x', text),))
    assert incarnation is None or incarnation.instance
