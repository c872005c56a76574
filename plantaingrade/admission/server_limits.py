"""All rate limits of the local backend server; performs no I/O.

Load that this answers to: a server tells that it takes far fewer requests than
are asked of it. Callers that are refused return when the rate has room for
them, each in its turn: told one time, they would all return at once.
"""

from plantaingrade.admission.cold import ColdAllowance
from plantaingrade.admission.named import NamedAllowance


class ServerLimits:
    """Limits of a server that is cold, names a limit, or both."""

    __slots__ = ('_next_turn_at', 'cold', 'named')

    def __init__(self) -> None:
        """Create limits that are not in force."""
        self.cold = ColdAllowance()
        self.named = NamedAllowance()
        self._next_turn_at = 0.0

    def are_in_force(self, now: float) -> bool:
        """Return whether any limit is in force."""
        return self.named.per_s is not None or self.cold.is_limited(now)

    def admits(
        self, running: int, now: float, *, reserve_share: float = 0.0
    ) -> bool:
        """Return whether a further request may be sent now."""
        if self.named.response_wait_s(running, now):
            return False
        return not self.wait_s(now, reserve_share=reserve_share)

    def spend(self, now: float) -> None:
        """Count a request that is sent."""
        self.cold.spend(now)
        self.named.spend(now)

    def wait_s(
        self, now: float, ahead: int = 0, *, reserve_share: float = 0.0
    ) -> float:
        """Return the seconds until a request behind ``ahead`` others may go.

        It leaves ``reserve_share`` of the reserve for more urgent requests.
        """
        return max(
            self.cold.wait_s(now, ahead, reserve_share=reserve_share),
            self.named.wait_s(now, ahead, reserve_share=reserve_share),
        )

    def usable_slots(self, slots: float, work_s: float, now: float) -> float:
        """Return how many slots the limits allow to keep busy."""
        usable = self.cold.usable_slots(slots, work_s, now)
        return self.named.usable_slots(usable, work_s)

    def take_turn_s(self, now: float, wait_s: float, latest: float) -> float:
        """Return the seconds after which a refused caller should return.

        ``wait_s`` is the wait of its class. Takes the turn unless it comes
        after ``latest``, when the caller has no use for it.
        """
        turn_at = max(now + wait_s, self._next_turn_at)
        if turn_at <= latest:
            self._next_turn_at = turn_at + self._interval_s(now)
        return turn_at - now

    def _interval_s(self, now: float) -> float:
        """Return the time between two requests at the rate in force."""
        return self.wait_s(now, 1) - self.wait_s(now, 0)
