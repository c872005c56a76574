"""Track the rate limit that the local backend server names in its answers.

Performs no I/O. Answers on different connections may arrive in another order
than they were sent. An answer is certainly newer than another one if its
request was sent after the other one had arrived. Only such an answer raises or
ends a limit. An answer that lowers the limit applies at once: if it was late,
the next answer corrects it.
"""

from msgspec import Struct

from plantaingrade.backends.report import (
    LimitNotice,
    NamedLimit,
    NoLimit,
    UnreadableLimit,
)


class LimitChange(Struct, frozen=True):
    """A limit before and after an answer, in requests per second, or None."""

    before: float | None
    after: float | None


class LimitTracker:
    """Tracks the limit that one incarnation of the server names.

    ``per_s`` is the limit in force, in requests per second, or None.
    ``is_heard`` is set once a response to a request has arrived: until then it
    is unknown whether the server names a limit.
    """

    __slots__ = ('_learned_at', '_unreadable', 'is_heard', 'per_s')

    def __init__(self) -> None:
        """Start without an answer of the server."""
        self.reset()

    def reset(self) -> None:
        """Begin with an incarnation that has not answered yet."""
        self.per_s: float | None = None
        self.is_heard = False
        self._learned_at = 0.0
        self._unreadable: UnreadableLimit | None = None

    def on_response(
        self, notice: LimitNotice, sent_at: float, now: float
    ) -> LimitChange | UnreadableLimit | None:
        """Apply a response to a request; it ends a limit that it omits."""
        self.is_heard = True
        if isinstance(notice, NoLimit):
            return self._apply(None, sent_at, now)
        return self.on_notice(notice, sent_at, now)

    def on_notice(
        self, notice: LimitNotice, sent_at: float, now: float
    ) -> LimitChange | UnreadableLimit | None:
        """Apply any answer to a call that was sent at ``sent_at``.

        Returns the change that it makes, or a limit that cannot be read and
        has not been returned before. Such a limit changes nothing.
        """
        match notice:
            case NamedLimit(per_s):
                return self._apply(per_s, sent_at, now)
            case UnreadableLimit() if notice != self._unreadable:
                self._unreadable = notice
                return notice
        return None

    def _apply(
        self, per_s: float | None, sent_at: float, now: float
    ) -> LimitChange | None:
        if per_s == self.per_s:
            return None
        if not self._is_lower(per_s) and sent_at < self._learned_at:
            return None
        change = LimitChange(self.per_s, per_s)
        self.per_s = per_s
        self._learned_at = now
        return change

    def _is_lower(self, per_s: float | None) -> bool:
        if per_s is None:
            return False
        return self.per_s is None or per_s < self.per_s
