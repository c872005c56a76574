"""Ranges of keys that should be held and are not. Pure."""

from plantaingrade.keyspace.entity import KeyRange

# Requests wait for keys that are on the move this long, counted from when the
# keys were first found unheld: a release waits for running work, some 70 ms,
# and a change of the map takes 20 ms.
MAX_UNHELD_WAIT_S = 0.4
# A range that nobody has asked for in this time is held again, as far as is
# known here: whoever waits looks several times as often.
FORGET_S = 0.3


class UnheldRanges:
    """Since when ranges have been found unheld.

    A normal move takes a fraction of ``MAX_UNHELD_WAIT_S``. After that requests
    are refused at once: the store is most likely away, and callers would wait
    until their time is up.
    """

    __slots__ = ('_asked_at', '_since')

    def __init__(self) -> None:
        """Know no ranges."""
        self._since: dict[KeyRange, float] = {}
        self._asked_at: dict[KeyRange, float] = {}

    def is_overdue(self, keys: KeyRange, now: float) -> bool:
        """Note that a range is unheld; tell whether it is for too long."""
        self._forget(now)
        since = self._since.setdefault(keys, now)
        self._asked_at[keys] = now
        return now - since > MAX_UNHELD_WAIT_S

    def _forget(self, now: float) -> None:
        stale = [
            keys
            for keys, asked_at in self._asked_at.items()
            if now - asked_at > FORGET_S
        ]
        for keys in stale:
            self._since.pop(keys)
            self._asked_at.pop(keys)
