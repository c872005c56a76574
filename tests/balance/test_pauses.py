"""A member whose moves are not done tries again ever more rarely."""

import random

from plantaingrade.balance.backoff import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    MoveBackoff,
)


def test_pauses_grow_while_no_move_is_done_and_end_with_one() -> None:
    """Changes that always come too late stop the service of keys in vain."""
    pauses = MoveBackoff(random.Random(1))
    longest_s = 0.0
    for _ in range(8):
        pause_s = pauses.on_moves(done=0, failed=1)
        assert FIRST_PAUSE_S / 2 <= pause_s <= MAX_PAUSE_S
        longest_s = max(longest_s, pause_s)
    assert longest_s >= MAX_PAUSE_S / 2
    assert pauses.on_moves(done=1, failed=2) == 0
    assert pauses.on_moves(done=0, failed=1) <= FIRST_PAUSE_S


def test_offers_that_are_turned_down_are_no_failures() -> None:
    assert MoveBackoff(random.Random(1)).on_moves(done=0, failed=0) == 0
