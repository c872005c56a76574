"""Make long bodies of other processes wait for their turn on the link."""

import asyncio
from collections.abc import Callable
from types import TracebackType

from plantaingrade.clock import Clock
from plantaingrade.requests.body_turns import BodyTurn, BodyTurns, BodyTurnState


class BodyTurnGate:
    """Lets the tasks that receive bodies wait, as ``BodyTurns`` decides."""

    __slots__ = ('_clock', '_timer', '_waiter_by_turn', 'turns')

    def __init__(self, turns: BodyTurns, clock: Clock) -> None:
        """Create a gate in front of the link."""
        self.turns = turns
        self._clock = clock
        self._waiter_by_turn: dict[BodyTurn, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def async_wait(
        self, turn: BodyTurn, on_wait: Callable[[], None]
    ) -> None:
        """Wait for a turn; ``on_wait`` is called if it is not at once."""
        self._wake(self.turns.offer(turn, self._clock.now()))
        if turn.state is not BodyTurnState.WAITING:
            return
        on_wait()
        waiter = asyncio.get_running_loop().create_future()
        self._waiter_by_turn[turn] = waiter
        self._schedule()
        try:
            await waiter
        finally:
            self._waiter_by_turn.pop(turn)

    def end(self, turn: BodyTurn) -> None:
        """End a turn, whether its body has arrived or not."""
        self._wake(self.turns.end(turn, self._clock.now()))

    def _begin(self) -> None:
        self._timer = None
        self._wake(self.turns.begin(self._clock.now()))

    def _wake(self, began: list[BodyTurn]) -> None:
        for turn in began:
            waiter = self._waiter_by_turn.get(turn)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
        self._schedule()

    def _schedule(self) -> None:
        """Set a timer after which others no longer wait for a stalled body."""
        stall_at = self.turns.next_stall_at()
        if stall_at is None or self._timer is not None:
            return
        delay_s = max(0.0, stall_at - self._clock.now())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._begin)


class BodyTurnHolder:
    """Context manager of the turn of one body, which ends at most once."""

    __slots__ = ('_gate', '_turn')

    def __init__(self, gate: BodyTurnGate, size: int) -> None:
        """Prepare the turn of a body of ``size`` bytes."""
        self._gate = gate
        self._turn = BodyTurn(size)

    async def async_wait(self, on_wait: Callable[[], None]) -> None:
        """Wait for the turn; ``on_wait`` is called if it is not at once."""
        await self._gate.async_wait(self._turn, on_wait)

    def end(self) -> None:
        """End the turn once the body has arrived."""
        if self._turn.state is not BodyTurnState.ENDED:
            self._gate.end(self._turn)

    def __enter__(self) -> 'BodyTurnHolder':
        """Return the holder."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the turn."""
        self.end()
