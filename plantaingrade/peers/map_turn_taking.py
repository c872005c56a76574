"""Interface through which a member waits for its turn to change a map."""

from typing import Protocol

from msgspec import Struct

from plantaingrade.peers.entity import MapChanged


class MapTurn(Struct, frozen=True):
    """A turn granted by a member, until a local time.

    ``version`` is the newest version of the map that the member knows.
    """

    granter: str
    number: int
    version: int
    until: float


class MapTurnTaking(Protocol):
    """Put the changes of several members in an order.

    A turn is advice: a change without one is as valid, but more likely to
    conflict with another.
    """

    async def async_take(self, rank: int, limit_s: float) -> MapTurn | None:
        """Wait for a turn; return None if nobody grants one in time."""

    def give_back(self, turn: MapTurn, change: MapChanged | None) -> None:
        """End a turn after its change has been committed or has failed."""

    def expected_wait_s(self) -> float:
        """Return how long a turn would take by the last answer, in seconds."""


class NoMapTurns:
    """Grants no turns, so that changes are sent at once."""

    async def async_take(self, rank: int, limit_s: float) -> MapTurn | None:
        """Return None at once."""

    def give_back(self, turn: MapTurn, change: MapChanged | None) -> None:
        """Do nothing: there is no turn."""

    def expected_wait_s(self) -> float:
        """Return 0: nobody waits."""
        return 0.0
