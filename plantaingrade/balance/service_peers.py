"""Other members of the own service, with their loads."""

import random
from bisect import bisect

from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.holds.plans import live_members
from plantaingrade.holds.registry import Registry
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

# Load share reported by a leaving member, so that no peer selects it.
LEAVING_SHARE = 100.0
# Number of members that receive a published load, and how many of them are in
# other zones if the own zone has enough: a whole zone may be overloaded.
PUBLISH_COUNT = 8
OTHER_ZONES_COUNT = 2
# Maximum time in seconds for which moves are postponed for a leaving member.
MAX_YIELD_S = 2.0
# Load assumed for a member that has a lease but has not reported its load.
ASSUMED_LOAD = Load(0.5, 0.0, 1)


class ServicePeers:
    """Other members of the own service and their loads."""

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
        """Use store rows, the member directory and reported loads."""
        self._own = own
        self._registry = registry
        self._directory = directory
        self._leaving_since_by_name: dict[str, float] = {}
        self.loads = loads

    def names(self) -> list[str]:
        """Return the names of all other members of the service.

        They begin behind the own one in their order, so that of members with
        equal loads not all choose the same.
        """
        own_name = self._own.name
        names = [
            member.name
            for member in self._directory.serving(self._own.service)
            if member.name != own_name
        ]
        first = bisect(names, own_name)
        return names[first:] + names[:first]

    def publish_targets(self, rng: random.Random) -> list[str]:
        """Return members to publish the own load to, mostly in the own zone.

        Overloaded members search their own zone first, and datagrams between
        zones are expensive.
        """
        own_zone = self._own.zone
        same_zone, other_zones = [], []
        for member in self._directory.serving(self._own.service):
            if member.name != self._own.name:
                group = same_zone if member.zone == own_zone else other_zones
                group.append(member.name)
        other_zones_count = min(
            len(other_zones),
            max(OTHER_ZONES_COUNT, PUBLISH_COUNT - len(same_zone)),
        )
        same_zone_count = min(len(same_zone), PUBLISH_COUNT - other_zones_count)
        return rng.sample(same_zone, same_zone_count) + rng.sample(
            other_zones, other_zones_count
        )

    def must_yield(self, now: float) -> bool:
        """Return whether moves must wait for a leaving member that has keys.

        Changes of a key map wait for each other, and the keys of the leaving
        member are unserved while its change waits.
        """
        owners = self._registry.key_map.owners()
        known = self._leaving_since_by_name
        self._leaving_since_by_name = {
            name: known.get(name, now)
            for name in self.names()
            if name in owners and self._is_leaving(name, now)
        }
        return any(
            now - since < MAX_YIELD_S
            for since in self._leaving_since_by_name.values()
        )

    def _is_leaving(self, name: str, now: float) -> bool:
        load = self.loads.find(name, now)
        return load is not None and load.share >= LEAVING_SHARE

    def receivers(self, now: float) -> dict[str, Load]:
        """Return the members that may acquire keys, with their loads."""
        rows = live_members(self._registry)
        receivers: dict[str, Load] = {}
        for name in self.names():
            load = self.loads.find(name, now)
            if load is None and name in rows:
                load = ASSUMED_LOAD
            is_suspect = self._directory.is_suspect(name, now)
            if load is not None and not is_suspect:
                receivers[name] = load
        return {
            name: load
            for name, load in receivers.items()
            if load.share < LEAVING_SHARE
        }
