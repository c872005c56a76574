"""Backoff after failed key moves; performs no I/O.

Handles a key map that changes so often, or a store that is so slow, that all
changes of a member are based on an outdated map. Each such move interrupts the
service of its keys in vain.
"""

import random

# Pause after a first failed move, in seconds: the duration of two moves.
INITIAL_PAUSE_S = 1.0
# Maximum pause in seconds; it delays moves after the end of a store outage.
MAX_PAUSE_S = 4.0


class MoveBackoff:
    """Exponential backoff with jitter after failed moves."""

    __slots__ = ('_rng', '_pause_s')

    def __init__(self, rng: random.Random) -> None:
        """Create a backoff without a pause."""
        self._rng = rng
        self._pause_s = 0.0

    def on_moves(self, done: int, failed: int) -> float:
        """Record the results of moves; return the pause before the next."""
        if done or not failed:
            self._pause_s = 0.0
            return 0.0
        doubled_s = max(INITIAL_PAUSE_S, 2 * self._pause_s)
        self._pause_s = min(MAX_PAUSE_S, doubled_s)
        return self._rng.uniform(self._pause_s / 2, self._pause_s)
