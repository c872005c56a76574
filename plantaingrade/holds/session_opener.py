"""Open sessions with the backend server beside this process."""

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import (
    GRANT_PERIOD_S,
    MAX_OPEN_PAUSE_S,
    MIN_OPEN_PAUSE_S,
)
from plantaingrade.holds.orders import ServerOrders


class SessionOpener:
    """Opens sessions, with growing pauses until an order is answered.

    Each attempt costs processor time, and each session needs new fences.
    """

    __slots__ = (
        '_clock',
        '_log',
        '_next_at',
        '_orders',
        '_pause_s',
        'has_failed',
    )

    def __init__(
        self, orders: ServerOrders, clock: Clock, log: EventLog
    ) -> None:
        """Start without a session."""
        # Whether the last attempt to reach the server failed.
        self.has_failed = False
        self._orders = orders
        self._clock = clock
        self._log = log
        self._next_at = 0.0
        self._pause_s = MIN_OPEN_PAUSE_S

    @property
    def pause_s(self) -> float:
        """Return the time until grants should be checked again."""
        if self._orders.session:
            return GRANT_PERIOD_S
        left_s = self._next_at - self._clock.now()
        return min(GRANT_PERIOD_S, max(MIN_OPEN_PAUSE_S, left_s))

    async def async_open(self) -> None:
        """Open a session with the server if there is none and a try is due."""
        now = self._clock.now()
        if self._orders.session or now < self._next_at:
            return
        self._next_at = now + self._pause_s
        self._pause_s = min(MAX_OPEN_PAUSE_S, 2 * self._pause_s)
        is_open = await self._orders.async_open()
        self.has_failed = not is_open
        if is_open:
            self._log.write('server-session', number=self._orders.session)

    def on_answer(self) -> None:
        """Reset the pause: the server has answered an order."""
        self._pause_s = MIN_OPEN_PAUSE_S

    def on_new_incarnation(self) -> None:
        """Try at once: a new incarnation of the server was reported."""
        self._next_at = 0.0
        self._pause_s = MIN_OPEN_PAUSE_S
