"""The members that may take keys, with their loads."""

import random

from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.holds.plans import live_members
from plantaingrade.holds.registry import Registry
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

# A member that leaves says it has this load, so that nobody chooses it.
LEAVING_SHARE = 100.0
# Members told of the own load at a time, and how many of them in other zones if
# there are enough near: a zone as a whole may have too much.
TELL_COUNT = 8
TELL_FAR = 2
# Time for which the others leave the map to a member that leaves, in seconds.
YIELD_S = 2.0
# Assumed of a member with a lease that has not told its load.
NO_LOAD = Load(0.5, 0.0, 1)


class ServicePeers:
    """Other members of the own service."""

    __slots__ = (
        '_directory',
        '_leaving_since_by_name',
        '_own',
        '_registry',
        'loads',
    )

    def __init__(
        self,
        own: Member,
        registry: Registry,
        directory: Directory,
        loads: PeerLoads,
    ) -> None:
        """Know them by rows in the store, by messages and by their loads."""
        self._own = own
        self._registry = registry
        self._directory = directory
        self._leaving_since_by_name: dict[str, float] = {}
        self.loads = loads

    def names(self) -> list[str]:
        """Return all other members of the service."""
        return [
            member.name
            for member in self._directory.serving(self._own.service)
            if member.name != self._own.name
        ]

    def listeners(self, chance: random.Random) -> list[str]:
        """Return some members to tell of the own load, most of them near.

        Who has too much looks in its own zone first, and datagrams between
        zones are dear.
        """
        own_zone = self._own.zone
        near, far = [], []
        for member in self._directory.serving(self._own.service):
            if member.name != self._own.name:
                side = near if member.zone == own_zone else far
                side.append(member.name)
        far_count = min(len(far), max(TELL_FAR, TELL_COUNT - len(near)))
        near_count = min(len(near), TELL_COUNT - far_count)
        return chance.sample(near, near_count) + chance.sample(far, far_count)

    def must_yield(self, now: float) -> bool:
        """Tell whether a member that leaves has keys to give away first.

        Changes of one map wait for each other, and nobody serves the keys of
        a member that leaves meanwhile.
        """
        owners = self._registry.key_map.owners()
        known = self._leaving_since_by_name
        self._leaving_since_by_name = {
            name: known.get(name, now)
            for name in self.names()
            if name in owners and self._is_leaving(name, now)
        }
        return any(
            now - since < YIELD_S
            for since in self._leaving_since_by_name.values()
        )

    def _is_leaving(self, name: str, now: float) -> bool:
        load = self.loads.find(name, now)
        return load is not None and load.share >= LEAVING_SHARE

    def receivers(self, now: float) -> dict[str, Load]:
        """Return the members that may take keys."""
        rows = live_members(self._registry)
        receivers: dict[str, Load] = {}
        for name in self.names():
            load = self.loads.find(name, now)
            if load is None and name in rows:
                load = NO_LOAD
            is_out = self._directory.is_suspect(name, now)
            if load is not None and not is_out:
                receivers[name] = load
        return {
            name: load
            for name, load in receivers.items()
            if load.share < LEAVING_SHARE
        }
