"""Malformed entries as another writer would send them."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.incarnation import Heartbeat, Incarnation
from standins.malformed import (
    ODD_ADDRESSES,
    OTHER_VALUES,
    UNKNOWN_VALUE,
    Flaw,
    corrupt,
)

VALID = Heartbeat(
    Incarnation('i-1', 1_700_000_000_000),
    'cases',
    '127.0.0.1:1',
    'a',
    4,
    'ready',
    3,
).fields()
SEEDS = st.integers(0, 10_000)


def malformed(flaw: Flaw, seed: int) -> bytes:
    return corrupt(VALID, flaw, random.Random(seed))


@given(SEEDS)
def test_one_field_is_missing(seed: int) -> None:
    found = json.loads(malformed(Flaw.MISSING, seed))
    assert len(found) == len(VALID) - 1
    assert found.items() <= VALID.items()


@given(SEEDS)
def test_one_field_is_of_another_type(seed: int) -> None:
    found = json.loads(malformed(Flaw.OTHER_TYPE, seed))
    changed = [
        name
        for name, valid in VALID.items()
        if found[name].__class__ is not valid.__class__
    ]
    assert len(changed) == 1
    assert found.keys() == VALID.keys()


def test_every_other_type_is_eventually_sent() -> None:
    sent = {
        json.dumps(each)
        for seed in range(500)
        for each in json.loads(malformed(Flaw.OTHER_TYPE, seed)).values()
    }
    assert {json.dumps(each) for each in OTHER_VALUES} <= sent


@given(SEEDS)
def test_one_value_is_unknown(seed: int) -> None:
    found = json.loads(malformed(Flaw.UNKNOWN_VALUE, seed))
    assert UNKNOWN_VALUE in {found['state'], found['service']}


@given(SEEDS)
def test_bytes_are_unreadable(seed: int) -> None:
    try:
        found = json.loads(malformed(Flaw.UNREADABLE, seed))
    except (ValueError, RecursionError):
        return
    assert not isinstance(found, dict)


@pytest.mark.parametrize('flaw', Flaw)
def test_a_seed_repeats_its_flaw(flaw: Flaw) -> None:
    assert malformed(flaw, 5) == malformed(flaw, 5)


@given(SEEDS)
def test_nothing_can_be_sent_to_the_address(seed: int) -> None:
    found = json.loads(malformed(Flaw.ADDRESS, seed))
    assert found.pop('address') in ODD_ADDRESSES
    assert found.items() <= VALID.items()
