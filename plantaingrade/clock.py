"""Time sources."""

import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic time source."""

    def now(self) -> float:
        """Return the current reading in seconds."""


class BootClock:
    """Boot-time clock of the instance.

    All processes of an instance share this clock. Unlike ``CLOCK_MONOTONIC``,
    it also counts the time during which the instance is suspended.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since the instance booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
