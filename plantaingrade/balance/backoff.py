"""When a member that could not move keys tries again. Pure.

Load that answers: the map of a service changes so often, or the store is so far
away, that the changes of one member are always made from a map that is past.
Each such move stops the service of its keys for nothing.
"""

import random

# First pause after a move that was not done, in seconds: the length of two.
FIRST_PAUSE_S = 1.0
# Longest pause: an outage of the store that has ended is used this much later.
MAX_PAUSE_S = 4.0


class MoveBackoff:
    """Pauses that double with each move that is not done."""

    __slots__ = ('_chance', '_pause_s')

    def __init__(self, chance: random.Random) -> None:
        """Begin without a pause."""
        self._chance = chance
        self._pause_s = 0.0

    def on_moves(self, done: int, failed: int) -> float:
        """Note what came of moves; return the pause before the next ones."""
        if done or not failed:
            self._pause_s = 0.0
            return 0.0
        doubled_s = max(FIRST_PAUSE_S, 2 * self._pause_s)
        self._pause_s = min(MAX_PAUSE_S, doubled_s)
        return self._chance.uniform(self._pause_s / 2, self._pause_s)
