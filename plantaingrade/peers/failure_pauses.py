"""For how long a member that failed is not asked again. Pure.

Failure: an instance is lost for good, and its row remains. Without growing
pauses all members of its zone would ask it again and again.
"""

from msgspec import Struct

# A first failure: faults that cut off an instance last for seconds.
FIRST_PAUSE_S = 10.0
# Longest pause, after which a member that has returned is found again.
MAX_PAUSE_S = 160.0


class Pause(Struct, frozen=True):
    """The current pause of a member, and when it ends."""

    pause_s: float
    until: float


class FailurePauses:
    """Pauses by member, doubled with each failure in a row."""

    __slots__ = ('_pause_by_name',)

    def __init__(self) -> None:
        """Start without failures."""
        self._pause_by_name: dict[str, Pause] = {}

    def is_paused(self, name: str, now: float) -> bool:
        """Return whether a member is not asked now."""
        pause = self._pause_by_name.get(name)
        return pause is not None and now < pause.until

    def on_failure(self, name: str, now: float) -> None:
        """Do not ask a member for a while."""
        before = self._pause_by_name.get(name)
        pause_s = FIRST_PAUSE_S
        if before is not None:
            pause_s = min(MAX_PAUSE_S, 2 * before.pause_s)
        self._pause_by_name[name] = Pause(pause_s, now + pause_s)

    def on_success(self, name: str) -> None:
        """Forget the failures of a member."""
        self._pause_by_name.pop(name, None)
