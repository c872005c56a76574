"""Keys of one service in the lab: their owners and transfers.

A transfer releases its keys, waits for the running work on them, and changes
the shared map of the service. Changes of the map are made one at a time.
"""

import asyncio
import random

from msgspec import Struct

from plantaingrade.holds.backoff import ConflictBackoff
from plantaingrade.holds.transfer import CONTENDED_LIMIT_S
from plantaingrade.holds.unheld import UnheldRanges
from plantaingrade.keyspace.assign import reassign, split_evenly
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import Assignment, KeyRange
from plantaingrade.peers.entity import Member

# One-way delay to the store, and time that it takes for one change of a part.
STORE_DELAY_S = 0.003
CHANGE_S = 1 / 150
# Time from the change until the new owner's server has the grant.
GRANT_S = 0.004


class SharedMap:
    """The map of a service in the store."""

    def __init__(self, service: str, maps: KeyMaps, names: list[str]) -> None:
        """Create a map in which members own equal numbers of keys."""
        self.service = service
        self.maps = maps
        self.free_at = 0.0
        self.changes = 0
        self.conflicts = 0
        maps.update_if_newer(service, split_evenly(names).at_version(1))

    async def async_change(self, owner_by_keys: dict[KeyRange, str]) -> bool:
        """Change the map in its turn; return False on a version conflict."""
        loop = asyncio.get_running_loop()
        known = self.maps.find(self.service)
        await asyncio.sleep(STORE_DELAY_S)
        self.free_at = max(self.free_at, loop.time()) + CHANGE_S
        await asyncio.sleep(self.free_at - loop.time())
        is_done = known.version == self.maps.find(self.service).version
        if is_done:
            self.changes += 1
            changed = reassign(known, owner_by_keys)
            self.maps.update_if_newer(
                self.service, changed.at_version(known.version + 1)
            )
        else:
            self.conflicts += 1
        await asyncio.sleep(STORE_DELAY_S)
        return is_done


class ReleasedRanges(Struct, frozen=True):
    """Released ranges that wait for the change of their owners."""

    owner_by_keys: dict[KeyRange, str]
    is_done: asyncio.Future[bool]


class LabRegistry:
    """The part of a member's registry that the balance reads."""

    def __init__(self, shared: SharedMap, member: Member) -> None:
        """Create the registry of one member of a service."""
        self._shared = shared
        self.member = member
        self.is_joined = True
        self.accepts_keys = True
        self.is_waiting = False
        self.lease_until = float('inf')
        self.backoff = ConflictBackoff(random.Random(member.name))

    @property
    def key_map(self):
        """Return the map of the member's service."""
        return self._shared.maps.find(self._shared.service)


class LabHolds:
    """The keys of one member; transfers follow the product's steps."""

    def __init__(self, shared: SharedMap, member: Member) -> None:
        """Hold the ranges that the shared map assigns to the member."""
        self.registry = LabRegistry(shared, member)
        self.moves_done = 0
        self.moves_failed = 0
        self._member = member
        self._shared = shared
        self._moving: set[KeyRange] = set()
        self._granted_at: dict[KeyRange, float] = {}
        self._unheld = UnheldRanges()
        self._running: dict[int, int] = {}
        self._ready: list[ReleasedRanges] = []
        self._writing = asyncio.Lock()

    def begin(self, key: int) -> None:
        """Count the start of work on a key."""
        self._running[key] = self._running.get(key, 0) + 1

    def end(self, key: int) -> None:
        """Count the end of work on a key."""
        self._running[key] -= 1
        if not self._running[key]:
            self._running.pop(key)

    def find_own(self, key: int) -> Assignment | None:
        """Return the assignment of a key if this member owns it."""
        found = self.registry.key_map.find(key)
        is_own = found is not None and found.owner == self._member.name
        return found if is_own else None

    def is_held(self, key: int) -> bool:
        """Return whether work on a key may start now."""
        if self.find_own(key) is None:
            return False
        return all(key not in keys for keys in self._moving)

    def is_overdue(self, key: int, work_s: float = 0.0) -> bool:
        """Return whether a moving key is overdue, so waiting is no use."""
        now = asyncio.get_running_loop().time()
        for keys in self._moving:
            if key in keys:
                return self._unheld.is_overdue(keys, now, work_s)
        return False

    async def async_wait_change(self, limit_s: float) -> None:
        """Wait for a short time, within a limit in seconds."""
        await asyncio.sleep(min(limit_s, 2 * GRANT_S))

    async def async_is_store_available(self) -> bool:
        """Return True: the store of the lab never fails."""
        return True

    def on_hint(self, version: int) -> None:
        """Ignore a hint; the shared map is always the newest."""

    async def async_transfer(self, keys: list[KeyRange], target: str) -> bool:
        """Transfer keys to a target; return whether the map was changed."""
        if any(each.overlap(one) for each in keys for one in self._moving):
            return False
        pieces = [
            part
            for each in keys
            for owned in self.registry.key_map.owned_by(self._member.name)
            if (part := owned.keys.overlap(each)) is not None
        ]
        self._moving.update(keys)
        try:
            await self._async_wait_for_work(keys)
            is_done = await self._async_commit(dict.fromkeys(pieces, target))
            await asyncio.sleep(GRANT_S)
        finally:
            self._moving.difference_update(keys)
        self.moves_done += is_done
        self.moves_failed += not is_done
        return is_done

    async def _async_wait_for_work(self, keys: list[KeyRange]) -> None:
        while any(key in each for key in self._running for each in keys):
            await asyncio.sleep(GRANT_S)

    async def _async_commit(self, owner_by_keys: dict[KeyRange, str]) -> bool:
        """Change the map once for all transfers that are ready by then."""
        move = asyncio.get_running_loop().create_future()
        self._ready.append(ReleasedRanges(owner_by_keys, move))
        async with self._writing:
            if not move.done():
                batch = self._ready
                self._ready = []
                merged = {}
                for each in batch:
                    merged.update(each.owner_by_keys)
                is_done = await self._async_change(merged)
                for each in batch:
                    each.is_done.set_result(is_done)
        return move.result()

    async def _async_change(self, owner_by_keys: dict[KeyRange, str]) -> bool:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + CONTENDED_LIMIT_S
        backoff = self.registry.backoff
        while loop.time() <= ends_at:
            sent_at = loop.time()
            if await self._shared.async_change(owner_by_keys):
                backoff.on_success()
                return True
            pause_s = backoff.on_conflict(loop.time() - sent_at)
            await asyncio.sleep(max(0.0, min(pause_s, ends_at - loop.time())))
        return False
