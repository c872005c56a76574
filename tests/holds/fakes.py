"""A store and servers in memory, on a virtual clock, that fail on request."""

import asyncio
import os
import random
from collections import deque
from collections.abc import AsyncIterator, Callable, Collection, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum

from msgspec.structs import replace

from plantaingrade.backends.life import BackendLife
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
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyMap, KeyRange
from plantaingrade.peers.entity import Member, Token
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
# The store's clock and those of instances do not start together.
STORE_AHEAD_S = 777.0
LIFE_BITS = 32


class Fault(StrEnum):
    """What becomes of one call."""

    NONE = 'none'
    BUSY = 'busy'
    LOST = 'done-not-answered'
    LATE = 'done-late'
    SILENT = 'silent'


@dataclass(slots=True)
class RowsCopy:
    """All rows as they were at one moment."""

    row_by_name: dict[RowName, Row]
    version: int


class FakeRows:
    """Rows of one service, shared by all members."""

    def __init__(self) -> None:
        """Start empty."""
        self.row_by_name: dict[RowName, Row] = {}
        self.version = 0
        self.epoch = 0
        # A store that never goes back may tell no epochs at all.
        self.tells_epochs = True
        # How long the part works on one transaction, before the next.
        self.turn_s = 0.0
        self._free_at = 0.0

    def copy(self) -> RowsCopy:
        """Return all rows as they are now."""
        return RowsCopy(dict(self.row_by_name), self.version)

    def come_back(self, copy: RowsCopy) -> None:
        """Lose all that was written since a copy was made.

        Versions are given out again.
        """
        self.row_by_name = dict(copy.row_by_name)
        self.version = copy.version
        self.epoch += 1

    async def async_take_turn(self) -> None:
        """Wait until the part has worked on all that came before."""
        if not self.turn_s:
            return
        self._free_at = max(self._free_at, _now()) + self.turn_s
        await asyncio.sleep(self._free_at - _now())

    def commit(self, transaction: Transaction) -> bool:
        """Apply a transaction or nothing of it."""
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
        """Return the rows that a transaction expected, as they stand."""
        names = [each.name for each in transaction.expected]
        return self.told(
            self.row_by_name[name] for name in names if name in self.row_by_name
        )

    def told(self, rows: Iterable[Row]) -> tuple[Row, ...]:
        """Return rows with the versions that they have in this epoch."""
        return tuple(
            replace(row, version=make_version(self.epoch, row.version))
            for row in rows
        )

    @property
    def told_version(self) -> int:
        """Return the newest version of this epoch."""
        return self.epoch * VERSIONS_PER_EPOCH + self.version

    def _version_of(self, name: RowName) -> int:
        row = self.row_by_name.get(name)
        return 0 if row is None else row.version


class FakeStore:
    """One member's way to the rows."""

    def __init__(self, rows: FakeRows) -> None:
        """Use shared rows; nothing fails.

        ``faults`` are those of the next transactions that change the map. A
        store ``is_away`` answers nothing; one that ``is_refusing`` says at
        once that it has done nothing.
        """
        self.rows = rows
        self.clock = StoreClock()
        self.epochs = StoreEpochs()
        self.faults: deque[Fault] = deque()
        self.is_away = False
        self.is_refusing = False
        self.late_s = 3.0
        self.commits = 0
        self.reads = 0

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        """Apply a transaction."""
        if transaction.epoch < self.epochs.newest:
            return EpochEnded(self.epochs.newest)
        self.commits += 1
        sent_at = _now()
        await asyncio.sleep(CALL_S)
        await self.rows.async_take_turn()
        fault = self._fault_of(transaction)
        match fault:
            case Fault.BUSY:
                return NotDone(StoreFailure.BUSY)
            case Fault.LOST:
                self.rows.commit(transaction)
            case Fault.LATE:
                loop = asyncio.get_running_loop()
                loop.call_later(self.late_s, self.rows.commit, transaction)
        if fault is not Fault.NONE:
            await asyncio.sleep(CALL_LIMIT_S)
            return OutcomeUnknown(StoreFailure.LOST)
        done = self.rows.commit(transaction)
        epoch = self.rows.epoch
        now_s = _store_now()
        if done:
            outcome = Committed(self.rows.told_version, now_s)
        else:
            outcome = Conflict(self.rows.expected_rows(transaction), now_s)
        await asyncio.sleep(CALL_S)
        self._note(epoch)
        if transaction.epoch < self.epochs.newest:
            return EpochEnded(self.epochs.newest)
        self.clock.observe(sent_at, _now(), now_s)
        return outcome

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows."""
        self.reads += 1
        sent_at = _now()
        await asyncio.sleep(CALL_S)
        if self.is_away:
            await asyncio.sleep(CALL_LIMIT_S)
            return NotDone(StoreFailure.NOT_REACHED)
        rows = tuple(
            row
            for name, row in self.rows.row_by_name.items()
            if (name.table, name.part) == (table, part)
        )
        told = self.rows.told(rows)
        outcome = RangeRead(told, self.rows.told_version, _store_now())
        await asyncio.sleep(CALL_S)
        self._note(outcome.epoch)
        if outcome.epoch < self.epochs.newest:
            return NotDone(StoreFailure.OUTDATED)
        self.clock.observe(sent_at, _now(), outcome.now_s)
        return outcome

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        """Tell of no change."""
        await asyncio.sleep(wait_s)
        return Changes((), after, _store_now())

    def _note(self, epoch: int) -> None:
        if self.rows.tells_epochs:
            self.epochs.note(epoch)

    def _fault_of(self, transaction: Transaction) -> Fault:
        if self.is_away:
            return Fault.SILENT
        if self.is_refusing:
            return Fault.BUSY
        changes_map = any(put.name.key == KEY_MAP for put in transaction.puts)
        if self.faults and changes_map:
            return self.faults.popleft()
        return Fault.NONE


@dataclass(slots=True)
class FakeHold:
    """Keys held until a time, under a fence."""

    keys: KeyRange
    fence: int
    until: float


@dataclass(slots=True)
class FakeServer:
    """One life of a server; its holds last longest by a slow clock."""

    instance: str
    holds: list[FakeHold] = field(default_factory=list)
    fences: list[tuple[KeyRange, int]] = field(default_factory=list)
    is_up: bool = True
    is_silent: bool = False
    late_share: float = 0.0
    warm: list[KeyRange] = field(default_factory=list)
    chooser: random.Random = field(default_factory=random.Random)
    clock_rate: float = 1.02
    others: 'list[FakeServer]' = field(default_factory=list)
    not_above: list[str] = field(default_factory=list)

    def grant(self, grant: Grant, arrived: float) -> OrderOutcome:
        """Carry a grant out; its time counts from its arrival."""
        for keys, fence in self.fences:
            if keys.overlap(grant.keys) and fence > grant.fence:
                return Outranked()
        until = arrived + grant.hold_s * self.clock_rate
        # One that is carried out after its time holds nothing.
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
        """Hold a range no more."""
        self.holds = [
            FakeHold(rest, hold.fence, hold.until)
            for hold in self.holds
            for rest in hold.keys.without(keys)
        ]

    def _check_fence(self, grant: Grant) -> None:
        """Note a fence that is not above all of other lives on these keys."""
        self.not_above.extend(
            f'{grant} at {self.instance}: {other.instance} had {fence}'
            for other in self.others
            for keys, fence in other.fences
            if other is not self
            and keys.overlap(grant.keys)
            and fence >= grant.fence
        )

    def held(self, now: float) -> list[FakeHold]:
        """Return the holds that last."""
        return [hold for hold in self.holds if hold.until > now]


class FakeOrders:
    """Orders to whatever life of the server there is."""

    def __init__(self, server: FakeServer) -> None:
        """Order one server.

        With ``is_sign_lost`` the end of a life does not show at the
        connections to it: they have fallen silent, or another order took
        the last one.
        """
        self.server = server
        self.is_sign_lost = False
        self._connected_to: FakeServer | None = None
        self._sessions = 0

    @property
    def session(self) -> int:
        """Return the number of the session in force."""
        server = self._connected_to
        if server is None:
            return 0
        return self._sessions if server.is_up or self.is_sign_lost else 0

    def listen(self, on_over: Callable[[], None]) -> None:
        """Tell of no end: what is built on it must hold without."""

    async def async_open(self) -> bool:
        """Connect to the present life."""
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
        """Use the session."""
        server = self._connected_to
        if self.session != session or server is None:
            raise NoSessionError('The session is over.')
        yield FakeTurn(self, server)

    def drop(self, server: FakeServer) -> None:
        """End the session with a life after an order without answer."""
        if self._connected_to is server:
            self._connected_to = None

    async def async_release(
        self, release: Release, limit_s: float
    ) -> OrderOutcome:
        """Take a range back."""
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
    """Grants to one life."""

    def __init__(self, orders: FakeOrders, server: FakeServer) -> None:
        """Use a connection to a life that may be over by now."""
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
        if server.chooser.random() < server.late_share:
            delay_s = server.chooser.uniform(2.0, 12.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, _carry_out, server, grant, arrived)
            await asyncio.sleep(limit_s)
            self._orders.drop(server)
            return Unanswered()
        return server.grant(grant, arrived)


def _carry_out(server: FakeServer, grant: Grant, arrived: float) -> None:
    if server.is_up:
        server.grant(grant, arrived)


class FakeCourier:
    """Tell the other members of changes, or lose the word."""

    def __init__(self, world: 'FakeCluster', own: str) -> None:
        """Send on behalf of one member."""
        self._world = world
        self._own = own
        self.told: list[tuple[KeyMap, KeyMap]] = []

    def spread(
        self,
        service: str,
        before: KeyMap,
        after: KeyMap,
        skipped: Collection[str] = (),
    ) -> None:
        """Tell every member."""
        self.told.append((before, after))
        for place in self._world.members:
            is_told = place.name != self._own and place.name not in skipped
            if is_told and self._world.is_heard():
                place.maps.offer(service, after)

    async def async_hand(
        self,
        target: str,
        before: KeyMap,
        after: KeyMap,
        tokens: tuple[Token, ...],
    ) -> None:
        """Tell the member that got keys."""
        await asyncio.sleep(CALL_S)
        for place in self._world.members:
            if place.name == target and self._world.is_heard():
                place.maps.offer(SERVICE, after)
                for token in tokens:
                    place.holds.expect_handover(token)


class FakeWitnesses:
    """Witnesses among the other members; words to and from them are lost."""

    def __init__(self, world: 'FakeCluster', own: str, boot: str) -> None:
        """Answer for one run of a member."""
        self._world = world
        self._own = own
        # No question of this member arrives.
        self.is_cut = False
        self.book = WitnessState(boot)

    def choose(self) -> tuple[Witness, ...]:
        """Name up to three others that run."""
        return tuple(
            Witness(place.name, place.witnesses.book.boot)
            for place in self._world.members
            if place.name != self._own and place.task is not None
        )[:WITNESS_COUNT]

    async def async_ask(
        self, witness: Witness, question: WitnessRequest
    ) -> bool:
        """Ask one; either way may be lost, or take long."""
        await asyncio.sleep(CALL_S)
        if self.is_cut or not self._world.is_heard():
            await asyncio.sleep(CALL_LIMIT_S / 2)
            return False
        is_agreed = self._world.decide(witness, question)
        if not self._world.is_heard():
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
    life: BackendLife
    orders: FakeOrders
    holds: HoldCoordinator
    relay: FakeCourier
    witnesses: FakeWitnesses
    task: asyncio.Task[None] | None = None
    moves: list[asyncio.Task[bool]] = field(default_factory=list)


class FakeCluster:
    """Members of one service around shared rows."""

    def __init__(self, seed: int = 0) -> None:
        """Start with nobody."""
        self.rows = FakeRows()
        self.members: list[FakeMember] = []
        self.lost_word_share = 0.0
        self.servers: list[FakeServer] = []
        self._random = random.Random(seed)
        self._began_at = _now()
        self._boots = 0
        self._log = EventLog(
            'fake', LoopClock(), os.open(os.devnull, os.O_WRONLY)
        )

    def is_heard(self) -> bool:
        """Tell whether the next word arrives."""
        return self._random.random() >= self.lost_word_share

    def decide(self, witness: Witness, question: WitnessRequest) -> bool:
        """Have the run of a member that is named answer, if it still runs."""
        for place in self.members:
            if place.name != witness.name or place.task is None:
                continue
            match question:
                case PromiseRequest():
                    return place.witnesses.book.on_promise_request(
                        question, _now()
                    )
                case ExpiryRequest():
                    return place.witnesses.book.on_expiry_request(
                        question, _now()
                    )
        return False

    def set_store_away(self, is_away: bool) -> None:
        """Take the store away from all members, or give it back."""
        for place in self.members:
            place.store.is_away = is_away

    def add(self, name: str) -> FakeMember:
        """Add a member with a new server, and start it.

        Members that are added before any time has passed start together.
        """
        is_first = _now() == self._began_at
        place = self._make(name, self.add_server(), starts_with_all=is_first)
        self.members.append(place)
        return place

    def kill(self, place: FakeMember) -> None:
        """End a member's process; its server goes on."""
        if place.task is not None:
            place.task.cancel()
            place.task = None
        for move in place.moves:
            move.cancel()

    def move(self, place: FakeMember, keys: KeyRange, target: str) -> None:
        """Give a range away, beside all else that goes on."""
        give = place.holds.async_transfer([keys], target)
        move = asyncio.get_running_loop().create_task(give)
        place.moves.append(move)

    def restart(self, place: FakeMember) -> FakeMember:
        """Start a new run of a member beside the same server."""
        again = self._make(place.name, place.server, place.store)
        self.members[self.members.index(place)] = again
        return again

    def renew_server(self, place: FakeMember) -> None:
        """Crash a server; another life of it starts."""
        self.replace_server(place)
        place.life.on_named(place.server.instance, _now())
        place.holds.on_new_incarnation()

    def replace_server(self, place: FakeMember) -> None:
        """Crash a server; another life of it starts, and nobody is told."""
        place.server.is_up = False
        place.server.holds.clear()
        place.server = self.add_server()
        place.orders.server = place.server

    def overlaps(self) -> list[str]:
        """Return the keys that two servers hold now."""
        now = _now()
        found = []
        for place, one in enumerate(self.servers):
            for other in self.servers[place + 1 :]:
                found.extend(_overlaps(one, other, now))
        return found

    def fences_not_above(self) -> list[str]:
        """Return the grants whose fences other lives had, or higher ones."""
        return [note for server in self.servers for note in server.not_above]

    def held_keys(self) -> int:
        """Return how many keys are held now."""
        now = _now()
        return sum(
            len(hold.keys)
            for server in self.servers
            if server.is_up
            for hold in server.held(now)
        )

    async def async_stop(self) -> None:
        """End every member."""
        tasks = [place.task for place in self.members if place.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_server(self) -> FakeServer:
        instance = f'i-{self._random.getrandbits(LIFE_BITS):08x}'
        chooser = random.Random(self._random.random())
        server = FakeServer(instance, chooser=chooser, others=self.servers)
        self.servers.append(server)
        return server

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
        member = Member(name, SERVICE, 'a', '', f'b{self._boots}')
        maps = KeyMaps()
        life = BackendLife()
        life.on_named(server.instance, _now())
        orders = FakeOrders(server)
        relay = FakeCourier(self, name)
        witnesses = FakeWitnesses(self, name, member.boot)
        holds = HoldCoordinator(
            store,
            maps,
            member,
            life,
            orders,
            LoopClock(),
            self._log,
            MemberLinks(relay, witnesses, lambda: None),
            starts_with_all=starts_with_all,
        )
        maps.listen(lambda service, _: holds.on_map(service))
        place = FakeMember(
            name, server, store, maps, life, orders, holds, relay, witnesses
        )
        place.task = asyncio.get_running_loop().create_task(holds.async_run())
        return place


def _overlaps(one: FakeServer, other: FakeServer, now: float) -> list[str]:
    if not one.is_up or not other.is_up:
        return []
    return [
        f'{one.instance} and {other.instance}: {first.keys} {second.keys}'
        for first in one.held(now)
        for second in other.held(now)
        if first.keys.overlap(second.keys)
    ]


def _now() -> float:
    return asyncio.get_running_loop().time()


def _store_now() -> float:
    return _now() + STORE_AHEAD_S
