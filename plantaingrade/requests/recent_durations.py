"""How long the last requests of each class took."""

from collections import deque

# Requests of a class that are kept. Where one in 30 takes long, nine of ten
# such samples have one of these.
MAX_SAMPLES = 64


class RecentDurations:
    """The last durations of each class, in seconds."""

    __slots__ = ('_samples_by_kind',)

    def __init__(self) -> None:
        """Create without samples."""
        self._samples_by_kind: dict[str, deque[float]] = {}

    def observe(self, kind: str, duration_s: float) -> None:
        """Add the duration of a request that has ended."""
        samples = self._samples_by_kind.get(kind)
        if samples is None:
            samples = deque(maxlen=MAX_SAMPLES)
            self._samples_by_kind[kind] = samples
        samples.append(duration_s)

    def longest_s(self, kind: str) -> float:
        """Return the longest of the last durations, 0 without any."""
        return max(self._samples_by_kind.get(kind, ()), default=0.0)
