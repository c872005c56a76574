"""Play a service of many servers against the balance of keys, on virtual time.

Each server has its own balance coordinator. What they share is the one row of
the store that holds the map: changes of it wait for the store's part one after
the other, and one that was made from an older version is sent again.
"""

import asyncio
import os
import random
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field
from itertools import accumulate
from types import SimpleNamespace

from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.slots import SlotQueue
from plantaingrade.backends.life import BackendLife, LifeState
from plantaingrade.balance.book import LoadBook
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.balance.entity import Load
from plantaingrade.balance.others import TELL_COUNT
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.backoff import ConflictBackoff
from plantaingrade.holds.transfer import CONTENDED_LIMIT_S
from plantaingrade.holds.unheld import MAX_UNHELD_WAIT_S
from plantaingrade.keyspace.assign import cut
from plantaingrade.keyspace.entity import (
    ALL_KEYS,
    KEY_COUNT,
    Assignment,
    KeyRange,
)
from plantaingrade.peers.entity import Member, Offer, OfferReply
from tests.virtual import LoopClock, run

SLOTS = 6
WORK_S = 0.2
# One way to the store, and a turn in its part: 150 transactions a second.
STORE_WAY_S = 0.003
TURN_S = 1 / 150
# A release waits for work that runs.
RELEASE_S = 0.1
PATCHES = 64


class MapRow:
    """The row that holds the map."""

    def __init__(self) -> None:
        self.version = 0
        self.free_at = 0.0
        self.calls = 0

    async def async_change(self, expected: int) -> bool:
        """Take a turn; tell whether the version was still the expected one."""
        loop = asyncio.get_running_loop()
        self.calls += 1
        await asyncio.sleep(STORE_WAY_S)
        self.free_at = max(self.free_at, loop.time()) + TURN_S
        await asyncio.sleep(self.free_at - loop.time())
        is_done = expected == self.version
        if is_done:
            self.version += 1
        await asyncio.sleep(STORE_WAY_S)
        return is_done


@dataclass
class Seen:
    """What came of the requests and of the moves."""

    asked: int = 0
    unheld: int = 0
    moves: Counter = field(default_factory=Counter)
    calls: int = 0
    worst_shares: list[float] = field(default_factory=list)

    @property
    def unheld_part(self) -> float:
        """Return the part of the requests that were for unheld keys."""
        return self.unheld / max(1, self.asked)


class Server:
    """One server: its keys, and the holds as its coordinator sees them."""

    def __init__(self, name: str, keys: KeyRange, fleet: 'Fleet') -> None:
        self.name = name
        self.ranges = [keys]
        self.fleet = fleet
        self.moving_since: dict[KeyRange, float] = {}
        self.writing = asyncio.Lock()
        self.ready: list[asyncio.Future[bool]] = []
        self.backoff = ConflictBackoff(random.Random(name))
        self.registry = SimpleNamespace(
            is_joined=True,
            accepts_keys=True,
            is_waiting=False,
            key_map=self,
            backoff=self.backoff,
        )
        self.book = LoadBook()
        clock = LoopClock()
        estimate = WorkEstimate()
        estimate.observe('lookup', WORK_S)
        life = BackendLife()
        life.state = LifeState.READY
        self.balance = BalanceCoordinator(
            Member(name, 's', 'a', name, name),
            self,
            life,
            SlotQueue(SLOTS, estimate),
            self,
            self,
            self,
            clock,
            EventLog(name, clock, os.open(os.devnull, os.O_WRONLY)),
        )

    def owned_by(self, name: str) -> list[Assignment]:
        return [Assignment(keys, name, 1) for keys in self.ranges]

    def names(self) -> list[str]:
        return [name for name in self.fleet.servers if name != self.name]

    def must_yield(self, now: float) -> bool:
        return False

    def listeners(self, chance: random.Random) -> list[str]:
        others = self.names()
        return chance.sample(others, min(TELL_COUNT, len(others)))

    def takers(self, now: float) -> dict[str, Load]:
        loads = self.book.fresh(now)
        loads.pop(self.name, None)
        return loads

    def tell_load(self, load: Load, names: list[str]) -> None:
        now = asyncio.get_running_loop().time()
        servers = self.fleet.servers
        for name in names:
            servers[name].book.note(self.name, load, now)

    async def async_offer(self, target: str, offer: Offer) -> OfferReply:
        await asyncio.sleep(STORE_WAY_S)
        servers = self.fleet.servers
        return servers[target].balance.on_offer(offer)

    async def async_transfer(self, keys: list[KeyRange], target: str) -> bool:
        """Release, change the map, hand over: as the transfers do."""
        now = asyncio.get_running_loop().time()
        for each in keys:
            self.moving_since[each] = now
        await asyncio.sleep(RELEASE_S)
        is_done = await self._async_commit()
        self.fleet.seen.moves['done' if is_done else 'failed'] += 1
        for each in keys:
            self.moving_since.pop(each)
            if is_done:
                self._pass_on(each, target)
        return is_done

    async def _async_commit(self) -> bool:
        """Change the map for all moves that are ready then."""
        move = asyncio.get_running_loop().create_future()
        self.ready.append(move)
        async with self.writing:
            if not move.done():
                joint = self.ready
                self.ready = []
                is_done = await self._async_change()
                for each in joint:
                    each.set_result(is_done)
        return move.result()

    async def _async_change(self) -> bool:
        loop = asyncio.get_running_loop()
        ends = loop.time() + CONTENDED_LIMIT_S
        while loop.time() <= ends:
            row = self.fleet.row
            sent_at = loop.time()
            if await row.async_change(row.version):
                self.backoff.on_success()
                return True
            now = loop.time()
            pause_s = self.backoff.on_conflict(now - sent_at)
            await asyncio.sleep(max(0.0, min(pause_s, ends - now)))
        return False

    def _pass_on(self, keys: KeyRange, target: str) -> None:
        self.ranges = [
            rest for each in self.ranges for rest in each.without(keys)
        ]
        servers = self.fleet.servers
        servers[target].ranges.append(keys)

    def is_unheld(self, key: int, now: float) -> bool:
        """Tell whether a request for a key would be refused."""
        return any(
            key in keys and now - since > MAX_UNHELD_WAIT_S
            for keys, since in self.moving_since.items()
        )


@dataclass(frozen=True)
class Demand:
    """Load, as a share of all slots, and how unevenly keys are asked for.

    ``patch_share`` of it asks for ``patch_keys`` neighbouring keys. Of the
    rest the first keys get most: the key in place ``n`` gets ``n ** -skew``.
    """

    share: float
    skew: float = 0.0
    patch_share: float = 0.0
    patch_keys: int = 1


class Fleet:
    """Servers and their callers."""

    def __init__(self, servers: int, demand: Demand, seed: int) -> None:
        self.demand = demand
        self.random = random.Random(seed)
        self.row = MapRow()
        self.seen = Seen()
        self.servers: dict[str, Server] = {}
        self._count = servers
        self._weights = list(
            accumulate(
                (patch + 0.5) ** -demand.skew for patch in range(PATCHES)
            )
        )

    def play(self, warm_s: float, length_s: float) -> Seen:
        """Return what was seen after ``warm_s``, for ``length_s``."""
        run(self._async_play(warm_s, length_s))
        self.seen.calls = self.row.calls
        return self.seen

    async def _async_play(self, warm_s: float, length_s: float) -> None:
        parts = cut(ALL_KEYS, self._count)
        for place, keys in enumerate(parts):
            name = f's@{place}'
            self.servers[name] = Server(name, keys, self)
        tasks = [
            asyncio.create_task(server.balance.async_run())
            for server in self.servers.values()
        ]
        await self._async_ask(warm_s)
        self.seen = Seen()
        self.row.calls = 0
        await self._async_ask(length_s)
        for task in tasks:
            task.cancel()

    async def _async_ask(self, length_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + length_s
        per_s = self.demand.share * self._count * SLOTS / WORK_S
        names = list(self.servers)
        while loop.time() < ends:
            await asyncio.sleep(self.random.expovariate(per_s))
            self._ask(self._draw_key(), names, loop.time())

    def _ask(self, key: int, names: list[str], now: float) -> None:
        owner = next(
            server
            for server in self.servers.values()
            if any(key in keys for keys in server.ranges)
        )
        owner.balance.observe(key, WORK_S)
        self.seen.asked += 1
        self.seen.unheld += owner.is_unheld(key, now)
        load = owner.balance.load()
        self.seen.worst_shares.append(load.share)
        asker = self.servers[self.random.choice(names)]
        asker.book.note(owner.name, load, now)

    def _draw_key(self) -> int:
        demand = self.demand
        if self.random.random() < demand.patch_share:
            return KEY_COUNT // 2 + self.random.randrange(demand.patch_keys)
        drawn = self.random.random() * self._weights[-1]
        patch = bisect_right(self._weights, drawn)
        size = KEY_COUNT // PATCHES
        return patch * size + self.random.randrange(size)
