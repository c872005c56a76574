"""Measurement of the work requested for each key of a server."""

from collections import Counter, deque

from plantaingrade.balance.const import MIN_WINDOW_S, WINDOW_S
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

    def forget(self, keys: KeyRange) -> None:
        """Drop the samples of keys transferred to another server."""
        self._samples = deque(
            each for each in self._samples if each[1] not in keys
        )
        self._total_work_s = sum(each[2] for each in self._samples)

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
