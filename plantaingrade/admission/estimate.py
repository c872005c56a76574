"""Estimates of work durations and slot usage from observed requests."""

import math

from plantaingrade.admission.long_term import LongTermWork

# Weight of a new sample. The speed of a server may change suddenly by a factor
# of several, and a busy server yields about 20 samples per second: with a
# half-life of 7 samples the estimate follows within a second.
SMOOTHING = 0.1
# Duration assumed before the first sample, in seconds.
DEFAULT_WORK_S = 0.05
# Weight of a new sample in the slot time of its class: half-life of 70 samples.
SLOT_TIME_SMOOTHING = 0.01
# Share of the slot time from which on a class counts among the long ones.
MIN_SLOT_TIME_SHARE = 0.1


class WorkEstimate:
    """Exponentially smoothed duration of each class of work, in seconds."""

    __slots__ = (
        '_longest_s',
        '_mean_s',
        '_mean_s_by_kind',
        '_slot_s_by_kind',
        'long_term',
    )

    def __init__(self) -> None:
        """Create an estimate without samples."""
        self._mean_s_by_kind: dict[str, float] = {}
        self._mean_s: float | None = None
        self._slot_s_by_kind: dict[str, float] = {}
        self._longest_s = 0.0
        self.long_term = LongTermWork()

    def observe(
        self, kind: str, duration_s: float, weight: float = SMOOTHING
    ) -> None:
        """Add the duration of one piece of work.

        ``weight`` is that of the sample against all before it.
        """
        known = self._mean_s_by_kind.get(kind, duration_s)
        self._mean_s_by_kind[kind] = known + weight * (duration_s - known)
        mean = duration_s if self._mean_s is None else self._mean_s
        self._mean_s = mean + SMOOTHING * (duration_s - mean)
        self._add_slot_time(kind, duration_s)
        self._longest_s = self._find_longest_s()

    def expected_s(self, kind: str) -> float:
        """Return the expected duration of a class of work."""
        return self._mean_s_by_kind.get(kind, self.mean_s())

    def long_term_s(self, kind: str) -> float:
        """Return the mean duration of a class over some seconds."""
        long_term_s = self.long_term.expected_s(kind)
        return self.expected_s(kind) if long_term_s is None else long_term_s

    def long_term_mean_s(self) -> float:
        """Return the mean duration of all classes over some seconds."""
        mean_s = self.long_term.mean_s()
        return self.mean_s() if mean_s is None else mean_s

    def longest_s(self) -> float:
        """Return the expected duration of the longest class of work.

        A class that hardly uses the slots does not count: its duration comes
        from a few samples, perhaps old ones.
        """
        return self._longest_s

    def mean_s(self) -> float:
        """Return the mean duration over all classes of work."""
        return DEFAULT_WORK_S if self._mean_s is None else self._mean_s

    def _add_slot_time(self, kind: str, duration_s: float) -> None:
        for each in self._slot_s_by_kind:
            self._slot_s_by_kind[each] *= 1 - SLOT_TIME_SMOOTHING
        known = self._slot_s_by_kind.get(kind, 0.0)
        self._slot_s_by_kind[kind] = known + duration_s

    def _find_longest_s(self) -> float:
        shares_s = self._slot_s_by_kind.values()
        least_s = min(max(shares_s), MIN_SLOT_TIME_SHARE * sum(shares_s))
        return max(
            self._mean_s_by_kind[kind]
            for kind, slot_s in self._slot_s_by_kind.items()
            if slot_s >= least_s
        )


# Time constant of the average of busy slots, in seconds: longer than a request,
# shorter than a burst.
RATE_TIME_CONSTANT_S = 0.5


class WorkRate:
    """Decaying average of started work, as a number of busy slots."""

    __slots__ = ('_rate', '_decayed_at')

    def __init__(self) -> None:
        """Create a rate without work."""
        self._rate = 0.0
        self._decayed_at = 0.0

    def observe(self, work_s: float, now: float) -> None:
        """Add the expected duration of work that has been started."""
        self._rate = self.busy_slots(now) + work_s / RATE_TIME_CONSTANT_S

    def busy_slots(self, now: float) -> float:
        """Return the average number of busy slots."""
        self._rate *= math.exp(
            -max(0.0, now - self._decayed_at) / RATE_TIME_CONSTANT_S
        )
        self._decayed_at = now
        return self._rate
