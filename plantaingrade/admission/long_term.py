"""Durations of work over seconds, without the short slowdowns of a server.

Load that this answers to: servers share their machines with others, so that a
fifth of them work at a third of their speed for some tenths of a second each.
Requests are scheduled by the momentary duration; keys are not, since a move
takes longer than a slowdown.
"""

import math

# Time constant of the averages, in seconds: several times as long as a server
# is slowed by others, and short enough to leave a server that stays slow.
TIME_CONSTANT_S = 4.0


class DecayingMean:
    """Mean of samples whose weights decay with time."""

    __slots__ = ('_total', '_weight', 'observed_at')

    def __init__(self) -> None:
        """Create a mean without samples."""
        self._total = 0.0
        self._weight = 0.0
        self.observed_at = 0.0

    def observe(self, sample: float, now: float) -> None:
        """Add a sample."""
        elapsed_s = max(0.0, now - self.observed_at)
        decay = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._total = self._total * decay + sample
        self._weight = self._weight * decay + 1
        self.observed_at = now

    def mean(self) -> float:
        """Return the mean; there must be a sample."""
        return self._total / self._weight


class LongTermWork:
    """Mean duration of each class of work over seconds, not requests."""

    __slots__ = ('_mean', '_mean_by_kind')

    def __init__(self) -> None:
        """Create averages without samples."""
        self._mean: DecayingMean | None = None
        self._mean_by_kind: dict[str, DecayingMean] = {}

    def observe(self, kind: str, duration_s: float, now: float) -> None:
        """Add the duration of one piece of work."""
        if self._mean is None:
            self._mean = DecayingMean()
        self._mean.observe(duration_s, now)
        mean = self._mean_by_kind.setdefault(kind, DecayingMean())
        mean.observe(duration_s, now)

    def expected_s(self, kind: str) -> float | None:
        """Return the mean duration of a class, or None without samples."""
        mean = self._mean_by_kind.get(kind)
        return None if mean is None else mean.mean()

    def age_s(self, kind: str, now: float) -> float:
        """Return the time since the last sample of a class, 0 without one."""
        mean = self._mean_by_kind.get(kind)
        return 0.0 if mean is None else now - mean.observed_at

    def mean_s(self) -> float | None:
        """Return the mean duration of all classes, or None without samples."""
        return None if self._mean is None else self._mean.mean()
