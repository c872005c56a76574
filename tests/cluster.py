"""A simulated cluster without I/O, for tests that step it explicitly."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from plantaingrade.codec import Codec
from plantaingrade.journal.entity import (
    Change,
    DeclarationApplied,
    MapState,
    MemberJoined,
    MemberRow,
    MemberState,
    Record,
    ServiceRow,
    StateSet,
    WitnessesReplaced,
)
from plantaingrade.journal.rules import apply_record
from plantaingrade.leases.coordinator import LeaseCoordinator, choose_witnesses
from plantaingrade.ownership.coordinator import OwnershipCoordinator
from plantaingrade.ownership.entity import HandoverMessage, Owned
from plantaingrade.placement.policy import plan

RECORDS = Codec(Record)
SERVICE = 'casebook'


class FakeClock:
    """Clock that the test advances, with a configurable rate."""

    def __init__(self, rate: float = 1.0) -> None:
        """Start at zero."""
        self.true_now = 0.0
        self.rate = rate

    def now(self) -> float:
        """Return this clock's reading in seconds."""
        return self.true_now * self.rate


@dataclass
class Datagram:
    """A datagram in flight."""

    sender: str
    address: str
    message: Any


class FakeMember:
    """Leases and ownership of a member on a fake journal and network."""

    def __init__(self, row: MemberRow, cluster: 'FakeCluster') -> None:
        """Create the member with an empty state and clock drift up to 0.3 %."""
        self.row = row
        self.cluster = cluster
        self.clock = FakeClock(cluster.random.uniform(0.997, 1.003))
        self.clock.true_now = cluster.time
        self.state = MapState()
        self.paused = False
        self.dead = False
        self.inbox: list[Any] = []
        self.leases = LeaseCoordinator(
            row,
            lambda: self.state,
            self.clock,
            self.send,
        )
        self.ownership = OwnershipCoordinator(
            row,
            lambda: self.state,
            self.clock,
            self.send,
            self.leases.expires_at,
        )

    @property
    def name(self) -> str:
        """Return the member's name."""
        return self.row.member

    @property
    def running(self) -> bool:
        """Return whether the member is executed in each step."""
        return not self.paused and not self.dead

    def send(self, message: Any, address: str) -> None:
        """Queue a datagram for delivery."""
        self.cluster.network.append(Datagram(self.row.udp, address, message))

    def catch_up(self) -> None:
        """Apply the journal records that this member has not seen."""
        for raw in self.cluster.journal[self.state.generation :]:
            record = RECORDS.decode(raw)
            outcomes = apply_record(self.state, record)
            self.ownership.on_record(record, outcomes)
            self.leases.forget_ended()
            for change in record.changes:
                self._follow(change)

    def append(self, *changes: Change) -> None:
        """Append a record based on the newest state."""
        if not self.cluster.table_up:
            return
        self.catch_up()
        generation = len(self.cluster.journal) + 1
        record = Record(generation, f'w{generation}', self.name, changes)
        self.cluster.journal.append(RECORDS.encode(record))
        if not self.cluster.lose_answers:
            self.catch_up()

    def receive(self, message: Any) -> None:
        """Handle a datagram, or queue it while paused."""
        if self.dead:
            return
        if self.paused:
            self.inbox.append(message)
            return
        if isinstance(message, HandoverMessage):
            self.ownership.on_message(message)
            return
        proven = self.leases.on_message(message)
        if proven is not None:
            self.ownership.on_proven(proven, message.epoch)

    def resume(self) -> None:
        """Resume after a pause and handle the queued datagrams."""
        self.paused = False
        queued = self.inbox
        self.inbox = []
        for message in queued:
            self.receive(message)

    def tick(self) -> None:
        """Run the periodic work of leases and ownership once."""
        self.leases.tick()
        self.ownership.tick()
        for owner in self.ownership.outdated_proofs():
            self.leases.reopen_poll(owner)

    def supervise(self) -> None:
        """Append pending changes, state transitions and new witnesses."""
        changes = self.ownership.pending_changes()
        if changes:
            self.append(*changes)
        row = self.state.members.get(self.name)
        state = None if row is None else row.state
        if state is MemberState.STARTING and self.leases.is_held():
            self.append(StateSet(self.name, MemberState.READY, state))
        if state is MemberState.READY and self.leases.is_isolated():
            self.append(StateSet(self.name, MemberState.STARTING, state))
        change = self.leases.next_witness_change()
        if change is not None:
            self.append(change)

    def is_lost(self) -> bool:
        """Return whether this incarnation can never hold a lease again."""
        row = self.state.members.get(self.name)
        over = row is None or row.state is MemberState.OVER
        return over or self.leases.holder.is_lost()

    def owned(self) -> dict[str, int]:
        """Return the fence of each slice that the member would serve now."""
        found = {}
        for part in self.state.slices.values():
            ownership = self.ownership.ownership_of(part)
            if isinstance(ownership, Owned):
                found[part.slice_id] = ownership.fence
        return found

    def _follow(self, change: Change) -> None:
        if (
            not isinstance(change, WitnessesReplaced)
            or change.member != self.name
        ):
            return
        if change.epoch > self.row.epoch:
            self.leases.on_new_epoch(change.epoch, change.witnesses)


@dataclass
class FakeCluster:
    """Simulated members with a shared journal, network and true time."""

    random: random.Random
    slices: int = 4
    checks_fence: bool = True
    time: float = 0.0
    step_s: float = 0.02
    table_up: bool = True
    lose_answers: bool = False
    journal: list[bytes] = field(default_factory=list)
    network: list[Datagram] = field(default_factory=list)
    members: list[FakeMember] = field(default_factory=list)
    cut: set[frozenset[str]] = field(default_factory=set)
    loss: float = 0.0

    @classmethod
    def from_size(
        cls, size: int, seed: int = 1, **settings: Any
    ) -> 'FakeCluster':
        """Return a cluster in which each slice has owner and successor."""
        # Witnesses are chosen by the global generator: seed it as well, so
        # that a seed gives the same result in every run.
        random.seed(seed)
        cluster = cls(random.Random(seed), **settings)
        for number in range(size):
            cluster.join(number)
        cluster.run(3.0)
        return cluster

    def join(self, number: int) -> FakeMember:
        """Add a new incarnation of server ``number``."""
        name = f's{number}#{len(self.members)}'
        row = MemberRow(
            member=name,
            server=f's{number}',
            service=SERVICE,
            zone=f'z{number % 3}',
            http=f'http-{number}',
            udp=name,
            rpc='',
            slots=6,
            checks_fence=self.checks_fence,
        )
        member = FakeMember(row, self)
        if not self.journal:
            service = ServiceRow(SERVICE, self.slices, True, 400)
            member.append(DeclarationApplied('', 0, (service,)))
        member.catch_up()
        row.witnesses = choose_witnesses(member.state, row)
        member.leases.holder.add_epoch(1, row.witnesses)
        member.append(MemberJoined(row))
        self.members.append(member)
        return member

    def run(self, seconds: float) -> None:
        """Advance the simulation in steps and check exclusive ownership."""
        for _ in range(max(1, round(seconds / self.step_s))):
            self.advance(self.step_s)
            self.step()
            self.check()

    def advance(self, seconds: float) -> None:
        """Advance the true time and all clocks."""
        self.time += seconds
        for member in self.members:
            member.clock.true_now = self.time

    def step(self) -> None:
        """Execute one step of each running member.

        Datagrams are delivered without delay.
        """
        for member in self.members:
            if member.running:
                member.tick()
        self.deliver()
        for member in self.members:
            if member.running and self.table_up:
                member.catch_up()
                member.supervise()
        self.rejoin()
        self.decide()

    def rejoin(self) -> None:
        """Replace members that lost their lease by new incarnations."""
        for member in tuple(self.members):
            if member.running and self.table_up and member.is_lost():
                member.dead = True
                self.join(int(member.row.server[1:]))

    def newest(self, number: int) -> FakeMember:
        """Return the newest incarnation of a server."""
        server = f's{number}'
        return next(
            member
            for member in reversed(self.members)
            if member.row.server == server
        )

    def decide(self) -> None:
        """Let a random running member plan the placement."""
        running = [member for member in self.members if member.running]
        if running and self.table_up:
            decider = self.random.choice(running)
            decider.catch_up()
            changes = plan(decider.state)
            if changes:
                decider.append(*changes)

    def deliver(self) -> None:
        """Deliver the datagrams that are not lost or cut off."""
        datagrams = self.network
        self.network = []
        by_address = {member.row.udp: member for member in self.members}
        for datagram in datagrams:
            addresses = (datagram.sender, datagram.address)
            pair = frozenset(end.split('#')[0] for end in addresses)
            lost = pair in self.cut or self.random.random() < self.loss
            target = by_address.get(datagram.address)
            if target is not None and not lost:
                target.receive(datagram.message)

    def isolate(self, member: FakeMember) -> None:
        """Drop all datagrams between a member and its peers."""
        for other in self.members:
            if other.row.server != member.row.server:
                servers = (member.row.server, other.row.server)
                self.cut.add(frozenset(servers))

    def check(self) -> None:
        """Fail if two members would serve the same slice now.

        Paused members count as if they were resumed at this time.
        """
        owner_by_slice: dict[str, str] = {}
        for member in self.members:
            if member.dead:
                continue
            for slice_id in member.owned():
                other = owner_by_slice.setdefault(slice_id, member.name)
                assert other == member.name, (slice_id, other, member.name)

    def owner_of(self, slice_id: str) -> FakeMember | None:
        """Return the running member that serves a slice, if any."""
        for member in self.members:
            if member.running and slice_id in member.owned():
                return member
        return None

    def find_member(self, member: str | None) -> FakeMember:
        """Return a member by name."""
        return next(each for each in self.members if each.name == member)

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Run until a condition is true; return the seconds that took.

        Fails after ``limit`` seconds.
        """
        started_at = self.time
        while not condition():
            assert self.time - started_at < limit, 'condition still false'
            self.run(0.02)
        return self.time - started_at
