"""Simulation of key balancing between many servers, in virtual time.

Each server has its own balance coordinator. They share the store row with the
key map: its changes are executed one after the other, and a change based on an
older version is repeated.
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
from plantaingrade.backends.incarnation import (
    IncarnationState,
    IncarnationTracker,
)
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.balance.service_peers import PUBLISH_COUNT
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.backoff import ConflictBackoff
from plantaingrade.holds.transfer import CONTENDED_LIMIT_S
from plantaingrade.holds.unheld import MAX_UNHELD_WAIT_S
from plantaingrade.keyspace.assign import split_range
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
# One-way delay to the store, and duration of a transaction: 150 per second.
STORE_DELAY_S = 0.003
TRANSACTION_S = 1 / 150
# Duration of a release, which waits for running work.
RELEASE_S = 0.1
BUCKETS = 64


class MapRow:
    """Store row with the key map."""

    def __init__(self) -> None:
        self.version = 0
        self.available_at = 0.0
        self.calls = 0

    async def async_change(self, expected: int) -> bool:
        """Change the map if its version matches; return whether it did."""
        loop = asyncio.get_running_loop()
        self.calls += 1
        await asyncio.sleep(STORE_DELAY_S)
        self.available_at = max(self.available_at, loop.time()) + TRANSACTION_S
        await asyncio.sleep(self.available_at - loop.time())
        is_done = expected == self.version
        if is_done:
            self.version += 1
        await asyncio.sleep(STORE_DELAY_S)
        return is_done


@dataclass
class Stats:
    """Counts of requests and moves."""

    requests: int = 0
    unheld: int = 0
    moves: Counter = field(default_factory=Counter)
    calls: int = 0
    load_shares: list[float] = field(default_factory=list)

    @property
    def unheld_share(self) -> float:
        """Return the share of requests for unheld keys."""
        return self.unheld / max(1, self.requests)


class Server:
    """A server with its keys, and fakes of all its coordinator depends on."""

    def __init__(self, name: str, keys: KeyRange, fleet: 'Fleet') -> None:
        self.name = name
        self.ranges = [keys]
        self.fleet = fleet
        self.moving_since: dict[KeyRange, float] = {}
        self.commit_lock = asyncio.Lock()
        self.pending: list[asyncio.Future[bool]] = []
        self.backoff = ConflictBackoff(random.Random(name))
        self.registry = SimpleNamespace(
            is_joined=True,
            accepts_keys=True,
            is_waiting=False,
            key_map=self,
            backoff=self.backoff,
        )
        self.loads = PeerLoads()
        clock = LoopClock()
        estimate = WorkEstimate()
        estimate.observe('lookup', WORK_S)
        life = IncarnationTracker()
        life.state = IncarnationState.READY
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

    def publish_targets(self, rng: random.Random) -> list[str]:
        peers = self.names()
        return rng.sample(peers, min(PUBLISH_COUNT, len(peers)))

    def receivers(self, now: float) -> dict[str, Load]:
        loads = self.loads.recent(now)
        loads.pop(self.name, None)
        return loads

    def tell_load(self, load: Load, names: list[str]) -> None:
        now = asyncio.get_running_loop().time()
        servers = self.fleet.servers
        for name in names:
            servers[name].loads.record(self.name, load, now)

    async def async_offer(self, target: str, offer: Offer) -> OfferReply:
        await asyncio.sleep(STORE_DELAY_S)
        servers = self.fleet.servers
        return servers[target].balance.on_offer(offer)

    async def async_transfer(self, keys: list[KeyRange], target: str) -> bool:
        """Release the keys, change the map and transfer the keys."""
        now = asyncio.get_running_loop().time()
        for each in keys:
            self.moving_since[each] = now
        await asyncio.sleep(RELEASE_S)
        is_done = await self._async_commit()
        self.fleet.stats.moves['done' if is_done else 'failed'] += 1
        for each in keys:
            self.moving_since.pop(each)
            if is_done:
                self._transfer(each, target)
        return is_done

    async def _async_commit(self) -> bool:
        """Change the map for all pending moves at once."""
        move = asyncio.get_running_loop().create_future()
        self.pending.append(move)
        async with self.commit_lock:
            if not move.done():
                batch = self.pending
                self.pending = []
                is_done = await self._async_change()
                for each in batch:
                    each.set_result(is_done)
        return move.result()

    async def _async_change(self) -> bool:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + CONTENDED_LIMIT_S
        while loop.time() <= ends_at:
            row = self.fleet.row
            sent_at = loop.time()
            if await row.async_change(row.version):
                self.backoff.on_success()
                return True
            now = loop.time()
            pause_s = self.backoff.on_conflict(now - sent_at)
            await asyncio.sleep(max(0.0, min(pause_s, ends_at - now)))
        return False

    def _transfer(self, keys: KeyRange, target: str) -> None:
        self.ranges = [
            rest for each in self.ranges for rest in each.without(keys)
        ]
        servers = self.fleet.servers
        servers[target].ranges.append(keys)

    def is_unheld(self, key: int, now: float) -> bool:
        """Return whether a request for a key would be refused."""
        return any(
            key in keys and now - since > MAX_UNHELD_WAIT_S
            for keys, since in self.moving_since.items()
        )


@dataclass(frozen=True)
class Demand:
    """Load, as a share of all slots, and its distribution over keys.

    ``hot_share`` of the requests are for ``hot_keys`` neighbouring keys. The
    others are distributed over buckets of keys: bucket ``n`` has the weight
    ``(n + 0.5) ** -skew``.
    """

    share: float
    skew: float = 0.0
    hot_share: float = 0.0
    hot_keys: int = 1


class Fleet:
    """Simulated servers and callers."""

    def __init__(self, servers: int, demand: Demand, seed: int) -> None:
        self.demand = demand
        self.random = random.Random(seed)
        self.row = MapRow()
        self.stats = Stats()
        self.servers: dict[str, Server] = {}
        self._count = servers
        self._weights = list(
            accumulate(
                (bucket + 0.5) ** -demand.skew for bucket in range(BUCKETS)
            )
        )

    def simulate(self, warmup_s: float, duration_s: float) -> Stats:
        """Return the counts of ``duration_s`` seconds after the warmup."""
        run(self._async_simulate(warmup_s, duration_s))
        self.stats.calls = self.row.calls
        return self.stats

    async def _async_simulate(self, warmup_s: float, duration_s: float) -> None:
        ranges = split_range(ALL_KEYS, self._count)
        for index, keys in enumerate(ranges):
            name = f's@{index}'
            self.servers[name] = Server(name, keys, self)
        tasks = [
            asyncio.create_task(server.balance.async_run())
            for server in self.servers.values()
        ]
        await self._async_send_requests(warmup_s)
        self.stats = Stats()
        self.row.calls = 0
        await self._async_send_requests(duration_s)
        for task in tasks:
            task.cancel()

    async def _async_send_requests(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        per_s = self.demand.share * self._count * SLOTS / WORK_S
        names = list(self.servers)
        while loop.time() < ends_at:
            await asyncio.sleep(self.random.expovariate(per_s))
            self._send_request(self._random_key(), names, loop.time())

    def _send_request(self, key: int, names: list[str], now: float) -> None:
        owner = next(
            server
            for server in self.servers.values()
            if any(key in keys for keys in server.ranges)
        )
        owner.balance.observe(key, WORK_S)
        self.stats.requests += 1
        self.stats.unheld += owner.is_unheld(key, now)
        load = owner.balance.load()
        self.stats.load_shares.append(load.share)
        sender = self.servers[self.random.choice(names)]
        sender.loads.record(owner.name, load, now)

    def _random_key(self) -> int:
        demand = self.demand
        if self.random.random() < demand.hot_share:
            return KEY_COUNT // 2 + self.random.randrange(demand.hot_keys)
        point = self.random.random() * self._weights[-1]
        bucket = bisect_right(self._weights, point)
        size = KEY_COUNT // BUCKETS
        return bucket * size + self.random.randrange(size)
