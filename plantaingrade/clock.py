"""Time sources."""

import time
from typing import Protocol


class Clock(Protocol):
    """Return seconds that never run backwards."""

    def now(self) -> float:
        """Return the current reading in seconds."""


class BootClock:
    """Read the boot-time clock of the instance.

    Every process of one instance shares this clock, and it goes on counting
    while the instance is suspended, which ``CLOCK_MONOTONIC`` does not.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since the instance booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
