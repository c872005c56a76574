"""Whether the store would probably answer a change now. Pure."""


class StoreAnswers:
    """What became of the last reading and the last change.

    A store may refuse changes alone.
    """

    __slots__ = ('_is_change_answered', '_is_read_answered', 'last_at')

    def __init__(self) -> None:
        """Know of no answer; nothing was read in vain yet."""
        self._is_read_answered = True
        self._is_change_answered = False
        self.last_at = 0.0

    @property
    def are_coming(self) -> bool:
        """Tell whether the last call of each kind had an answer."""
        return self._is_read_answered and self._is_change_answered

    def on_read(self, now: float, *, is_answered: bool) -> None:
        """Note what became of a reading."""
        self._is_read_answered = is_answered
        self._note(now, is_answered=is_answered)

    def on_change(self, now: float, *, is_answered: bool) -> None:
        """Note what became of a change."""
        self._is_change_answered = is_answered
        self._note(now, is_answered=is_answered)

    def _note(self, now: float, *, is_answered: bool) -> None:
        if is_answered:
            self.last_at = now
