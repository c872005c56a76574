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
    ``awaits_response`` is set while no response of the incarnation to a request
    has arrived.
    """

    __slots__ = (
        '_learned_at',
        '_may_have_named',
        '_unreadable',
        'awaits_response',
        'per_s',
    )

    def __init__(self) -> None:
        """Create a tracker before any incarnation is known."""
        self.awaits_response = False
        # A previous process may have been told a limit.
        self._may_have_named = True
        self._forget()

    @property
    def is_unknown(self) -> bool:
        """Return whether the server may have named a limit unknown here."""
        return self.awaits_response and self._may_have_named

    def on_new_incarnation(self) -> None:
        """Begin with an incarnation that has not answered a request yet.

        If the last answer to this process named no limit, none is in force,
        also if the server did not start anew after all: every answer to a
        request passes through this process.
        """
        self._may_have_named |= self.per_s is not None
        self.awaits_response = True
        self._forget()

    def on_response(
        self, notice: LimitNotice, sent_at: float, now: float
    ) -> LimitChange | UnreadableLimit | None:
        """Apply a response to a request; it ends a limit that it omits."""
        self.awaits_response = False
        self._may_have_named = not isinstance(notice, NoLimit)
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

    def _forget(self) -> None:
        self.per_s: float | None = None
        self._learned_at = 0.0
        self._unreadable: UnreadableLimit | None = None

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
