"""Epochs of the store, and versions that name one content in all of them.

A store that comes back from a copy of its rows, which may be some seconds old,
begins a new epoch. Its own versions go back then and are given out again. Here
a version holds the epoch too, so a later content always has a higher one.
"""

from collections.abc import Callable

# More than a store gives out in its life.
VERSIONS_PER_EPOCH = 1_000_000_000_000
# The largest version is then a whole number that all writers of JSON keep.
MAX_EPOCH = 8_000

EpochListener = Callable[[int, int | None], None]


def make_version(epoch: int, number: int) -> int:
    """Return the version of a row to which the store gave a number.

    A row that is not there has version 0 in every epoch.
    """
    return epoch * VERSIONS_PER_EPOCH + number if number else 0


def epoch_of(version: int) -> int:
    """Return the epoch in which a version was given out."""
    return version // VERSIONS_PER_EPOCH


def number_of(version: int) -> int:
    """Return the number that the store itself gave for a version."""
    return version % VERSIONS_PER_EPOCH


class StoreEpochs:
    """Newest epoch that an answer of the store has told."""

    __slots__ = ('_listeners', '_newest')

    def __init__(self) -> None:
        """Know no epoch yet."""
        self._newest: int | None = None
        self._listeners: list[EpochListener] = []

    @property
    def newest(self) -> int:
        """Return the newest epoch, 0 before the first answer."""
        return self._newest or 0

    @property
    def are_reported(self) -> bool:
        """Tell whether the store tells epochs, as one that keeps copies."""
        return self._newest is not None

    def listen(self, listener: EpochListener) -> None:
        """Call back with each new epoch and the one known before, if any."""
        self._listeners.append(listener)

    def note(self, epoch: int) -> None:
        """Take the epoch of an answer."""
        before = self._newest
        if before is not None and epoch <= before:
            return
        self._newest = epoch
        for listener in self._listeners:
            listener(epoch, before)
