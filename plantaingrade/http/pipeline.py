"""Order of the requests of one connection, without I/O.

Decides which requests begin before their turn. It answers the load of callers
that send further requests before they have received earlier answers.
"""

from collections import deque

from msgspec import Struct


class PipelineLimits(Struct, frozen=True):
    """Bounds for requests that begin before their turn.

    They hold for one connection, except ``max_total``, which is for all
    connections of a server together. ``max_held_bytes`` is the number of bytes
    of kept answers from which on no further request begins.
    """

    max_early: int = 16
    max_held_bytes: int = 262_144
    max_total: int = 256


class EarlyTotals(Struct):
    """Early requests and kept answers of all connections of a server."""

    requests: int = 0
    held_bytes: int = 0


class EarlyRequest(Struct, eq=False):
    """A request that began before its turn; its answer is kept until then."""

    held_bytes: int = 0


class Pipeline:
    """Requests of one connection, from the current one on.

    The current request is the first one that is not answered yet. Requests
    begin in order, so the early ones are directly behind it.
    """

    __slots__ = ('_early', '_is_closed', '_limits', '_totals', 'held_bytes')

    def __init__(self, limits: PipelineLimits, totals: EarlyTotals) -> None:
        """Start before the first request; ``totals`` are updated."""
        self._limits = limits
        self._totals = totals
        self._early: deque[EarlyRequest] = deque()
        self._is_closed = False
        self.held_bytes = 0

    @property
    def depth(self) -> int:
        """Return the number of early requests."""
        return len(self._early)

    def start_turn(self) -> EarlyRequest | None:
        """Make the next request the current one.

        Return it if it has begun already.
        """
        if not self._early:
            return None
        early = self._early.popleft()
        self._leave(early)
        return early

    def is_last_turn(self, *, is_draining: bool) -> bool:
        """Return whether the current answer closes a draining connection.

        While early requests are behind it, the last of them closes it.
        """
        return is_draining and not self._early

    def close(self) -> None:
        """Let no further request begin early."""
        self._is_closed = True

    def may_begin(
        self, *, is_current_idempotent: bool, is_idempotent: bool
    ) -> bool:
        """Return whether the next request may begin before its turn.

        A request that runs at most once would run twice if the answer before
        it closes the connection, since its caller sends it again then. Nothing
        begins behind it, since a caller may rely on its effects.
        """
        if self._is_closed or not (is_current_idempotent and is_idempotent):
            return False
        limits = self._limits
        is_full = (
            len(self._early) >= limits.max_early
            or self.held_bytes >= limits.max_held_bytes
            or self._totals.requests >= limits.max_total
        )
        return not is_full

    def begin(self, early: EarlyRequest) -> None:
        """Add the next request, which begins early."""
        self._early.append(early)
        self._totals.requests += 1

    def keep_answer(self, early: EarlyRequest, size: int) -> bool:
        """Count the answer of an early request, in bytes.

        Return False if the request is not early any more.
        """
        if early not in self._early:
            return False
        early.held_bytes = size
        self.held_bytes += size
        self._totals.held_bytes += size
        return True

    def withdraw(self, first: EarlyRequest | None = None) -> list[EarlyRequest]:
        """Remove an early request and those behind it, by default all.

        If ``first`` is the current request, all are removed, too. They are
        returned from the last one to the first.
        """
        count = len(self._early)
        if first in self._early:
            count -= self._early.index(first)
        withdrawn = [self._early.pop() for _ in range(count)]
        for early in withdrawn:
            self._leave(early)
        return withdrawn

    def _leave(self, early: EarlyRequest) -> None:
        self._totals.requests -= 1
        self._totals.held_bytes -= early.held_bytes
        self.held_bytes -= early.held_bytes
