"""Flawed entries, as another writer sends them."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.incarnation import Heartbeat, Incarnation
from standins.strange import OTHER_VALUES, UNKNOWN_WORD, Flaw, spoil

SOUND = Heartbeat(
    Incarnation('i-1', 1_700_000_000_000),
    'cases',
    '127.0.0.1:1',
    'a',
    4,
    'ready',
    3,
).fields()
SEEDS = st.integers(0, 10_000)


def spoilt(flaw: Flaw, seed: int) -> bytes:
    return spoil(SOUND, flaw, random.Random(seed))


@given(SEEDS)
def test_one_field_is_missing(seed: int) -> None:
    found = json.loads(spoilt(Flaw.MISSING, seed))
    assert len(found) == len(SOUND) - 1
    assert found.items() <= SOUND.items()


@given(SEEDS)
def test_one_field_is_of_another_type(seed: int) -> None:
    found = json.loads(spoilt(Flaw.OTHER_TYPE, seed))
    changed = [
        name
        for name, sound in SOUND.items()
        if found[name].__class__ is not sound.__class__
    ]
    assert len(changed) == 1
    assert found.keys() == SOUND.keys()


def test_every_other_type_is_sent_in_the_end() -> None:
    sent = {
        json.dumps(each)
        for seed in range(500)
        for each in json.loads(spoilt(Flaw.OTHER_TYPE, seed)).values()
    }
    assert {json.dumps(each) for each in OTHER_VALUES} <= sent


@given(SEEDS)
def test_a_word_is_unknown(seed: int) -> None:
    found = json.loads(spoilt(Flaw.UNKNOWN_WORD, seed))
    assert UNKNOWN_WORD in {found['state'], found['service']}


@given(SEEDS)
def test_bytes_are_no_entry(seed: int) -> None:
    try:
        found = json.loads(spoilt(Flaw.UNREADABLE, seed))
    except (ValueError, RecursionError):
        return
    assert not isinstance(found, dict)


@pytest.mark.parametrize('flaw', Flaw)
def test_a_seed_repeats_its_flaw(flaw: Flaw) -> None:
    assert spoilt(flaw, 5) == spoilt(flaw, 5)
