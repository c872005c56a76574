"""The instances of a deployment, in one process and virtual time.

Requests pass through the product's own routing, placement, admission and
balancing. The network, the store and the servers are simulated.
"""

import asyncio
import os
import random
from collections.abc import Sequence

from lab.deployment import Deployment, RequestKind, Service
from lab.keys import LabHolds, SharedMap
from plantaingrade.admission.gate import Gate
from plantaingrade.admission.service_retries import ServiceRetryBudget
from plantaingrade.backends.incarnation import (
    IncarnationState,
    IncarnationTracker,
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
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.coordinator import RequestCoordinator
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    Outcome,
    RoutedRequest,
)
from plantaingrade.requests.server_exchange import (
    ServerCodec,
    ServerHooks,
    ServerProgress,
)
from plantaingrade.requests.server_path import ServerPath
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
    """The product's path to a server, with a simulated server at its end."""

    def __init__(self, instance: 'Instance', *parts) -> None:
        """Create the path to the server of an instance."""
        super().__init__(*parts)
        self._instance = instance

    async def _async_exchange(
        self, routed: RoutedRequest, left_s: float, progress: ServerProgress
    ) -> Outcome:
        return await self._instance.async_work(routed)


class LabServicePeers(ServicePeers):
    """Members that may receive keys; no member has a row in the lab."""

    def receivers(self, now: float) -> dict[str, Load]:
        """Return the members whose loads are known and that are not leaving."""
        loads = {name: self.loads.find(name, now) for name in self.names()}
        return {
            name: load
            for name, load in loads.items()
            if load is not None and load.share < LEAVING_SHARE
        }


class LabPeers:
    """Connections to other instances, with network delays."""

    def __init__(self, own: 'Instance') -> None:
        """Create the connections of one instance."""
        self._own = own
        self._simulation = own.simulation

    async def async_serve(
        self, routed: RoutedRequest, member: Member, map_version: int = 0
    ) -> Outcome:
        """Run a request at another instance and return its outcome."""
        peer = self._simulation.instance_by_name[member.name]
        delay_s = self._simulation.delay_s(self._own, peer)
        await asyncio.sleep(delay_s)
        outcome = await peer.server.async_serve(routed, map_version)
        load = peer.balance.load()
        await asyncio.sleep(delay_s)
        now = asyncio.get_running_loop().time()
        self._own.loads.record(member.name, load, now)
        return outcome

    async def async_poll_capacity(
        self, members: Sequence[Member], kind: str, priority: int
    ) -> dict[str, FreeCapacity]:
        """Ask members for their free capacity, as by datagram."""
        peers = [
            self._simulation.instance_by_name[each.name] for each in members
        ]
        if not peers:
            return {}
        delay_s = max(
            self._simulation.delay_s(self._own, each) for each in peers
        )
        await asyncio.sleep(delay_s)
        capacity_by_name = {
            each.member.name: each.server.free_capacity(kind, priority)
            for each in peers
        }
        self._simulation.polls += len(peers)
        await asyncio.sleep(delay_s)
        return {
            name: capacity
            for name, capacity in capacity_by_name.items()
            if capacity is not None
        }

    async def async_offer(self, target: str, offer: Offer) -> OfferReply:
        """Offer work to a member and return its reply."""
        peer = self._simulation.instance_by_name[target]
        delay_s = self._simulation.delay_s(self._own, peer)
        await asyncio.sleep(delay_s)
        reply = peer.balance.on_offer(offer)
        await asyncio.sleep(delay_s)
        return reply

    def tell_load(self, load: Load, names: list[str]) -> None:
        """Send the own load to some members."""
        loop = asyncio.get_running_loop()
        for name in names:
            peer = self._simulation.instance_by_name[name]
            delay_s = self._simulation.delay_s(self._own, peer)
            loop.call_later(delay_s, peer.receive_load, self._own, load)


class Instance:
    """One process of the product and its backend server."""

    def __init__(
        self, simulation: 'Simulation', service: Service, zone: str, index: int
    ) -> None:
        """Create an instance; ``build`` connects the product's parts."""
        self.simulation = simulation
        self.service = service
        self.zone = zone
        self.speed = service.speeds[index % len(service.speeds)]
        name = f'{service.name}@{index}'
        self.member = Member(name, service.name, zone, f'{name}:1', name)
        self.loads = PeerLoads()
        self.slowdown = 1.0
        self.noise = 1.0
        self.random = random.Random(f'{name}/{simulation.seed}')
        self.peers = LabPeers(self)

    def build(self, shared: SharedMap | None) -> None:
        """Connect the product's parts, once all members are known."""
        simulation = self.simulation
        clock, log, directory = (
            simulation.clock,
            simulation.log,
            simulation.directory,
        )
        self.life = IncarnationTracker()
        self.life.state = IncarnationState.READY
        self.gate = Gate.from_slots(self.service.slots, clock)
        self.holds = LabHolds(shared or simulation.no_map, self.member)
        peers = LabServicePeers(
            self.member, self.holds.registry, directory, self.loads
        )
        self.balance = BalanceCoordinator(
            self.member,
            self.holds,
            self.life,
            self.gate.queue,
            peers,
            self.peers,
            self.peers,
            clock,
            log,
        )
        self.server = LabServerPath(
            self,
            ServerCodec('', _ignore, _ignore),
            self.life,
            self.holds,
            self.gate,
            Pool(clock),
            BufferBudget(),
            clock,
            log,
            ServerHooks(
                lambda: self.service.is_keyed,
                _ignore,
                self.balance.observe,
                _ignore,
                _ignore,
            ),
        )
        self.requests = RequestCoordinator(
            self.member,
            simulation,
            TargetChooser(
                self.member,
                directory,
                simulation.maps,
                clock,
                _ignore,
                _ignore,
                self._load_of,
                *simulation.policy.chooser_arguments(self),
            ),
            self.server,
            self.peers,
            ServiceRetryBudget(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S),
            clock,
            log,
            _ignore,
        )

    def receive_load(self, peer: 'Instance', load: Load) -> None:
        """Record a load that another instance sent."""
        now = asyncio.get_running_loop().time()
        self.loads.record(peer.member.name, load, now)

    async def async_work(self, routed: RoutedRequest) -> Outcome:
        """Run one request at the server, including the calls that it makes."""
        kind = self.simulation.find_kind(routed.caller)
        key = routed.caller.key
        if key is not None:
            self.holds.begin(key)
        try:
            return await self._async_work(kind, routed)
        finally:
            if key is not None:
                self.holds.end(key)

    async def _async_work(
        self, kind: RequestKind, routed: RoutedRequest
    ) -> Outcome:
        scale = self.random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        slowdown = self.slowdown * self.noise
        work_s = kind.work_ms / MS_PER_S * scale * slowdown / self.speed
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
        kind = self.simulation.kind_by_name[call.kind]
        if call.is_together:
            calls = (self._async_call(kind, routed) for _ in range(count))
            return all(await asyncio.gather(*calls))
        for _ in range(count):
            if not await self._async_call(kind, routed):
                return False
        return True

    async def _async_call(
        self, kind: RequestKind, routed: RoutedRequest
    ) -> bool:
        now = asyncio.get_running_loop().time()
        deadline = min(
            now + kind.deadline_ms / MS_PER_S, routed.caller.deadline
        )
        request = self.simulation.request(kind, now, deadline, None)
        outcome = await self.requests.async_serve(request)
        self.simulation.statistics.record_call(kind, outcome)
        return outcome == SERVED

    def _load_of(self, name: str, now: float) -> Load | None:
        if name == self.member.name:
            return self.balance.load()
        return self.loads.find(name, now)


class Simulation:
    """All instances and the state that they share."""

    version = 1

    def __init__(self, deployment: Deployment, policy, statistics, seed: int):
        """Build every instance; requires a running event loop."""
        self.deployment = deployment
        self.policy = policy
        self.statistics = statistics
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.log = EventLog('lab', self.clock, os.open(os.devnull, os.O_WRONLY))
        self.maps = KeyMaps()
        self.directory = Directory()
        self.polls = 0
        self.kind_by_name = {each.name: each for each in deployment.kind}
        self.routes = RouteTable(self._config())
        self.no_map = SharedMap('', KeyMaps(), [])
        self.instances = self._instances()
        self.instance_by_name = {
            each.member.name: each for each in self.instances
        }
        self._build()

    def delay_s(self, one: Instance, peer: Instance) -> float:
        """Return the one-way delay between two instances in seconds."""
        delays = self.deployment.ways
        delay_ms = delays.cross_zone_ms
        if one.zone == peer.zone:
            delay_ms = delays.in_zone_ms
        return (delay_ms + delays.hop_ms) / MS_PER_S

    def has_free_slot(self, service: str) -> bool:
        """Return whether any server of a service has a free slot."""
        return any(
            each.gate.queue.running < each.service.slots
            for each in self.instances
            if each.service.name == service and each.life.accepts_work
        )

    def find_kind(self, caller: CallerRequest) -> RequestKind:
        """Return the kind of a request."""
        return self.kind_by_name[caller.target.decode().strip('/')]

    def request(
        self, kind: RequestKind, now: float, deadline: float, key: int | None
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
        """Return the instances; every zone gets servers of all speeds."""
        zones = self.deployment.zones
        instances = []
        for service in self.deployment.service:
            for index in range(service.servers):
                position = index + index // len(service.speeds)
                zone = zones[position % len(zones)]
                instances.append(Instance(self, service, zone, index))
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


def _ignore(*_) -> None:
    """Callback for events that the lab does not simulate."""
