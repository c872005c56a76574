"""Policies to compare; the first is what the product does."""

from collections.abc import Sequence

from msgspec import Struct

from plantaingrade.balance.entity import Room
from plantaingrade.peers.entity import Member


class Policy(Struct, frozen=True):
    """A way to decide; ``asks_rooms`` places by what is free now."""

    name: str
    asks_rooms: bool = True

    def choosing(self, instance) -> tuple:
        """Return what the choice of servers is made with."""
        if self.asks_rooms:
            return (instance.peers.async_ask_rooms,)
        return (_async_ask_nobody,)


async def _async_ask_nobody(
    members: Sequence[Member], kind: str, priority: int
) -> dict[str, Room]:
    return {}


POLICY_BY_NAME = {
    each.name: each
    for each in (Policy('present'), Policy('loads', asks_rooms=False))
}
