"""The instances of a deployment, in one process and virtual time.

Requests take the product's own path: routing, placing, admission, balancing.
Only what lies below is made up: the network, the store and the servers.
"""

import asyncio
import os
import random
from collections.abc import Sequence

from lab.deployment import Deployment, Kind, Service
from lab.keys import LabHolds, SharedMap
from plantaingrade.admission.gate import Gate
from plantaingrade.admission.service_retries import ServiceRetryBudget
from plantaingrade.backends.incarnation import (
    IncarnationTracker,
    IncarnationState,
)
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.balance.entity import FreeCapacity, Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.balance.service_peers import LEAVING_SHARE, ServicePeers
from plantaingrade.config.entity import (
    Limits,
    Route,
    RoutingConfig,
    ServiceShare,
)
from plantaingrade.config.lookup import RouteTable
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog
from plantaingrade.http.pool import Pool
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member, Offer, OfferReply
from plantaingrade.requests.coordinator import RequestCoordinator
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    Outcome,
    RoutedRequest,
)
from plantaingrade.requests.server_path import (
    ServerHooks,
    ServerPath,
    ServerCodec,
)
from plantaingrade.requests.targets import TargetChooser
from tests.virtual import LoopClock

HOST = b'lab'
LIMITS = Limits(16384, 1_000_000, 3.0, 15.0)
FAILED = Answered(Answer(500, (), b''))
SERVED = Answered(Answer(200, (), b''))
RETRY_RATIO = 0.2
RETRY_SLACK = 60.0
RETRY_WINDOW_S = 10.0
CALL_GRACE_S = 0.001


class LabServerPath(ServerPath):
    """The product's path to a server, with a made-up server at its end."""

    def __init__(self, instance: 'Instance', *parts) -> None:
        """Run what is sent at the instance's server."""
        super().__init__(*parts)
        self._instance = instance

    async def _async_exchange(
        self, routed: RoutedRequest, left_s: float
    ) -> Outcome:
        return await self._instance.async_work(routed)


class LabOthers(ServicePeers):
    """The members that may take keys; none has a row in the lab."""

    def receivers(self, now: float) -> dict[str, Load]:
        """Return the members that have told their loads."""
        loads = {name: self.loads.find(name, now) for name in self.names()}
        return {
            name: load
            for name, load in loads.items()
            if load is not None and load.share < LEAVING_SHARE
        }


class LabPeers:
    """Ways to other instances, each with its delay."""

    def __init__(self, own: 'Instance') -> None:
        """Send on behalf of one instance."""
        self._own = own
        self._world = own.world

    async def async_serve(
        self, routed: RoutedRequest, member: Member, map_version: int = 0
    ) -> Outcome:
        """Return what became of a request at another instance."""
        other = self._world.instance_by_name[member.name]
        way_s = self._world.way_s(self._own, other)
        await asyncio.sleep(way_s)
        outcome = await other.server.async_serve(routed, map_version)
        load = other.balance.load()
        await asyncio.sleep(way_s)
        now = asyncio.get_running_loop().time()
        self._own.loads.record(member.name, load, now)
        return outcome

    async def async_ask_rooms(
        self, members: Sequence[Member], kind: str, priority: int
    ) -> dict[str, FreeCapacity]:
        """Ask members for their room, as by datagram."""
        others = [self._world.instance_by_name[each.name] for each in members]
        if not others:
            return {}
        way_s = max(self._world.way_s(self._own, each) for each in others)
        await asyncio.sleep(way_s)
        room_by_name = {
            each.member.name: each.server.free_capacity(kind, priority)
            for each in others
        }
        self._world.questions += len(others)
        await asyncio.sleep(way_s)
        return {
            name: room
            for name, room in room_by_name.items()
            if room is not None
        }

    async def async_offer(self, target: str, offer: Offer) -> OfferReply:
        """Ask a member to take over work."""
        other = self._world.instance_by_name[target]
        way_s = self._world.way_s(self._own, other)
        await asyncio.sleep(way_s)
        reply = other.balance.on_offer(offer)
        await asyncio.sleep(way_s)
        return reply

    def tell_load(self, load: Load, names: list[str]) -> None:
        """Tell some members of the own load."""
        loop = asyncio.get_running_loop()
        for name in names:
            other = self._world.instance_by_name[name]
            way_s = self._world.way_s(self._own, other)
            loop.call_later(way_s, other.hear_load, self._own, load)


class Instance:
    """One process of the product and the server beside it."""

    def __init__(
        self, world: 'World', service: Service, zone: str, place: int
    ) -> None:
        """Join the product's parts as its process does."""
        self.world = world
        self.service = service
        self.zone = zone
        self.speed = service.speeds[place % len(service.speeds)]
        name = f'{service.name}@{place}'
        self.member = Member(name, service.name, zone, f'{name}:1', name)
        self.loads = PeerLoads()
        self.slow_times = 1.0
        self.random = random.Random(f'{name}/{world.seed}')
        self.peers = LabPeers(self)

    def build(self, shared: SharedMap | None) -> None:
        """Build the path, once all members are known."""
        world = self.world
        clock, log, directory = world.clock, world.log, world.directory
        self.life = IncarnationTracker()
        self.life.state = IncarnationState.READY
        self.gate = Gate.from_slots(self.service.slots, clock)
        self.holds = LabHolds(shared or world.no_map, self.member)
        others = LabOthers(
            self.member, self.holds.registry, directory, self.loads
        )
        self.balance = BalanceCoordinator(
            self.member,
            self.holds,
            self.life,
            self.gate.queue,
            others,
            self.peers,
            self.peers,
            clock,
            log,
        )
        self.server = LabServerPath(
            self,
            ServerCodec('', _nothing, _nothing),
            self.life,
            self.holds,
            self.gate,
            Pool(clock),
            clock,
            log,
            ServerHooks(
                lambda: self.service.is_keyed,
                _nothing,
                self.balance.observe,
                _nothing,
            ),
        )
        self.requests = RequestCoordinator(
            self.member,
            world,
            TargetChooser(
                self.member,
                directory,
                world.maps,
                clock,
                _nothing,
                _nothing,
                self._load_of,
                *world.policy.choosing(self),
            ),
            self.server,
            self.peers,
            ServiceRetryBudget(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S),
            clock,
            log,
            _nothing,
        )

    def hear_load(self, other: 'Instance', load: Load) -> None:
        """Take a load that another instance told."""
        now = asyncio.get_running_loop().time()
        self.loads.record(other.member.name, load, now)

    async def async_work(self, routed: RoutedRequest) -> Outcome:
        """Run one request at the server, with the calls that it makes."""
        kind = self.world.kind_of(routed.caller)
        key = routed.caller.key
        if key is not None:
            self.holds.begin(key)
        try:
            return await self._async_work(kind, routed)
        finally:
            if key is not None:
                self.holds.end(key)

    async def _async_work(self, kind: Kind, routed: RoutedRequest) -> Outcome:
        scale = self.random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        work_s = kind.work_ms / MS_PER_S * scale * self.slow_times / self.speed
        await asyncio.sleep(work_s / 2)
        for call in kind.calls:
            count = sum(
                self.random.random() < call.share for _ in range(call.times)
            )
            if not await self._async_call_all(call, count, routed):
                return FAILED
        await asyncio.sleep(work_s / 2)
        return SERVED

    async def _async_call_all(
        self, call, count: int, routed: RoutedRequest
    ) -> bool:
        kind = self.world.kind_by_name[call.kind]
        if call.is_together:
            calls = (self._async_call(kind, routed) for _ in range(count))
            return all(await asyncio.gather(*calls))
        for _ in range(count):
            if not await self._async_call(kind, routed):
                return False
        return True

    async def _async_call(self, kind: Kind, routed: RoutedRequest) -> bool:
        now = asyncio.get_running_loop().time()
        deadline = min(
            now + kind.deadline_ms / MS_PER_S, routed.caller.deadline
        )
        request = self.world.request(kind, now, deadline, None)
        outcome = await self.requests.async_serve(request)
        self.world.tally.note_call(kind, outcome)
        return outcome == SERVED

    def _load_of(self, name: str, now: float) -> Load | None:
        if name == self.member.name:
            return self.balance.load()
        return self.loads.find(name, now)


class World:
    """All instances, and what they share."""

    version = 1

    def __init__(self, deployment: Deployment, policy, tally, seed: int):
        """Build every instance; must be called within a running loop."""
        self.deployment = deployment
        self.policy = policy
        self.tally = tally
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.log = EventLog('lab', self.clock, os.open(os.devnull, os.O_WRONLY))
        self.maps = KeyMaps()
        self.directory = Directory()
        self.questions = 0
        self.kind_by_name = {each.name: each for each in deployment.kind}
        self.routes = RouteTable(self._config())
        self.no_map = SharedMap('', KeyMaps(), [])
        self.instances = self._instances()
        self.instance_by_name = {
            each.member.name: each for each in self.instances
        }
        self._build()

    def way_s(self, one: Instance, other: Instance) -> float:
        """Return the time from one instance to another."""
        ways = self.deployment.ways
        way_ms = ways.cross_zone_ms
        if one.zone == other.zone:
            way_ms = ways.in_zone_ms
        return (way_ms + ways.hop_ms) / MS_PER_S

    def has_room(self, service: str) -> bool:
        """Tell whether any server of a service has a free slot."""
        return any(
            each.gate.queue.running < each.service.slots
            for each in self.instances
            if each.service.name == service and each.life.accepts_work
        )

    def kind_of(self, caller: CallerRequest) -> Kind:
        """Return the kind of a request."""
        return self.kind_by_name[caller.target.decode().strip('/')]

    def request(
        self, kind: Kind, now: float, deadline: float, key: int | None
    ) -> CallerRequest:
        """Return a request that arrives now."""
        target = f'/{kind.name}/'.encode()
        return CallerRequest(
            b'id', b'GET', target, HOST, key, (), b'', now, deadline
        )

    def _config(self) -> RoutingConfig:
        routes = tuple(
            Route(
                each.name,
                HOST.decode(),
                f'/{each.name}/',
                (ServiceShare(each.service, 1),),
                each.is_idempotent,
                each.deadline_ms / MS_PER_S,
                each.objective_ms / MS_PER_S,
                each.priority,
                2,
            )
            for each in self.deployment.kind
        )
        return RoutingConfig(1, routes, {}, LIMITS)

    def _instances(self) -> list[Instance]:
        """Return the instances; zones get servers of all speeds in turn."""
        zones = self.deployment.zones
        instances = []
        for service in self.deployment.service:
            for place in range(service.servers):
                turn = place + place // len(service.speeds)
                zone = zones[turn % len(zones)]
                instances.append(Instance(self, service, zone, place))
        return instances

    def _build(self) -> None:
        for instance in self.instances:
            self.directory.add(instance.member)
        self.shared_by_service = {
            each.name: SharedMap(
                each.name,
                self.maps,
                [
                    one.member.name
                    for one in self.instances
                    if one.service is each
                ],
            )
            for each in self.deployment.service
            if each.is_keyed
        }
        for instance in self.instances:
            instance.build(self.shared_by_service.get(instance.service.name))


def _nothing(*_) -> None:
    """Stand for what the lab does not play."""
