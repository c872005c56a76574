"""Tests for the headers in which a server names its state."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantaingrade.backends.report import (
    NamedLimit,
    NoLimit,
    ServerNotice,
    UnreadableLimit,
)
from plantaingrade.http.messages import Response
from plantaingrade.platform.headers import decode_reply
from plantaingrade.platform.notices import decode_notice

LIMIT = b'server-limit'


def test_answer_without_the_headers_names_nothing() -> None:
    notice = decode_notice(((b'instance-id', b'i-1'),))
    assert notice == ServerNotice('i-1', NoLimit(), is_leaving=False)


@pytest.mark.parametrize(
    ('text', 'per_s'),
    [(b'14.6', 14.6), (b'0', 0), (b'0.25', 0.25), (b'.5', 0.5), (b'12.', 12)],
)
def test_limit_is_a_decimal_number(text: bytes, per_s: float) -> None:
    assert decode_notice(((LIMIT, text),)).limit == NamedLimit(per_s)


@pytest.mark.parametrize(
    'text',
    [b'', b'-1', b'+1', b'nan', b'inf', b'1e99', b'1,2', b'.', b'9' * 400],
)
def test_other_limits_are_unreadable(text: bytes) -> None:
    assert isinstance(decode_notice(((LIMIT, text),)).limit, UnreadableLimit)


def test_two_limits_in_one_answer_are_unreadable() -> None:
    pairs = ((LIMIT, b'5'), (LIMIT, b'50'))
    assert decode_notice(pairs).limit == UnreadableLimit('5,50')


@given(st.binary(max_size=60), st.binary(max_size=60))
def test_malformed_notice_raises_no_error(limit, leaving) -> None:
    notice = decode_notice(((LIMIT, limit), (b'server-leaving', leaving)))
    assert isinstance(notice, ServerNotice)


@pytest.mark.parametrize(('text', 'leaves'), [(b'1', True), (b'0', False)])
def test_leaving_is_told_in_any_answer(text: bytes, leaves: bool) -> None:
    assert decode_notice(((b'server-leaving', text),)).is_leaving == leaves


def test_nameless_misdirected_answer_names_nothing() -> None:
    """Another server at a reused address answers for the one before."""
    head = Response(status_code=421, headers=((LIMIT, b'1'),))
    assert decode_reply(head).notice == ServerNotice()
