"""Fake store, servers and members on a virtual clock, with faults."""

import asyncio
import os
import random
from collections import deque
from collections.abc import AsyncIterator, Callable, Collection, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial

from msgspec.structs import replace

from plantaingrade.backends.incarnation import IncarnationTracker
from plantaingrade.backends.report import ServerPresence
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import WITNESS_COUNT
from plantaingrade.holds.coordinator import HoldCoordinator, MemberLinks
from plantaingrade.holds.entity import (
    Accepted,
    ExpiryRequest,
    Grant,
    OrderOutcome,
    Outranked,
    PromiseRequest,
    Release,
    Unanswered,
    Unsent,
    Witness,
    WitnessRequest,
)
from plantaingrade.holds.orders import NoSessionError
from plantaingrade.holds.promises import WitnessState
from plantaingrade.holds.rows import KEY_MAP
from plantaingrade.holds.shared_renewals import SharedRenewals
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyMap, KeyRange
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import MapChanged, Member, Token
from plantaingrade.peers.map_turn_taking import NoMapTurns
from plantaingrade.peers.map_turns import MapTurns, TurnMessage
from plantaingrade.store.clock import StoreClock
from plantaingrade.store.entity import (
    Changes,
    Committed,
    Conflict,
    EpochEnded,
    FeedOutcome,
    NotDone,
    OutcomeUnknown,
    RangeRead,
    ReadOutcome,
    Row,
    RowName,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.epochs import (
    VERSIONS_PER_EPOCH,
    StoreEpochs,
    make_version,
    number_of,
)
from tests.virtual import LoopClock

SERVICE = 'cases'
CALL_S = 0.01
CALL_LIMIT_S = 1.0
# A datagram between availability zones, and a busy process.
MESSAGE_S = 0.003
# The store's clock differs from those of instances.
STORE_CLOCK_OFFSET_S = 777.0
INSTANCE_BITS = 32


class Fault(StrEnum):
    """Fault of one store call."""

    NONE = 'none'
    BUSY = 'busy'
    LOST = 'done-not-answered'
    LATE = 'done-late'
    SILENT = 'silent'
    # The call raises an exception that nobody expects.
    RAISED = 'done-raised'
    RAISED_LATE = 'raised-done-late'
    RAISED_UNDONE = 'raised'


RAISED_FAULTS = (Fault.RAISED, Fault.RAISED_LATE, Fault.RAISED_UNDONE)


class ThrownError(Exception):
    """Failure that no task expects."""


@dataclass(slots=True)
class RowsSnapshot:
    """All rows at one moment."""

    row_by_name: dict[RowName, Row]
    version: int


class FakeRows:
    """Rows of one service, shared by all members."""

    def __init__(self) -> None:
        """Start without rows."""
        self.row_by_name: dict[RowName, Row] = {}
        self.version = 0
        self.epoch = 0
        # A store that is never restored may report no epochs at all.
        self.reports_epochs = True
        # Time that the part of the store needs for one transaction.
        self.turn_s = 0.0
        # One-way delay to the store.
        self.call_s = CALL_S
        self._free_at = 0.0

    def snapshot(self) -> RowsSnapshot:
        """Return a snapshot of all rows."""
        return RowsSnapshot(dict(self.row_by_name), self.version)

    def restore(self, snapshot: RowsSnapshot) -> None:
        """Restore a snapshot, and lose all later writes.

        Their versions are assigned again.
        """
        self.row_by_name = dict(snapshot.row_by_name)
        self.version = snapshot.version
        self.epoch += 1

    async def async_take_turn(self) -> None:
        """Wait until all earlier transactions are processed."""
        if not self.turn_s:
            return
        self._free_at = max(self._free_at, _now()) + self.turn_s
        await asyncio.sleep(self._free_at - _now())

    def commit(self, transaction: Transaction) -> bool:
        """Apply a transaction completely or not at all."""
        for each in transaction.expected:
            if self._version_of(each.name) != number_of(each.version):
                return False
        self.version += 1
        for put in transaction.puts:
            self.row_by_name[put.name] = Row(put.name, put.body, self.version)
        for name in transaction.deletes:
            self.row_by_name.pop(name, None)
        return True

    def expected_rows(self, transaction: Transaction) -> tuple[Row, ...]:
        """Return the current rows that a transaction expected."""
        names = [each.name for each in transaction.expected]
        return self.versioned(
            self.row_by_name[name] for name in names if name in self.row_by_name
        )

    def versioned(self, rows: Iterable[Row]) -> tuple[Row, ...]:
        """Return rows with the versions that they have in this epoch."""
        return tuple(
            replace(row, version=make_version(self.epoch, row.version))
            for row in rows
        )

    @property
    def latest_version(self) -> int:
        """Return the latest version of this epoch."""
        return self.epoch * VERSIONS_PER_EPOCH + self.version

    def _version_of(self, name: RowName) -> int:
        row = self.row_by_name.get(name)
        return 0 if row is None else row.version


class FakeStore:
    """One member's access to the rows."""

    def __init__(self, rows: FakeRows) -> None:
        """Use shared rows, without faults.

        ``faults`` apply to the next transactions that change the map. A store
        that ``is_unavailable`` answers nothing; one that ``is_refusing``
        answers at once that it has done nothing.
        """
        self.rows = rows
        self.clock = StoreClock()
        self.epochs = StoreEpochs()
        self.faults: deque[Fault] = deque()
        self.is_unavailable = False
        self.is_refusing = False
        self.late_s = 3.0
        self.commits = 0
        # Commits that change the map.
        self.changes = 0
        self.reads = 0

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a transaction."""
        if transaction.epoch < self.epochs.newest:
            return EpochEnded(self.epochs.newest)
        self.commits += 1
        self.changes += _changes_map(transaction)
        sent_at = _now()
        await asyncio.sleep(self.rows.call_s)
        await self.rows.async_take_turn()
        fault = self._fault_of(transaction)
        match fault:
            case Fault.BUSY:
                return NotDone(StoreFailure.BUSY)
            case Fault.LOST | Fault.RAISED:
                self.rows.commit(transaction)
            case Fault.LATE | Fault.RAISED_LATE:
                loop = asyncio.get_running_loop()
                loop.call_later(self.late_s, self.rows.commit, transaction)
        if fault in RAISED_FAULTS:
            raise ThrownError(fault)
        if fault is not Fault.NONE:
            await asyncio.sleep(CALL_LIMIT_S)
            return OutcomeUnknown(StoreFailure.LOST)
        done = self.rows.commit(transaction)
        epoch = self.rows.epoch
        now_s = _store_now()
        if done:
            outcome = Committed(self.rows.latest_version, now_s)
        else:
            outcome = Conflict(self.rows.expected_rows(transaction), now_s)
        await asyncio.sleep(self.rows.call_s)
        self._note(epoch)
        if transaction.epoch < self.epochs.newest:
            return EpochEnded(self.epochs.newest)
        self.clock.observe(sent_at, _now(), now_s)
        return outcome

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows."""
        self.reads += 1
        sent_at = _now()
        await asyncio.sleep(self.rows.call_s)
        if self.is_unavailable:
            await asyncio.sleep(CALL_LIMIT_S)
            return NotDone(StoreFailure.NOT_REACHED)
        rows = tuple(
            row
            for name, row in self.rows.row_by_name.items()
            if (name.table, name.part) == (table, part)
        )
        versioned_rows = self.rows.versioned(rows)
        outcome = RangeRead(
            versioned_rows, self.rows.latest_version, _store_now()
        )
        await asyncio.sleep(self.rows.call_s)
        self._note(outcome.epoch)
        if outcome.epoch < self.epochs.newest:
            return NotDone(StoreFailure.OUTDATED)
        self.clock.observe(sent_at, _now(), outcome.now_s)
        return outcome

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        """Report no change."""
        await asyncio.sleep(wait_s)
        return Changes((), after, _store_now())

    def _note(self, epoch: int) -> None:
        if self.rows.reports_epochs:
            self.epochs.record(epoch)

    def _fault_of(self, transaction: Transaction) -> Fault:
        if self.is_unavailable:
            return Fault.SILENT
        if self.is_refusing:
            return Fault.BUSY
        if self.faults and _changes_map(transaction):
            return self.faults.popleft()
        return Fault.NONE


@dataclass(slots=True)
class FakeHold:
    """Keys held under a fence until a time."""

    keys: KeyRange
    fence: int
    until: float


@dataclass(slots=True)
class FakeServer:
    """One incarnation of a server.

    Its clock is slow, so its holds last for the longest possible time.
    """

    instance: str
    holds: list[FakeHold] = field(default_factory=list)
    fences: list[tuple[KeyRange, int]] = field(default_factory=list)
    is_up: bool = True
    is_silent: bool = False
    late_share: float = 0.0
    warm: list[KeyRange] = field(default_factory=list)
    rng: random.Random = field(default_factory=random.Random)
    clock_rate: float = 1.02
    peers: 'list[FakeServer]' = field(default_factory=list)
    stale_grants: list[str] = field(default_factory=list)

    def grant(self, grant: Grant, arrived: float) -> OrderOutcome:
        """Execute a grant; its hold runs from its arrival."""
        for keys, fence in self.fences:
            if keys.overlap(grant.keys) and fence > grant.fence:
                return Outranked()
        until = arrived + grant.hold_s * self.clock_rate
        # A grant that is executed too late holds nothing.
        if until > _now():
            self._check_fence(grant)
        if (grant.keys, grant.fence) not in self.fences:
            self.fences.append((grant.keys, grant.fence))
        self.drop(grant.keys)
        self.holds.append(FakeHold(grant.keys, grant.fence, until))
        if grant.handover:
            self.warm.append(grant.keys)
        return Accepted()

    def drop(self, keys: KeyRange) -> None:
        """Release a range."""
        self.holds = [
            FakeHold(rest, hold.fence, hold.until)
            for hold in self.holds
            for rest in hold.keys.without(keys)
        ]

    def _check_fence(self, grant: Grant) -> None:
        """Record a grant whose fence is not above all of other incarnations."""
        self.stale_grants.extend(
            f'{grant} at {self.instance}: {other.instance} had {fence}'
            for other in self.peers
            for keys, fence in other.fences
            if other is not self
            and keys.overlap(grant.keys)
            and fence >= grant.fence
        )

    def held(self, now: float) -> list[FakeHold]:
        """Return the holds that are in force."""
        return [hold for hold in self.holds if hold.until > now]


class FakeOrders:
    """Orders to the current incarnation of the server."""

    def __init__(self, server: FakeServer) -> None:
        """Order one server.

        With ``hides_disconnect`` the connections don't show that an incarnation
        has ended: they are silent, or another order has taken the last one.
        """
        self.server = server
        self.hides_disconnect = False
        self._connected_to: FakeServer | None = None
        self._sessions = 0

    @property
    def session(self) -> int:
        """Return the number of the current session."""
        server = self._connected_to
        if server is None:
            return 0
        return self._sessions if server.is_up or self.hides_disconnect else 0

    def listen(self, on_over: Callable[[], None]) -> None:
        """Report no ended session: callers must not depend on it."""

    async def async_open(self) -> bool:
        """Connect to the current incarnation."""
        if self.session:
            return True
        await asyncio.sleep(CALL_S)
        if not self.server.is_up:
            return False
        self._connected_to = self.server
        self._sessions += 1
        return True

    @asynccontextmanager
    async def turn(self, session: int) -> AsyncIterator['FakeTurn']:
        """Reserve a connection of the session."""
        server = self._connected_to
        if self.session != session or server is None:
            raise NoSessionError('The session is over.')
        yield FakeTurn(self, server)

    def drop(self, server: FakeServer) -> None:
        """End the session with a server after an unanswered order."""
        if self._connected_to is server:
            self._connected_to = None

    async def async_release(
        self, release: Release, limit_s: float
    ) -> OrderOutcome:
        """Release a range."""
        server = self.server
        await asyncio.sleep(CALL_S)
        if not server.is_up:
            return Unsent()
        if server.is_silent:
            await asyncio.sleep(limit_s)
            return Unanswered()
        server.drop(release.keys)
        await asyncio.sleep(CALL_S)
        return Accepted(f'token-{release.keys.first}')

    async def async_ask_presence(self, path: str) -> ServerPresence | None:
        """Return the server's id."""
        if not self.server.is_up:
            return None
        return ServerPresence(self.server.instance)

    def close(self) -> None:
        """End the session."""
        self._connected_to = None


class FakeTurn:
    """Grants to one incarnation."""

    def __init__(self, orders: FakeOrders, server: FakeServer) -> None:
        """Use a connection to an incarnation that may have ended."""
        self._orders = orders
        self._server = server

    async def async_grant(self, grant: Grant, limit_s: float) -> OrderOutcome:
        """Grant a range."""
        server = self._server
        await asyncio.sleep(CALL_S)
        arrived = _now()
        if server.is_silent or not server.is_up:
            await asyncio.sleep(limit_s)
            self._orders.drop(server)
            return Unanswered()
        if server.rng.random() < server.late_share:
            delay_s = server.rng.uniform(2.0, 12.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, _execute, server, grant, arrived)
            await asyncio.sleep(limit_s)
            self._orders.drop(server)
            return Unanswered()
        return server.grant(grant, arrived)


def _execute(server: FakeServer, grant: Grant, arrived: float) -> None:
    if server.is_up:
        server.grant(grant, arrived)


class FakeRelay:
    """Notifies the other members of changes, and may lose messages."""

    def __init__(self, cluster: 'FakeCluster', own: str) -> None:
        """Send on behalf of one member."""
        self._cluster = cluster
        self._own = own
        self.broadcasts: list[tuple[KeyMap, KeyMap]] = []

    def publish_change(
        self,
        service: str,
        before: KeyMap,
        after: KeyMap,
        skipped: Collection[str] = (),
    ) -> None:
        """Notify every member."""
        self.broadcasts.append((before, after))
        for member in self._cluster.members:
            is_notified = (
                member.name != self._own and member.name not in skipped
            )
            if is_notified and self._cluster.is_delivered():
                self._cluster.notify(member, after)

    async def async_send_handover(
        self,
        target: str,
        before: KeyMap,
        after: KeyMap,
        tokens: tuple[Token, ...],
    ) -> None:
        """Notify the member that receives keys."""
        await asyncio.sleep(CALL_S)
        for member in self._cluster.members:
            if member.name == target and self._cluster.is_delivered():
                member.maps.update_if_newer(SERVICE, after)
                for token in tokens:
                    member.holds.expect_handover(token)


class FakeTurnNetwork:
    """Carries the messages about turns; some are late, lost or ignored."""

    def __init__(self) -> None:
        """Start without members."""
        self.directory = Directory()
        self.turns_by_address: dict[str, MapTurns] = {}
        # Members whose process is stopped for a while or cut off.
        self.unreachable: set[str] = set()
        self.is_lost: Callable[[TurnMessage], bool] = lambda _: False
        self.sent = 0

    def connect(self, member: Member, maps: KeyMaps, log: EventLog) -> MapTurns:
        """Connect a new run of a member."""

        def send(message: TurnMessage, address: str) -> None:
            if member.address not in self.unreachable:
                self._send(message, address)

        self.directory.add(member)
        turns = MapTurns(
            member,
            self.directory,
            maps,
            send,
            partial(_apply_change, maps),
            LoopClock(),
            log,
        )
        self.turns_by_address[member.address] = turns
        return turns

    def _send(self, message: TurnMessage, address: str) -> None:
        self.sent += 1
        if not self.is_lost(message):
            loop = asyncio.get_running_loop()
            loop.call_later(MESSAGE_S, self._deliver, message, address)

    def _deliver(self, message: TurnMessage, address: str) -> None:
        if address not in self.unreachable:
            self.turns_by_address[address].on_datagram(message)


class FakeWitnesses:
    """Witnesses among the other members; messages may be lost."""

    def __init__(self, cluster: 'FakeCluster', own: str, boot: str) -> None:
        """Act as a witness for one run of a member."""
        self._cluster = cluster
        self._own = own
        # Whether requests of this member are lost.
        self.is_cut_off = False
        self.state = WitnessState(boot)

    def choose(self) -> tuple[Witness, ...]:
        """Return up to three other running members."""
        return tuple(
            Witness(member.name, member.witnesses.state.boot)
            for member in self._cluster.members
            if member.name != self._own and member.task is not None
        )[:WITNESS_COUNT]

    async def async_ask(
        self, witness: Witness, question: WitnessRequest
    ) -> bool:
        """Ask one; the request or the response may be lost or slow."""
        await asyncio.sleep(CALL_S)
        if self.is_cut_off or not self._cluster.is_delivered():
            await asyncio.sleep(CALL_LIMIT_S / 2)
            return False
        is_agreed = self._cluster.decide(witness, question)
        if not self._cluster.is_delivered():
            await asyncio.sleep(CALL_LIMIT_S / 2)
            return False
        await asyncio.sleep(CALL_S)
        return is_agreed


@dataclass(slots=True)
class FakeMember:
    """One member with its server."""

    name: str
    server: FakeServer
    store: FakeStore
    maps: KeyMaps
    life: IncarnationTracker
    orders: FakeOrders
    holds: HoldCoordinator
    relay: FakeRelay
    witnesses: FakeWitnesses
    task: asyncio.Task[None] | None = None
    moves: list[asyncio.Task[bool]] = field(default_factory=list)


class FakeCluster:
    """Members of one service around shared rows."""

    def __init__(
        self, seed: int = 0, turns: FakeTurnNetwork | None = None
    ) -> None:
        """Start without members; without ``turns`` they take none."""
        self.rows = FakeRows()
        self.turns = turns
        self.message_s = 0.0
        self.members: list[FakeMember] = []
        self.lost_message_share = 0.0
        self.servers: list[FakeServer] = []
        self._random = random.Random(seed)
        self._started_at = _now()
        self._boots = 0
        self._log = EventLog(
            'fake', LoopClock(), os.open(os.devnull, os.O_WRONLY)
        )

    def is_delivered(self) -> bool:
        """Return whether the next message is delivered."""
        return self._random.random() >= self.lost_message_share

    def notify(self, member: FakeMember, key_map: KeyMap) -> None:
        """Deliver a changed map, at once or after ``message_s``."""
        if not self.message_s:
            member.maps.update_if_newer(SERVICE, key_map)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.message_s, member.maps.update_if_newer, SERVICE, key_map
        )

    def decide(self, witness: Witness, question: WitnessRequest) -> bool:
        """Return the answer of a witness, false if that run has ended."""
        for member in self.members:
            if member.name != witness.name or member.task is None:
                continue
            match question:
                case PromiseRequest():
                    return member.witnesses.state.on_promise_request(
                        question, _now()
                    )
                case ExpiryRequest():
                    return member.witnesses.state.on_expiry_request(
                        question, _now()
                    )
        return False

    def set_store_unavailable(self, is_unavailable: bool) -> None:
        """Make the store unavailable or available for all members."""
        for member in self.members:
            member.store.is_unavailable = is_unavailable

    def add(self, name: str) -> FakeMember:
        """Add a member with a new server, and start it.

        Members that are added before any time has passed start together.
        """
        is_first = _now() == self._started_at
        member = self._make(name, self.add_server(), starts_with_all=is_first)
        self.members.append(member)
        return member

    def kill(self, member: FakeMember) -> None:
        """End a member's process; its server continues."""
        if member.task is not None:
            member.task.cancel()
            member.task = None
        for move in member.moves:
            move.cancel()

    def move(self, member: FakeMember, keys: KeyRange, target: str) -> None:
        """Start a transfer of a range."""
        give = member.holds.async_transfer([keys], target)
        move = asyncio.get_running_loop().create_task(give)
        member.moves.append(move)

    def restart(self, member: FakeMember) -> FakeMember:
        """Start a new run of a member with the same server."""
        restarted = self._make(member.name, member.server, member.store)
        self.members[self.members.index(member)] = restarted
        return restarted

    def restart_server(self, member: FakeMember) -> None:
        """Crash a server and report the start of its next incarnation."""
        self.restart_server_unannounced(member)
        member.life.on_identified(member.server.instance, _now())
        member.holds.on_new_incarnation()

    def restart_server_unannounced(self, member: FakeMember) -> None:
        """Crash a server and start its next incarnation, unreported."""
        member.server.is_up = False
        member.server.holds.clear()
        member.server = self.add_server()
        member.orders.server = member.server

    def overlaps(self) -> list[str]:
        """Return the keys that two servers hold now."""
        now = _now()
        found = []
        for index, one in enumerate(self.servers):
            for other in self.servers[index + 1 :]:
                found.extend(_overlaps(one, other, now))
        return found

    def stale_fence_grants(self) -> list[str]:
        """Return grants under fences not above other incarnations' fences."""
        return [note for server in self.servers for note in server.stale_grants]

    def held_keys(self) -> int:
        """Return the number of keys that are held now."""
        now = _now()
        return sum(
            len(hold.keys)
            for server in self.servers
            if server.is_up
            for hold in server.held(now)
        )

    async def async_stop(self) -> None:
        """Stop every member."""
        tasks = [
            member.task for member in self.members if member.task is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_server(self) -> FakeServer:
        instance = f'i-{self._random.getrandbits(INSTANCE_BITS):08x}'
        rng = random.Random(self._random.random())
        server = FakeServer(instance, rng=rng, peers=self.servers)
        self.servers.append(server)
        return server

    def make_shared_renewals(
        self, name: str, store: FakeStore
    ) -> SharedRenewals | None:
        """Return what renews a member's lease, None if it does so itself."""

    def _make(
        self,
        name: str,
        server: FakeServer,
        store: FakeStore | None = None,
        *,
        starts_with_all: bool = False,
    ) -> FakeMember:
        self._boots += 1
        store = store or FakeStore(self.rows)
        store.clock = StoreClock()
        store.epochs = StoreEpochs()
        address = f'10.0.0.{len(self.members)}:7' if self.turns else ''
        for known in self.members:
            if known.name == name:
                address = known.holds.registry.member.address
        identity = Member(name, SERVICE, 'a', address, f'b{self._boots}')
        maps = KeyMaps()
        life = IncarnationTracker()
        life.on_identified(server.instance, _now())
        orders = FakeOrders(server)
        relay = FakeRelay(self, name)
        witnesses = FakeWitnesses(self, name, identity.boot)
        holds = HoldCoordinator(
            store,
            maps,
            identity,
            life,
            orders,
            LoopClock(),
            self._log,
            MemberLinks(
                relay,
                witnesses,
                lambda: None,
                self.make_shared_renewals(name, store),
                self.turns.connect(identity, maps, self._log)
                if self.turns
                else NoMapTurns(),
            ),
            starts_with_all=starts_with_all,
        )
        maps.listen(lambda service, _: holds.on_map(service))
        member = FakeMember(
            name, server, store, maps, life, orders, holds, relay, witnesses
        )
        member.task = asyncio.get_running_loop().create_task(holds.async_run())
        return member


def _overlaps(one: FakeServer, other: FakeServer, now: float) -> list[str]:
    if not one.is_up or not other.is_up:
        return []
    return [
        f'{one.instance} and {other.instance}: {first.keys} {second.keys}'
        for first in one.held(now)
        for second in other.held(now)
        if first.keys.overlap(second.keys)
    ]


def _apply_change(maps: KeyMaps, change: MapChanged) -> None:
    maps.apply(
        change.service,
        change.before,
        change.version,
        change.fence,
        change.assignments(),
    )


def _changes_map(transaction: Transaction) -> bool:
    return any(put.name.key == KEY_MAP for put in transaction.puts)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _store_now() -> float:
    return _now() + STORE_CLOCK_OFFSET_S
