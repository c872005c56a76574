"""Histogram with fixed upper bounds. Pure."""

from bisect import bisect_left
from collections.abc import Sequence

from msgspec import Struct, field


class Histogram(Struct):
    """Counts samples by upper bound and sums them."""

    bounds: Sequence[float]
    total: float = 0.0
    _counts: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start without samples; the last count is above all bounds."""
        self._counts = [0 for _ in (*self.bounds, None)]

    def observe(self, sample: float) -> None:
        """Count a sample; one that equals a bound counts under it."""
        self._counts[bisect_left(self.bounds, sample)] += 1
        self.total += sample

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the number of samples up to each bound."""
        names = [*(str(bound) for bound in self.bounds), '+Inf']
        counted = 0
        buckets = []
        for name, count in zip(names, self._counts, strict=True):
            counted += count
            buckets.append((name, float(counted)))
        return buckets
