"""Choose the process beside the server that is to run a request."""

import random
from collections.abc import Callable

from plantaingrade.clock import Clock
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.entity import RoutedRequest


class TargetChooser:
    """Choose by owner for requests with a key, else by zone and load."""

    __slots__ = (
        '_clock',
        '_directory',
        '_maps',
        '_own',
        '_pull_map',
        '_random',
    )

    def __init__(
        self,
        own: Member,
        directory: Directory,
        maps: KeyMaps,
        clock: Clock,
        pull_map: Callable[[str, Member], None],
    ) -> None:
        """Choose on behalf of one process.

        ``pull_map`` asks a member for the whole map of a service.
        """
        self._pull_map = pull_map
        self._own = own
        self._directory = directory
        self._maps = maps
        self._clock = clock
        self._random = random.Random(own.boot)

    def count(self) -> int:
        """Return how many processes are known."""
        return len(self._directory.members())

    def map_version(self, service: str) -> int:
        """Return the version of the map that owners are chosen by."""
        return self._maps.find(service).version

    def learn_from(self, service: str, name: str) -> None:
        """Ask a member for the map of a service; it has a newer one."""
        member = self._directory.find(name)
        if member is not None and name != self._own.name:
            self._pull_map(service, member)

    def is_keyed(self, service: str) -> bool:
        """Tell whether requests of a service go to the owner of their key."""
        return bool(self._maps.find(service).version)

    def avoid(self, member: Member) -> None:
        """Pass a member over for a while: its server takes no work."""
        self._directory.suspect(member.name, self._clock.now())

    def choose(
        self, routed: RoutedRequest, tried: set[str], hint: str
    ) -> Member | None:
        """Return the member to ask next, if there is any."""
        if hint:
            return self._directory.find(hint)
        key = routed.caller.key
        if key is not None and self.is_keyed(routed.service):
            owner = self._maps.find(routed.service).find(key)
            return None if owner is None else self._directory.find(owner.owner)
        return self._choose_any(routed.service, tried)

    def _choose_any(self, service: str, tried: set[str]) -> Member | None:
        now = self._clock.now()
        members = [
            member
            for member in self._directory.serving(service)
            if member.name not in tried
        ]
        sound = [
            member
            for member in members
            if not self._directory.is_suspect(member.name, now)
        ]
        near = [
            member
            for member in sound or members
            if member.zone == self._own.zone
        ]
        choices = near or sound or members
        return self._random.choice(choices) if choices else None
