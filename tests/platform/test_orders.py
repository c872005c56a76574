"""Answers of a server to orders, also those that no server should give."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantaingrade.holds.entity import Accepted, Outranked, Rejected
from plantaingrade.http.client import Reply
from plantaingrade.platform.const import HEADER_HANDOVER
from plantaingrade.platform.orders import _decode_order


@given(st.integers(100, 599), st.binary(max_size=40), st.binary(max_size=40))
def test_no_answer_to_an_order_ends_its_task(status, token, body) -> None:
    """A server answers a grant with a token that is no text.

    The task of the grant ended in an exception, and its range was not known
    as unanswered.
    """
    outcome = _decode_order(Reply(status, {HEADER_HANDOVER: token}, body))
    assert isinstance(outcome, Accepted | Outranked | Rejected)


@pytest.mark.parametrize(('token', 'text'), [(b'5c0e', '5c0e'), (b'\xff', '')])
def test_a_token_is_read_or_left_out(token: bytes, text: str) -> None:
    reply = Reply(200, {HEADER_HANDOVER: token}, b'')
    assert _decode_order(reply) == Accepted(text)
