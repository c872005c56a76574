"""Tests for decoding responses to orders, including malformed ones."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantaingrade.holds.entity import Accepted, Outranked, Rejected
from plantaingrade.http.client import Reply
from plantaingrade.platform.const import HEADER_HANDOVER
from plantaingrade.platform.orders import _decode_order


@given(st.integers(100, 599), st.binary(max_size=40), st.binary(max_size=40))
def test_malformed_response_raises_no_error(status, token, body) -> None:
    """A server responds to a grant with a handover token that is not ASCII.

    An exception would end the task of the grant, and its range would not be
    recorded as unanswered.
    """
    outcome = _decode_order(Reply(status, {HEADER_HANDOVER: token}, body))
    assert isinstance(outcome, Accepted | Outranked | Rejected)


@pytest.mark.parametrize(('token', 'text'), [(b'5c0e', '5c0e'), (b'\xff', '')])
def test_unreadable_token_is_left_out(token: bytes, text: str) -> None:
    reply = Reply(200, {HEADER_HANDOVER: token}, b'')
    assert _decode_order(reply) == Accepted(text)
