"""Choose the member whose server should run a request."""

import random
from collections.abc import Awaitable, Callable, Sequence

from plantaingrade.balance.entity import FreeCapacity, Load
from plantaingrade.clock import Clock
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.entity import Outcome, RoutedRequest
from plantaingrade.requests.failures import FailureRates
from plantaingrade.requests.selection import (
    Candidate,
    choose_after_refusal,
    choose_candidate,
    find_earliest,
    is_worth_crossing_zones,
    meets_objective,
    sample_to_poll,
)

LoadOf = Callable[[str, float], Load | None]
PollCapacity = Callable[
    [Sequence[Member], str, int], Awaitable[dict[str, FreeCapacity]]
]


class TargetChooser:
    """Chooses members by key owner, or by zone and load without a key."""

    __slots__ = (
        '_evacuated_zones',
        '_clock',
        '_directory',
        '_failures',
        '_load_of',
        '_look_up',
        '_maps',
        '_poll_capacity',
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
        poll_capacity: PollCapacity,
        evacuated_zones: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """Choose on behalf of the process of ``own``.

        ``pull_map`` requests the whole map of a service from a member.
        ``look_up`` is called with the name of an unknown owner. ``load_of``
        returns the load of a member at a point in time, if known.
        ``poll_capacity`` asks members how soon their servers could run a
        request of a kind and priority. ``evacuated_zones`` returns the zones
        that are evacuated.
        """
        self._poll_capacity = poll_capacity
        self._evacuated_zones = evacuated_zones
        self._failures = FailureRates()
        self._load_of = load_of
        self._look_up = look_up
        self._pull_map = pull_map
        self._own = own
        self._directory = directory
        self._maps = maps
        self._clock = clock
        self._random = random.Random(own.boot)

    def count_members(self) -> int:
        """Return the number of known members."""
        return len(self._directory.members())

    def map_version(self, service: str) -> int:
        """Return the version of the map that is used to find owners."""
        return self._maps.find(service).version

    def request_map(self, service: str, name: str) -> None:
        """Request the map of a service from a member that has a newer one."""
        member = self._directory.find(name)
        if member is not None and name != self._own.name:
            self._pull_map(service, member)

    def is_keyed(self, service: str) -> bool:
        """Return whether requests of a service go to the owner of their key."""
        return bool(self._maps.find(service).version)

    def avoid(self, member: Member) -> None:
        """Skip a member for a while, because its server accepts no work."""
        self._directory.suspect(member.name, self._clock.now())

    def record_outcome(self, member: Member, outcome: Outcome) -> None:
        """Update the failure rate of a member's server."""
        self._failures.observe(member.name, outcome, self._clock.now())

    def may_ask(self, member: Member) -> bool:
        """Return whether a request may be sent to a member now."""
        return self._directory.may_ask(member.name, self._clock.now())

    async def async_choose(
        self, routed: RoutedRequest, tried: set[str], hint: str
    ) -> Member | None:
        """Return the member to try next, if there is any.

        ``tried`` are the members already tried; ``hint`` is the owner that a
        redirect named, or empty.
        """
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
        """Return another member to try after a server was full."""
        service = routed.service
        candidates = self._healthy_candidates(service, tried)
        name = find_earliest(
            await self._async_poll_capacity(routed, candidates)
        )
        if name is not None:
            return self._directory.find(name)
        candidate = choose_after_refusal(
            self._healthy_candidates(service, tried), self._random
        )
        return None if candidate is None else candidate.member

    async def _async_choose_any(
        self, routed: RoutedRequest, tried: set[str]
    ) -> Member | None:
        """Return the member with the earliest expected finish time."""
        service = routed.service
        candidates = self._healthy_candidates(service, tried)
        if not candidates:
            candidates = self._candidates(service, tried)
        zone = self._own.zone
        local = [
            candidate
            for candidate in candidates
            if candidate.member.zone == zone
        ]
        remote = [
            candidate
            for candidate in candidates
            if candidate.member.zone != zone
        ]
        name = await self._async_find_earliest(routed, local, remote)
        if name is not None:
            return self._directory.find(name)
        candidate = choose_candidate(local, remote, self._random)
        return None if candidate is None else candidate.member

    async def _async_find_earliest(
        self,
        routed: RoutedRequest,
        local: Sequence[Candidate],
        remote: Sequence[Candidate],
    ) -> str | None:
        local_capacities = await self._async_poll_capacity(routed, local)
        local_name = find_earliest(local_capacities)
        due_in_s = routed.due - self._clock.now()
        if local_name and meets_objective(
            local_capacities[local_name], due_in_s
        ):
            return local_name
        remote_capacities = await self._async_poll_capacity(routed, remote)
        remote_name = find_earliest(remote_capacities)
        if not remote_name or not local_name:
            return local_name or remote_name
        is_better = is_worth_crossing_zones(
            local_capacities[local_name], remote_capacities[remote_name]
        )
        return remote_name if is_better else local_name

    async def _async_poll_capacity(
        self, routed: RoutedRequest, candidates: Sequence[Candidate]
    ) -> dict[str, FreeCapacity]:
        polled = sample_to_poll(candidates, self._random)
        members = [candidate.member for candidate in polled]
        return await self._poll_capacity(members, routed.kind, routed.priority)

    def _healthy_candidates(
        self, service: str, tried: set[str]
    ) -> list[Candidate]:
        now = self._clock.now()
        return [
            candidate
            for candidate in self._candidates(service, tried)
            if not self._directory.is_suspect(candidate.member.name, now)
        ]

    def _candidates(self, service: str, tried: set[str]) -> list[Candidate]:
        now = self._clock.now()
        evacuated = self._evacuated_zones()
        return [
            Candidate(
                member,
                self._load_of(member.name, now),
                self._failures.rate(member.name, now),
            )
            for member in self._directory.serving(service)
            if member.name not in tried and member.zone not in evacuated
        ]
