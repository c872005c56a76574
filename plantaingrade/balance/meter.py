"""Measure what work the keys of a server ask for."""

from collections import Counter, deque

from plantaingrade.balance.const import MIN_SPAN_S, WINDOW_S
from plantaingrade.balance.entity import KeyLoad
from plantaingrade.keyspace.entity import KeyRange


class LoadMeter:
    """Work asked for within a sliding window, by key.

    Requests are counted when they come, before it is decided whether they can
    be served: the demand that was refused is what must move elsewhere.
    """

    __slots__ = ('_asked', '_total')

    def __init__(self) -> None:
        """Start with no demand."""
        self._asked: deque[tuple[float, int, float]] = deque()
        self._total = 0.0

    def observe(self, key: int, work_s: float, now: float) -> None:
        """Count a request and the work that it will probably be."""
        self._asked.append((now, key, work_s))
        self._total += work_s
        self._expire(now)

    def demand(self, now: float) -> float:
        """Return the work asked for in a second."""
        self._expire(now)
        return max(0.0, self._total) / self._span_s(now)

    def by_key(self, now: float) -> list[KeyLoad]:
        """Return the work of each key that was asked for, in key order."""
        self._expire(now)
        work_by_key: Counter[int] = Counter()
        for _, key, work_s in self._asked:
            work_by_key[key] += work_s
        return [
            KeyLoad(key, work_by_key[key] / self._span_s(now))
            for key in sorted(work_by_key)
        ]

    def forget(self, keys: KeyRange) -> None:
        """Drop what keys asked for that have passed to another server."""
        self._asked = deque(each for each in self._asked if each[1] not in keys)
        self._total = sum(each[2] for each in self._asked)

    def _span_s(self, now: float) -> float:
        """Return how long the demand has been coming in.

        After a pause, and at the start, the window is not full yet. Counted
        over all of it, demand would be found too small for as long as it
        takes to fill, and nothing would move meanwhile.
        """
        if not self._asked:
            return WINDOW_S
        return max(MIN_SPAN_S, now - self._asked[0][0])

    def _expire(self, now: float) -> None:
        while self._asked and now - self._asked[0][0] > WINDOW_S:
            self._total -= self._asked.popleft()[2]
