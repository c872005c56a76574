"""Tests for the backoff after failed moves."""

import random

from plantaingrade.balance.backoff import (
    INITIAL_PAUSE_S,
    MAX_PAUSE_S,
    MoveBackoff,
)


def test_pauses_grow_with_failed_moves_and_end_with_a_success() -> None:
    """Changes that always come too late interrupt service in vain."""
    backoff = MoveBackoff(random.Random(1))
    longest_s = 0.0
    for _ in range(8):
        pause_s = backoff.on_moves(done=0, failed=1)
        assert INITIAL_PAUSE_S / 2 <= pause_s <= MAX_PAUSE_S
        longest_s = max(longest_s, pause_s)
    assert longest_s >= MAX_PAUSE_S / 2
    assert backoff.on_moves(done=1, failed=2) == 0
    assert backoff.on_moves(done=0, failed=1) <= INITIAL_PAUSE_S


def test_rejected_offers_are_not_failures() -> None:
    assert MoveBackoff(random.Random(1)).on_moves(done=0, failed=0) == 0
