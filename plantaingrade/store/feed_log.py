"""Changes that a waiting member has received, for those that ask it. Pure."""

from collections import deque

from plantaingrade.store.entity import Changes, FeedOutcome, Row
from plantaingrade.store.epochs import epoch_of

# Changed rows that are kept. Members that ask for older ones read the store.
MAX_ROWS = 64
UNKNOWN = -1


class FeedLog:
    """The last changes of one table, without gaps.

    It is only passed on while the last wait succeeded, and did so recently: a
    member that is paused or cut off from the store must not report that nothing
    has changed.
    """

    __slots__ = (
        '_first',
        '_has_failed',
        '_last',
        '_now_s',
        '_rows',
        '_valid_until',
    )

    def __init__(self) -> None:
        """Start without any known change."""
        self._rows: deque[Row] = deque()
        # All changes after the first version and up to the last one are kept.
        self._first = UNKNOWN
        self._last = UNKNOWN
        self._has_failed = False
        self._now_s = 0.0
        self._valid_until = 0.0

    def begin(self, after: int, overdue_at: float) -> None:
        """Begin a wait for changes after a version, overdue at a local time.

        A version that no wait has returned was read from the store just before.
        """
        if after != self._last:
            self._rows.clear()
            self._first = after
            self._last = after
            self._has_failed = False
        if not self._has_failed:
            self._valid_until = overdue_at

    def end(self, outcome: FeedOutcome, next_due_at: float) -> None:
        """End a wait; the next one begins before ``next_due_at``."""
        self._has_failed = not isinstance(outcome, Changes)
        if not isinstance(outcome, Changes):
            self._valid_until = 0.0
            return
        self._rows.extend(outcome.rows)
        while len(self._rows) > MAX_ROWS:
            self._first = self._rows.popleft().version
        self._last = outcome.version
        self._now_s = outcome.now_s
        self._valid_until = next_due_at

    def find_since(self, after: int, now: float) -> Changes | None:
        """Return the changes after a version, None if they are not known."""
        if now > self._valid_until or after < self._first:
            return None
        if epoch_of(after) != epoch_of(self._last):
            return None
        rows = tuple(row for row in self._rows if row.version > after)
        return Changes(rows, max(after, self._last), self._now_s)
