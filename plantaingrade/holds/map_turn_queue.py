"""Order the changes of a service's map by many members. Pure.

Load: dozens of members change the map within the same second. A change succeeds
only from the newest version, so of changes sent at the same time all but one
fail; sent one after the other, each succeeds.
"""

from enum import IntEnum

from msgspec import Struct

# A turn ends this long after it was granted, if its member has not returned it.
# A change takes one transaction and a round trip, some 20 ms.
TURN_LIMIT_S = 0.15
# Usual duration of a turn, until it is known better.
USUAL_TURN_S = 0.02
# Weight of the last turn in the mean duration.
NEWEST_WEIGHT = 0.1
# A member that waits repeats its request at most this much later.
MAX_REPEAT_S = 0.2
# A waiting member that has not repeated its request for this long is gone.
MAX_SILENCE_S = 0.5


class MapTurnRank(IntEnum):
    """Urgency of a change; the lowest value comes first."""

    # Keys whose owner is lost, leaves, or has a restarted server.
    UNSERVED = 0
    # Keys that could as well stay where they are.
    DEFERRABLE = 1


class WaitingMapTurn(Struct):
    """A member's request for a turn, numbered by its order of arrival.

    ``number`` is the one that the member has given to the request.
    """

    name: str
    address: str
    number: int
    rank: int
    arrival: int
    repeated_at: float


class MapTurnQueue:
    """First come, first served within a rank; one member at a time."""

    __slots__ = (
        '_arrivals',
        '_granted_at',
        '_turn_s',
        '_waiting',
        'granted',
        'lapsed',
    )

    def __init__(self) -> None:
        """Start without any request."""
        self._arrivals = 0
        # The turn granted last, until it ends.
        self.granted: WaitingMapTurn | None = None
        self._granted_at = 0.0
        self._waiting: dict[str, WaitingMapTurn] = {}
        self._turn_s = USUAL_TURN_S
        # Turns that were not returned in time.
        self.lapsed = 0

    def request(
        self, name: str, address: str, number: int, rank: int, now: float
    ) -> None:
        """Add a request, or record that a member repeats it.

        A member waits for one turn at a time: a request with another number
        replaces its earlier one.
        """
        if self.is_granted(name, number):
            return
        known = self._waiting.get(name)
        if known is not None and known.number == number:
            known.repeated_at = now
            return
        self._arrivals += 1
        self._waiting[name] = WaitingMapTurn(
            name, address, number, rank, self._arrivals, now
        )

    def end(self, name: str, number: int, now: float) -> None:
        """End a turn, or withdraw its request."""
        if self.is_granted(name, number):
            self._end_granted(now)
        known = self._waiting.get(name)
        if known is not None and known.number == number:
            self._waiting.pop(name)

    def is_granted(self, name: str, number: int) -> bool:
        """Return whether this turn has been granted and has not ended."""
        granted = self.granted
        if granted is None:
            return False
        return granted.name == name and granted.number == number

    def advance(self, now: float) -> WaitingMapTurn | None:
        """Grant the next turn if none is granted; return it if so."""
        if self.granted is not None:
            if now < self._granted_at + TURN_LIMIT_S:
                return None
            self.lapsed += 1
            self._end_granted(now)
        self._remove_silent(now)
        if not self._waiting:
            return None
        following = min(self._waiting.values(), key=_place)
        self._waiting.pop(following.name)
        self.granted = following
        self._granted_at = now
        return following

    def expected_wait_s(self, name: str) -> float:
        """Return the time until the turn of a waiting member, in seconds."""
        own = self._waiting.get(name)
        if own is None:
            return 0.0
        earlier = sum(
            _place(each) < _place(own) for each in self._waiting.values()
        )
        if self.granted is not None:
            earlier += 1
        return earlier * self._turn_s

    def _end_granted(self, now: float) -> None:
        """End the turn that is granted, and learn how long turns take."""
        taken_s = min(TURN_LIMIT_S, now - self._granted_at)
        self._turn_s += NEWEST_WEIGHT * (taken_s - self._turn_s)
        self.granted = None

    def _remove_silent(self, now: float) -> None:
        self._waiting = {
            name: each
            for name, each in self._waiting.items()
            if now <= each.repeated_at + MAX_SILENCE_S
        }


def _place(waiting: WaitingMapTurn) -> tuple[int, int]:
    return waiting.rank, waiting.arrival
