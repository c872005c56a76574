"""Turns of long bodies on the link of the receiving instance; performs no I/O.

Load that this answers to: many instances send bodies to one at a time, faster
than its link carries them. Calls, answers and the end of connections then wait
behind them for seconds, so that the instance runs requests whose callers have
left, and seems to be lost to others. The receiver lets one body in after the
other instead: the rest waits at the senders, and what can't arrive in time is
refused before it is sent.
"""

from collections import deque
from enum import StrEnum

from msgspec import Struct

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
# Shorter bodies are sent without a turn: they take less of a slow link than
# asking would delay them.
MIN_TURN_BYTES = 16_384
# Bodies that arrive at the same time, in seconds of the link's capacity. One
# alone would leave the link idle while its sender does something else.
WINDOW_S = 0.2
# Others no longer wait for a body that has not arrived after ``STALL_S`` plus
# this multiple of the time that the link needs: its sender may be lost.
STALL_MULTIPLE = 3.0
STALL_S = 0.3
# Weight of the latest body in the usual length of those of a class.
LENGTH_WEIGHT = 0.1


def needs_body_turn(size: int) -> bool:
    """Return whether a body of ``size`` bytes is sent in its turn."""
    return size >= MIN_TURN_BYTES


class BodyTurnState(StrEnum):
    """Progress of a body, from its request to its arrival."""

    NEW = 'new'
    WAITING = 'waiting'
    ARRIVING = 'arriving'
    # Arriving for so long that others no longer wait for it.
    STALLED = 'stalled'
    ENDED = 'ended'


class BodyTurn(Struct, eq=False):
    """The turn of one body of ``size`` bytes."""

    size: int
    state: BodyTurnState = BodyTurnState.NEW
    stalls_at: float = 0.0


class BodyTurns:
    """Bodies that arrive or wait for their turn, in order."""

    __slots__ = (
        '_arriving',
        '_length_by_kind',
        '_rate',
        '_waiting',
        'arriving_bytes',
        'waiting_bytes',
    )

    def __init__(self, link_mbps: float) -> None:
        """Start with an idle link; its rate is 0 if it is not known."""
        # Bytes per second.
        self._rate = link_mbps * BITS_PER_MBIT / BITS_PER_BYTE
        self._waiting: deque[BodyTurn] = deque()
        self._arriving: dict[BodyTurn, None] = {}
        self._length_by_kind: dict[str, float] = {}
        self.arriving_bytes = 0
        self.waiting_bytes = 0

    @property
    def waiting(self) -> int:
        """Return how many bodies wait for their turn."""
        return len(self._waiting)

    def arrives_in_s(self, size: int) -> float:
        """Return after how long a further body would have arrived."""
        if not self._rate:
            return 0.0
        ahead = self.arriving_bytes + self.waiting_bytes
        return (ahead + size) / self._rate

    def expected_wait_s(self, kind: str) -> float:
        """Return how long a request of a class would wait for its body."""
        size = round(self._length_by_kind.get(kind, 0.0))
        return self.arrives_in_s(size) if needs_body_turn(size) else 0.0

    def observe(self, kind: str, size: int) -> None:
        """Learn the usual length of the bodies of a class, in bytes."""
        usual = self._length_by_kind.get(kind, size)
        self._length_by_kind[kind] = usual + LENGTH_WEIGHT * (size - usual)

    def offer(self, turn: BodyTurn, now: float) -> list[BodyTurn]:
        """Add a body; return the turns that begin."""
        turn.state = BodyTurnState.WAITING
        self._waiting.append(turn)
        self.waiting_bytes += turn.size
        return self.begin(now)

    def end(self, turn: BodyTurn, now: float) -> list[BodyTurn]:
        """Remove a body that has arrived or was given up; return who begins."""
        match turn.state:
            case BodyTurnState.WAITING:
                self._waiting.remove(turn)
                self.waiting_bytes -= turn.size
            case BodyTurnState.ARRIVING:
                self._remove_arriving(turn)
        turn.state = BodyTurnState.ENDED
        return self.begin(now)

    def begin(self, now: float) -> list[BodyTurn]:
        """Return the turns that begin now."""
        self._skip_stalled(now)
        began = []
        while self._waiting and self._has_room(self._waiting[0]):
            turn = self._waiting.popleft()
            self.waiting_bytes -= turn.size
            self._start(turn, now)
            began.append(turn)
        return began

    def next_stall_at(self) -> float | None:
        """Return when ``begin`` must run if no body arrives until then."""
        if not self._waiting or not self._arriving:
            return None
        return min(turn.stalls_at for turn in self._arriving)

    def _has_room(self, turn: BodyTurn) -> bool:
        if not self._rate or not self._arriving:
            return True
        return self.arriving_bytes + turn.size <= self._rate * WINDOW_S

    def _start(self, turn: BodyTurn, now: float) -> None:
        turn.state = BodyTurnState.ARRIVING
        self._arriving[turn] = None
        self.arriving_bytes += turn.size
        transfer_s = self.arriving_bytes / self._rate if self._rate else 0.0
        turn.stalls_at = now + STALL_S + STALL_MULTIPLE * transfer_s

    def _skip_stalled(self, now: float) -> None:
        for turn in list(self._arriving):
            if turn.stalls_at <= now:
                self._remove_arriving(turn)
                turn.state = BodyTurnState.STALLED

    def _remove_arriving(self, turn: BodyTurn) -> None:
        self._arriving.pop(turn)
        self.arriving_bytes -= turn.size
