"""When a change of the map that came too late is sent again. Pure.

Load that answers: dozens of members change the map at the same moment, when
loads are evened out or when all have just been started. Of changes that were
made from the same version one is done; the others fail, and each has taken a
turn in the store's part. Sent again at once, they make each other wait, until
nearly all turns are taken by changes that fail.
"""

import random

# A turn in the store's part takes 7 ms, the way there and back 6 ms more.
FIRST_WINDOW_S = 0.02
# With half of it as the mean pause, 50 members that want a change at the same
# time send one in 6 ms: about as many as the part has turns for.
MAX_WINDOW_S = 0.64
# An answer that took this part of the window or more waited for others' turns,
# so that the window is too small for how many there are.
ANSWERS_A_WINDOW = 4
# Windows between two rounds of changes that could as well be made later.
REST_WINDOWS = 2


class ConflictBackoff:
    """Pauses that grow while changes come too late, and shrink again.

    The window is kept from one change to the next: what crowds the part does
    not end with one change.
    """

    __slots__ = ('_chance', '_window_s')

    def __init__(self, chance: random.Random) -> None:
        """Begin with no pause."""
        self._chance = chance
        self._window_s = 0.0

    def on_success(self) -> None:
        """Note that a change was done."""
        self._window_s /= 2
        if self._window_s < FIRST_WINDOW_S:
            self._window_s = 0.0

    def on_conflict(self, took_s: float) -> float:
        """Note that a change came too late; return the pause before the next.

        ``took_s`` is how long its answer took. A pause is drawn from a window,
        so that those which failed together are not sent together again.
        """
        window_s = max(
            FIRST_WINDOW_S, 2 * self._window_s, ANSWERS_A_WINDOW * took_s
        )
        self._window_s = min(MAX_WINDOW_S, window_s)
        return self._chance.uniform(0, self._window_s)

    def deferral_s(self) -> float:
        """Return a pause before changes that could as well be made later."""
        return self._chance.uniform(0, REST_WINDOWS * self._window_s)
