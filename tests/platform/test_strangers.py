"""Rows and configurations of other writers, decoded."""

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
from tests.platform.test_config import ROUTE, whole
from tests.strangers import ANY_JSON, BAD_BODIES, ODD_TEXTS, changed

ROW = {
    'table': 't',
    'part': 'p',
    'key': 'member/a',
    'value': 'e30=',
    'rowVersion': 7,
}


@given(changed(whole()), changed(ROUTE))
def test_no_configuration_does_harm(fields: Any, route: Any) -> None:
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
def test_bytes_that_are_no_configuration(body: bytes) -> None:
    with pytest.raises(UnreadableFieldError):
        decode_config(body)


@pytest.mark.parametrize('text', [*ODD_TEXTS, '1e3ms', '1_0s', '٣s', None, 5])
def test_texts_that_are_neither_times_nor_versions(text: Any) -> None:
    with pytest.raises(UnreadableFieldError):
        parse_time(text)
    with pytest.raises(UnreadableFieldError):
        parse_version(text)


@given(st.lists(changed(ROW) | ANY_JSON, max_size=4), st.integers(0, 4))
def test_bad_rows_leave_the_good_ones(bad: list[Any], place: int) -> None:
    """Another writer's rows lie between ours, and one has no name, no bytes
    or no version. None of the part was read then, ours included.
    """
    found = decode_rows([*bad[:place], ROW, *bad[place:]])
    good = Row(RowName('t', 'p', 'member/a'), b'{}', 7)
    assert good in found


@pytest.mark.parametrize('encoded', ['?', 'e30', 'é', 7, None, ['e30=']])
def test_a_row_without_readable_bytes_is_there_all_the_same(encoded) -> None:
    """A row that cannot be read passed for one that is not there."""
    rows = decode_rows([{**ROW, 'value': encoded}])
    assert len(rows) == 1
    row = rows[0]
    assert row.body == b''
    assert row.version == 7
