"""Back off after conflicting changes of the map. Pure.

Load: dozens of members change the map at the same moment, when load is
rebalanced or after all have started. Of the changes made from one version only
one succeeds; the others fail, and each has used a turn in the service's part of
the store. Retried at once, they delay each other until nearly all turns are
used by changes that fail.
"""

import random

# A transaction takes 7 ms in its part of the store, and the round trip another
# 6 ms.
MIN_WINDOW_S = 0.02
# With a mean pause of half this window, 50 members that change the map at the
# same time send one change every 6 ms: about as many as the part can handle.
MAX_WINDOW_S = 0.64
# A response that took this fraction of the window or longer had to wait for
# other transactions: the window is too small for their number.
RESPONSE_WINDOW_FACTOR = 4
# Deferrable changes wait for up to this many windows.
DEFERRAL_WINDOWS = 2


class ConflictBackoff:
    """Pauses that grow with conflicts and shrink with successes.

    The window is kept from one change to the next, because contention in the
    part outlasts a single change.
    """

    __slots__ = ('_random', '_window_s')

    def __init__(self, random_source: random.Random) -> None:
        """Begin without a pause."""
        self._random = random_source
        self._window_s = 0.0

    @property
    def is_contended(self) -> bool:
        """Return whether changes have conflicted lately."""
        return self._window_s > 0

    def on_success(self) -> None:
        """Halve the window after a change that succeeded."""
        self._window_s /= 2
        if self._window_s < MIN_WINDOW_S:
            self._window_s = 0.0

    def on_conflict(self, response_s: float) -> float:
        """Widen the window after a conflict; return the pause before a retry.

        ``response_s`` is how long the response took. The pause is drawn at
        random from the window, so that changes that failed together are not
        retried together.
        """
        window_s = max(
            MIN_WINDOW_S,
            2 * self._window_s,
            RESPONSE_WINDOW_FACTOR * response_s,
        )
        self._window_s = min(MAX_WINDOW_S, window_s)
        return self._random.uniform(0, self._window_s)

    def deferral_s(self) -> float:
        """Return a random pause before changes that can be deferred."""
        return self._random.uniform(0, DEFERRAL_WINDOWS * self._window_s)
