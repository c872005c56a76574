"""Cold period of the stand-in for a backend server."""

from plantaingrade.clock import Clock


class ColdPeriod:
    """Tracks when a server is warm."""

    __slots__ = ('_clock', '_until')

    def __init__(self, clock: Clock) -> None:
        """Create a period that is over: the server is warm."""
        self._clock = clock
        self._until = 0.0

    def start(self, seconds: float) -> None:
        """Start a cold period of some seconds from now."""
        self._until = self._clock.now() + seconds

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the server is warm, 0 if it is."""
        return max(0.0, self._until - self._clock.now())
