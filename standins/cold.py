"""How long the stand-in for a backend server stays cold."""

from plantaingrade.clock import Clock


class Coldness:
    """Time left until a server is warm."""

    __slots__ = ('_clock', '_until')

    def __init__(self, clock: Clock) -> None:
        """Start warm."""
        self._clock = clock
        self._until = 0.0

    def start(self, seconds: float) -> None:
        """Be cold from now on, for so long."""
        self._until = self._clock.now() + seconds

    @property
    def left_s(self) -> float:
        """Return the time until the server is warm."""
        return max(0.0, self._until - self._clock.now())
