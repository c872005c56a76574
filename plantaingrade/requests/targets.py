"""Choose the process beside the server that is to run a request."""

import random
from collections.abc import Awaitable, Callable, Sequence

from plantaingrade.balance.entity import Load, Room
from plantaingrade.clock import Clock
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.entity import Outcome, RoutedRequest
from plantaingrade.requests.failures import FailureRates
from plantaingrade.requests.selection import (
    Place,
    choose_after_refusal,
    choose_place,
    choose_to_ask,
    is_near_enough,
    is_worth_crossing,
    soonest,
)

LoadOf = Callable[[str, float], Load | None]
AskRooms = Callable[[Sequence[Member], str, int], Awaitable[dict[str, Room]]]


class TargetChooser:
    """Choose by owner for requests with a key, else by zone and load."""

    __slots__ = (
        '_away_zones',
        '_clock',
        '_directory',
        '_failures',
        '_load_of',
        '_look_up',
        '_maps',
        '_ask_rooms',
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
        look_up: Callable[[str], None],
        load_of: LoadOf,
        ask_rooms: AskRooms,
        away_zones: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """Choose on behalf of one process.

        ``pull_map`` asks a member for the whole map of a service. ``look_up``
        is told of an owner that is not known. ``load_of`` tells the load of a
        member at a time, if it is known. ``ask_rooms`` asks members how soon
        their servers could run a request of a kind and priority.
        ``away_zones`` names the zones that are evacuated.
        """
        self._ask_rooms = ask_rooms
        self._away_zones = away_zones
        self._failures = FailureRates()
        self._load_of = load_of
        self._look_up = look_up
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

    def note_outcome(self, member: Member, outcome: Outcome) -> None:
        """Learn from what became of a request at a member's server."""
        self._failures.observe(member.name, outcome, self._clock.now())

    def may_ask(self, member: Member) -> bool:
        """Tell whether a request may be sent to a member now."""
        return self._directory.may_ask(member.name, self._clock.now())

    async def async_choose(
        self, routed: RoutedRequest, tried: set[str], hint: str
    ) -> Member | None:
        """Return the member to ask next, if there is any."""
        if hint:
            return self._directory.find(hint)
        key = routed.caller.key
        if key is not None and self.is_keyed(routed.service):
            owner = self._maps.find(routed.service).find(key)
            return None if owner is None else self._find_owner(owner.owner)
        return await self._async_choose_any(routed, tried)

    def _find_owner(self, name: str) -> Member | None:
        member = self._directory.find(name)
        if member is None:
            self._look_up(name)
        return member

    async def async_choose_other(
        self, routed: RoutedRequest, tried: set[str]
    ) -> Member | None:
        """Return a member that may have room after others were full."""
        service = routed.service
        places = self._sound_places(service, tried)
        name = soonest(await self._async_rooms(routed, places))
        if name is not None:
            return self._directory.find(name)
        place = choose_after_refusal(
            self._sound_places(service, tried), self._random
        )
        return None if place is None else place.member

    async def _async_choose_any(
        self, routed: RoutedRequest, tried: set[str]
    ) -> Member | None:
        """Return the member whose server would probably be done first."""
        service = routed.service
        places = self._sound_places(service, tried)
        if not places:
            places = self._places(service, tried)
        zone = self._own.zone
        near = [place for place in places if place.member.zone == zone]
        far = [place for place in places if place.member.zone != zone]
        name = await self._async_soonest(routed, near, far)
        if name is not None:
            return self._directory.find(name)
        place = choose_place(near, far, self._random)
        return None if place is None else place.member

    async def _async_soonest(
        self,
        routed: RoutedRequest,
        near: Sequence[Place],
        far: Sequence[Place],
    ) -> str | None:
        near_rooms = await self._async_rooms(routed, near)
        nearest = soonest(near_rooms)
        due_in_s = routed.due - self._clock.now()
        if nearest and is_near_enough(near_rooms[nearest], due_in_s):
            return nearest
        far_rooms = await self._async_rooms(routed, far)
        farthest = soonest(far_rooms)
        if not farthest or not nearest:
            return nearest or farthest
        is_better = is_worth_crossing(near_rooms[nearest], far_rooms[farthest])
        return farthest if is_better else nearest

    async def _async_rooms(
        self, routed: RoutedRequest, places: Sequence[Place]
    ) -> dict[str, Room]:
        asked = choose_to_ask(places, self._random)
        members = [place.member for place in asked]
        return await self._ask_rooms(members, routed.kind, routed.priority)

    def _sound_places(self, service: str, tried: set[str]) -> list[Place]:
        now = self._clock.now()
        return [
            place
            for place in self._places(service, tried)
            if not self._directory.is_suspect(place.member.name, now)
        ]

    def _places(self, service: str, tried: set[str]) -> list[Place]:
        now = self._clock.now()
        away = self._away_zones()
        return [
            Place(
                member,
                self._load_of(member.name, now),
                self._failures.rate(member.name, now),
            )
            for member in self._directory.serving(service)
            if member.name not in tried and member.zone not in away
        ]
