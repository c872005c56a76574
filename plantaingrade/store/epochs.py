"""Which copy of its rows the store goes by."""

from collections.abc import Callable

EpochListener = Callable[[int, int | None], None]


class StoreEpochs:
    """Newest epoch that an answer of the store has told.

    A store that comes back from a copy of its rows, which may be some seconds
    old, begins a new epoch. Numbers of epochs only rise.
    """

    __slots__ = ('_listeners', '_newest')

    def __init__(self) -> None:
        """Know no epoch yet."""
        self._newest: int | None = None
        self._listeners: list[EpochListener] = []

    @property
    def newest(self) -> int:
        """Return the newest epoch, 0 before the first answer."""
        return self._newest or 0

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
