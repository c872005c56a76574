"""Measurement of the work requested for each key of a server."""

import math
from collections import Counter, deque

from plantaingrade.balance.const import (
    MIN_WINDOW_S,
    RECENT_S,
    SIGNIFICANT_DEVIATIONS,
    WINDOW_S,
)
from plantaingrade.balance.entity import KeyLoad
from plantaingrade.keyspace.entity import KeyRange


class LoadMeter:
    """Work requested within a sliding window, by key.

    Requests are counted on arrival, before admission: refused requests are the
    demand that must move to other servers.
    """

    __slots__ = ('_samples', '_total_work_s')

    def __init__(self) -> None:
        """Create a meter without samples."""
        self._samples: deque[tuple[float, int, float]] = deque()
        self._total_work_s = 0.0

    def observe(self, key: int, work_s: float, now: float) -> None:
        """Add a request with its expected work in seconds."""
        self._samples.append((now, key, work_s))
        self._total_work_s += work_s
        self._expire(now)

    def demand(self, now: float) -> float:
        """Return the requested work, in slot seconds per second."""
        self._expire(now)
        return max(0.0, self._total_work_s) / self._window_s(now)

    def by_key(self, now: float) -> list[KeyLoad]:
        """Return the load of each requested key, in key order."""
        self._expire(now)
        work_by_key: Counter[int] = Counter()
        for _, key, work_s in self._samples:
            work_by_key[key] += work_s
        return [
            KeyLoad(key, work_by_key[key] / self._window_s(now))
            for key in sorted(work_by_key)
        ]

    def adapt(self, now: float) -> None:
        """Drop older samples if requests have become more or fewer suddenly.

        Keys would otherwise move by an average of the load before and after the
        change: too few of a group that turns hot, too many once it has cooled.
        """
        self._expire(now)
        began = now - RECENT_S
        if not self._samples or self._samples[0][0] >= began:
            return
        usual = len(self._samples) * RECENT_S / self._window_s(now)
        deviation = abs(self._count_since(began) - usual)
        if deviation <= SIGNIFICANT_DEVIATIONS * math.sqrt(usual):
            return
        while self._samples and self._samples[0][0] < began:
            self._total_work_s -= self._samples.popleft()[2]

    def forget(self, keys: KeyRange) -> None:
        """Drop the samples of keys transferred to another server."""
        self._samples = deque(
            each for each in self._samples if each[1] not in keys
        )
        self._total_work_s = sum(each[2] for each in self._samples)

    def _count_since(self, began: float) -> int:
        count = 0
        for at, _, _ in reversed(self._samples):
            if at < began:
                break
            count += 1
        return count

    def _window_s(self, now: float) -> float:
        """Return the time over which the current samples were collected.

        The window is not full at the start and after a pause. Averaged over the
        whole window, demand would be underestimated until it has filled, and
        no keys would move in the meantime.
        """
        if not self._samples:
            return WINDOW_S
        return max(MIN_WINDOW_S, now - self._samples[0][0])

    def _expire(self, now: float) -> None:
        while self._samples and now - self._samples[0][0] > WINDOW_S:
            self._total_work_s -= self._samples.popleft()[2]
