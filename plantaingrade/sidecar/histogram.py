"""Counts of readings by fixed bounds. Pure."""

from bisect import bisect_left
from collections.abc import Sequence

from msgspec import Struct, field


class Histogram(Struct):
    """How many readings lie up to each bound, and their sum."""

    bounds: Sequence[float]
    total: float = 0.0
    _counts: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start with no readings; the last count is of those above all."""
        self._counts = [0 for _ in (*self.bounds, None)]

    def observe(self, reading: float) -> None:
        """Count a reading; one that equals a bound lies up to it."""
        self._counts[bisect_left(self.bounds, reading)] += 1
        self.total += reading

    def cumulative(self) -> list[tuple[str, float]]:
        """Return for each bound how many readings lie up to it."""
        names = [*(str(bound) for bound in self.bounds), '+Inf']
        counted = 0
        buckets = []
        for name, count in zip(names, self._counts, strict=True):
            counted += count
            buckets.append((name, float(counted)))
        return buckets
