"""Map the store's clock to the local clock of this instance."""

from msgspec import Struct

# Maximum age of the best sample. Two steady clocks may drift apart by some
# parts in ten thousand, which over 60 s stays below CLOCK_MARGIN_S.
SAMPLE_MAX_AGE_S = 60.0
# Allowance for drift between the two clocks and for rounding to whole
# milliseconds in the store's answers.
CLOCK_MARGIN_S = 0.05


class ClockSample(Struct, frozen=True):
    """The store's clock read ``store_s`` within [sent_at, received_at]."""

    sent_at: float
    received_at: float
    store_s: float


class StoreClock:
    """Estimate and bound the store's time from its answers."""

    __slots__ = ('_best', '_latest')

    def __init__(self) -> None:
        """Start without samples."""
        self._best: ClockSample | None = None
        self._latest: ClockSample | None = None

    def observe(
        self, sent_at: float, received_at: float, store_s: float
    ) -> None:
        """Record the clock reading of an answer."""
        sample = ClockSample(sent_at, received_at, store_s)
        self._latest = sample
        best = self._best
        if best is None or _is_better(sample, best):
            self._best = sample

    def estimate(self, local_s: float) -> float | None:
        """Return the store's estimated time at a local time, if known."""
        if self._best is None:
            return None
        middle = (self._best.sent_at + self._best.received_at) / 2
        return self._best.store_s + local_s - middle

    def earliest_local(self, store_s: float) -> float:
        """Return a local time before which the store cannot read ``store_s``.

        The store read its clock after the call was sent, so counting from the
        time of sending can only be early. A lease holder that stops then never
        exceeds its term by the store's clock, however long the answer took.
        """
        if self._best is None:
            return 0.0
        ahead_s = store_s - self._best.store_s
        return self._best.sent_at + ahead_s - CLOCK_MARGIN_S


def _is_better(sample: ClockSample, best: ClockSample) -> bool:
    if sample.received_at - best.received_at > SAMPLE_MAX_AGE_S:
        return True
    spread = sample.received_at - sample.sent_at
    return spread <= best.received_at - best.sent_at
