"""Decide from recent outcomes whether the store would answer a change. Pure."""


class StoreAvailability:
    """Outcomes of the last read and the last change.

    The two are tracked apart because a store may answer reads and refuse
    changes.
    """

    __slots__ = ('_is_change_answered', '_is_read_answered', 'last_response_at')

    def __init__(self) -> None:
        """Assume that reads work; no change has been answered yet."""
        self._is_read_answered = True
        self._is_change_answered = False
        self.last_response_at = 0.0

    @property
    def is_available(self) -> bool:
        """Return whether the last read and the last change were answered."""
        return self._is_read_answered and self._is_change_answered

    def on_read(self, now: float, *, is_answered: bool) -> None:
        """Record whether a read was answered."""
        self._is_read_answered = is_answered
        self._note(now, is_answered=is_answered)

    def on_change(self, now: float, *, is_answered: bool) -> None:
        """Record whether a change was answered."""
        self._is_change_answered = is_answered
        self._note(now, is_answered=is_answered)

    def _note(self, now: float, *, is_answered: bool) -> None:
        if is_answered:
            self.last_response_at = now
