"""Tests for decoding malformed rows and configurations of other writers."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantaingrade.platform.config import decode_config
from plantaingrade.platform.store import decode_rows
from plantaingrade.platform.units import (
    UnreadableFieldError,
    parse_time,
    parse_version,
)
from plantaingrade.store.entity import Row, RowName
from tests.malformed import ANY_JSON, BAD_BODIES, ODD_TEXTS, mutated
from tests.platform.test_config import ROUTE, make_config

ROW = {
    'table': 't',
    'part': 'p',
    'key': 'member/a',
    'value': 'e30=',
    'rowVersion': 7,
}


@given(mutated(make_config()), mutated(ROUTE))
def test_decoded_configuration_is_valid(fields: Any, route: Any) -> None:
    if isinstance(fields.get('routes'), dict):
        fields = {**fields, 'routes': {'r-1': route}}
    try:
        config = decode_config(json.dumps(fields).encode())
    except UnreadableFieldError:
        return
    for each in config.routes:
        assert each.timeout_s >= 0
        assert each.max_servers.__class__ is int
        assert each.prefix


@pytest.mark.parametrize('body', BAD_BODIES)
def test_malformed_configuration_is_rejected(body: bytes) -> None:
    with pytest.raises(UnreadableFieldError):
        decode_config(body)


@pytest.mark.parametrize('text', [*ODD_TEXTS, '1e3ms', '1_0s', '٣s', None, 5])
def test_malformed_durations_and_versions_are_rejected(text: Any) -> None:
    with pytest.raises(UnreadableFieldError):
        parse_time(text)
    with pytest.raises(UnreadableFieldError):
        parse_version(text)


@given(st.lists(mutated(ROW) | ANY_JSON, max_size=4), st.integers(0, 4))
def test_valid_rows_are_read_among_bad_ones(bad: list[Any], place: int) -> None:
    """Rows of another writer without a name, value or version lie among ours.

    They must not prevent reading the other rows of the part.
    """
    found = decode_rows([*bad[:place], ROW, *bad[place:]])
    valid = Row(RowName('t', 'p', 'member/a'), b'{}', 7)
    assert valid in found


@pytest.mark.parametrize('encoded', ['?', 'e30', 'é', 7, None, ['e30=']])
def test_row_with_unreadable_value_is_not_missing(encoded) -> None:
    """A row whose value cannot be decoded must not be taken as missing."""
    rows = decode_rows([{**ROW, 'value': encoded}])
    assert len(rows) == 1
    row = rows[0]
    assert row.body == b''
    assert row.version == 7
