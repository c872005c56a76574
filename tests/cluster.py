"""Members without I/O, for tests that interleave them step by step."""

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
    """A clock that moves only when told, at its own rate."""

    def __init__(self, rate: float = 1.0) -> None:
        """Start at zero."""
        self.true_now = 0.0
        self.rate = rate

    def now(self) -> float:
        """Return this clock's reading in seconds."""
        return self.true_now * self.rate


@dataclass
class Letter:
    """A datagram on its way."""

    sender: str
    address: str
    message: Any


class FakeMember:
    """Leases and ownership of one member over a fake journal and network."""

    def __init__(self, row: MemberRow, cluster: 'FakeCluster') -> None:
        """Join with a copy of the journal as it stands."""
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
        """Tell whether the member takes steps."""
        return not self.paused and not self.dead

    def send(self, message: Any, address: str) -> None:
        """Put a datagram on the network."""
        self.cluster.network.append(Letter(self.row.udp, address, message))

    def catch_up(self) -> None:
        """Apply every record of the journal."""
        for raw in self.cluster.journal[self.state.generation :]:
            record = RECORDS.decode(raw)
            outcomes = apply_record(self.state, record)
            self.ownership.on_record(record, outcomes)
            self.leases.forget_ended()
            for change in record.changes:
                self._follow(change)

    def append(self, *changes: Change) -> None:
        """Append one record, as the coordinator does: from the newest state."""
        if not self.cluster.table_up:
            return
        self.catch_up()
        generation = len(self.cluster.journal) + 1
        record = Record(generation, f'w{generation}', self.name, changes)
        self.cluster.journal.append(RECORDS.encode(record))
        if not self.cluster.lose_answers:
            self.catch_up()

    def receive(self, message: Any) -> None:
        """Take a datagram in, or keep it until resumed."""
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
        """Go on after a pause, with what has queued up meanwhile."""
        self.paused = False
        queued = self.inbox
        self.inbox = []
        for message in queued:
            self.receive(message)

    def tick(self) -> None:
        """Run every system once."""
        self.leases.tick()
        self.ownership.tick()
        for owner in self.ownership.outdated_proofs():
            self.leases.reopen_poll(owner)

    def supervise(self) -> None:
        """Append what is due."""
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
        """Tell whether this incarnation can never hold a lease again."""
        row = self.state.members.get(self.name)
        over = row is None or row.state is MemberState.OVER
        return over or self.leases.holder.is_lost()

    def owned(self) -> dict[str, int]:
        """Return fences of the slices it would serve at this instant."""
        found = {}
        for part in self.state.slices.values():
            judgement = self.ownership.ownership_of(part)
            if isinstance(judgement, Owned):
                found[part.slice_id] = judgement.fence
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
    """Members, one journal, one network, one true time."""

    random: random.Random
    slices: int = 4
    checks_fence: bool = True
    time: float = 0.0
    step_s: float = 0.02
    table_up: bool = True
    lose_answers: bool = False
    journal: list[bytes] = field(default_factory=list)
    network: list[Letter] = field(default_factory=list)
    members: list[FakeMember] = field(default_factory=list)
    cut: set[frozenset[str]] = field(default_factory=set)
    loss: float = 0.0

    @classmethod
    def from_size(
        cls, size: int, seed: int = 1, **settings: Any
    ) -> 'FakeCluster':
        """Return a cluster whose slices all have owners and successors."""
        # Witnesses are chosen by the shared generator; the same seed gives
        # the same verdict on every run.
        random.seed(seed)
        cluster = cls(random.Random(seed), **settings)
        for number in range(size):
            cluster.join(number)
        cluster.run(3.0)
        return cluster

    def join(self, number: int) -> FakeMember:
        """Add an incarnation of server ``number``."""
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
        """Let time pass; every member ticks, letters arrive at once."""
        for _ in range(max(1, round(seconds / self.step_s))):
            self.advance(self.step_s)
            self.step()
            self.check()

    def advance(self, seconds: float) -> None:
        """Move the true time."""
        self.time += seconds
        for member in self.members:
            member.clock.true_now = self.time

    def step(self) -> None:
        """Let each running member take one step."""
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
        """Let members that lost their lease come back, as processes do."""
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
        """Let some running member decide."""
        running = [member for member in self.members if member.running]
        if running and self.table_up:
            decider = self.random.choice(running)
            decider.catch_up()
            changes = plan(decider.state)
            if changes:
                decider.append(*changes)

    def deliver(self) -> None:
        """Deliver every letter, unless the network loses it."""
        letters = self.network
        self.network = []
        by_address = {member.row.udp: member for member in self.members}
        for letter in letters:
            ends = (letter.sender, letter.address)
            pair = frozenset(end.split('#')[0] for end in ends)
            lost = pair in self.cut or self.random.random() < self.loss
            target = by_address.get(letter.address)
            if target is not None and not lost:
                target.receive(letter.message)

    def isolate(self, member: FakeMember) -> None:
        """Cut a member off from every other."""
        for other in self.members:
            if other.row.server != member.row.server:
                servers = (member.row.server, other.row.server)
                self.cut.add(frozenset(servers))

    def check(self) -> None:
        """Fail if two members would act on one slice at this instant.

        Paused members count as if they went on right now.
        """
        owner_by_slice: dict[str, str] = {}
        for member in self.members:
            if member.dead:
                continue
            for slice_id in member.owned():
                other = owner_by_slice.setdefault(slice_id, member.name)
                assert other == member.name, (slice_id, other, member.name)

    def owner_of(self, slice_id: str) -> FakeMember | None:
        """Return who serves a slice now."""
        for member in self.members:
            if member.running and slice_id in member.owned():
                return member
        return None

    def find_member(self, member: str | None) -> FakeMember:
        """Return a member by name."""
        return next(each for each in self.members if each.name == member)

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Run until a condition holds; return the seconds it took."""
        began = self.time
        while not condition():
            assert self.time - began < limit, 'never became true'
            self.run(0.02)
        return self.time - began
