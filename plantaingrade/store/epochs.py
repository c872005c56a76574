"""Epochs of the store, and versions that are unique across them.

A store that is restored from a backup, which may be some seconds old, starts a
new epoch. Its own version numbers then go back and are reused. Versions here
include the epoch, so that later content always has a higher version.
"""

from collections.abc import Callable

from plantaingrade.listeners import notify_all

# More than a store assigns in its lifetime.
VERSIONS_PER_EPOCH = 1_000_000_000_000
# Keeps the largest version below 2**53, so that any JSON codec preserves it.
MAX_EPOCH = 8_000

EpochListener = Callable[[int, int | None], None]


def make_version(epoch: int, number: int) -> int:
    """Return the version for a number assigned by the store.

    A row that does not exist has version 0 in every epoch.
    """
    return epoch * VERSIONS_PER_EPOCH + number if number else 0


def epoch_of(version: int) -> int:
    """Return the epoch in which a version was assigned."""
    return version // VERSIONS_PER_EPOCH


def number_of(version: int) -> int:
    """Return the number that the store assigned for a version."""
    return version % VERSIONS_PER_EPOCH


class StoreEpochs:
    """Newest epoch reported by the store."""

    __slots__ = ('_listeners', '_newest')

    def __init__(self) -> None:
        """Start without a known epoch."""
        self._newest: int | None = None
        self._listeners: list[EpochListener] = []

    @property
    def newest(self) -> int:
        """Return the newest epoch, 0 before the first answer."""
        return self._newest or 0

    @property
    def are_reported(self) -> bool:
        """Return whether the store reports epochs, as one with backups does."""
        return self._newest is not None

    def listen(self, listener: EpochListener) -> None:
        """Add a callback for each new epoch and the previous one, if any."""
        self._listeners.append(listener)

    def record(self, epoch: int) -> None:
        """Record the epoch of an answer; notify listeners if it is new."""
        before = self._newest
        if before is not None and epoch <= before:
            return
        self._newest = epoch
        notify_all(self._listeners, epoch, before)
