"""Choose the members that wait for changes at the store for the others. Pure.

Load: each change of the operators' table answers the waits of all members, and
each wait that ends without a change has a price as well. A few members of each
availability zone wait, and pass changes on. Failure: some of them are lost,
paused or silently cut off from the store. The others ask them in turn, also in
other zones, so that one that has nothing to tell delays a change by one wait.
"""

import zlib
from collections.abc import Iterable

from plantaingrade.peers.entity import Member
from plantaingrade.peers.failure_pauses import FailurePauses
from plantaingrade.peers.recipients import group_by_zone

# Members that wait in each zone, so that one is left when another is lost.
WATCHERS_PER_ZONE = 2
# Fewer members wait for themselves: their long waits cost less than short ones
# of the watchers.
MIN_MEMBERS = 24


def are_needed(members: list[Member]) -> bool:
    """Return whether some members wait for the others."""
    return len(members) >= MIN_MEMBERS


class Watchers:
    """Watchers as seen by one member, which asks them in turn."""

    __slots__ = ('_own', '_asked', 'failures')

    def __init__(self, own: Member) -> None:
        """Start with all watchers in order."""
        self._own = own
        self.failures = FailurePauses()
        # Number of times that a watcher was chosen.
        self._asked = 0

    def is_watcher(self, members: list[Member]) -> bool:
        """Return whether the own member waits at the store for others."""
        own_zone = [each for each in members if each.zone == self._own.zone]
        watchers = _first(own_zone, WATCHERS_PER_ZONE)
        return any(each.name == self._own.name for each in watchers)

    def next_watcher(self, members: list[Member], now: float) -> Member | None:
        """Return the watcher to ask now, None if all have failed."""
        usable = [
            each
            for each in self._to_ask(members)
            if not self.failures.is_paused(each.name, now)
        ]
        if not usable:
            return None
        self._asked += 1
        return usable[self._asked % len(usable)]

    def _to_ask(self, members: list[Member]) -> list[Member]:
        """Return the watchers of the own zone, and one of each other zone."""
        found: list[Member] = []
        for zone, neighbours in sorted(group_by_zone(members).items()):
            is_own = zone == self._own.zone
            found.extend(_first(neighbours, WATCHERS_PER_ZONE if is_own else 1))
        return [each for each in found if each.name != self._own.name]


def _first(members: Iterable[Member], count: int) -> list[Member]:
    return sorted(members, key=_rank)[:count]


def _rank(member: Member) -> tuple[int, str]:
    return zlib.crc32(member.name.encode()), member.name
