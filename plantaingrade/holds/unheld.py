"""Track ranges of keys that should be held and are not. Pure.

Load and failure: ranges move between servers all the time, and a move gets
stuck if the store becomes unavailable meanwhile.
"""

from plantaingrade.keyspace.entity import KeyRange

# Requests wait this long for keys that are being transferred, counted from when
# the keys were first found unheld. A release waits for running work, some 70
# ms, and a change of the map takes 20 ms.
MAX_UNHELD_WAIT_S = 0.4
# The same as a multiple of the duration of work, where that is longer: a
# release waits for the longest of all running requests on its keys.
MAX_WAITED_WORK = 3
# A range that no request has asked about for this long counts as held again;
# waiting requests ask several times within it.
STALE_AFTER_S = 0.3


class UnheldRanges:
    """Since when ranges have been found unheld.

    A normal transfer takes a fraction of ``MAX_UNHELD_WAIT_S``. After that time
    requests are refused at once: the store is most likely unavailable, and
    callers would wait until their deadlines.
    """

    __slots__ = ('_asked_at', '_since')

    def __init__(self) -> None:
        """Start without ranges."""
        self._since: dict[KeyRange, float] = {}
        self._asked_at: dict[KeyRange, float] = {}

    def is_overdue(
        self, keys: KeyRange, now: float, work_s: float = 0.0
    ) -> bool:
        """Record that a range is unheld; return whether it is so too long.

        ``work_s`` is the duration of the work that a transfer waits for.
        """
        self._remove_stale(now)
        since = self._since.setdefault(keys, now)
        self._asked_at[keys] = now
        return now - since > max(MAX_UNHELD_WAIT_S, MAX_WAITED_WORK * work_s)

    def _remove_stale(self, now: float) -> None:
        stale = [
            keys
            for keys, asked_at in self._asked_at.items()
            if now - asked_at > STALE_AFTER_S
        ]
        for keys in stale:
            self._since.pop(keys)
            self._asked_at.pop(keys)
