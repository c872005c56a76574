"""Find the other processes, and keep the key maps of all services fresh."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from plantaingrade.balance.book import LoadBook
from plantaingrade.balance.entity import Load
from plantaingrade.clock import Clock
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.datagrams import TypedEndpoint
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.lease import (
    MemberRow,
    UnreadableLeaseError,
    decode_member_row,
    encode_member_row,
)
from plantaingrade.holds.registry import (
    KEY_MAP,
    KEY_MEMBER,
    TABLE,
    member_row,
)
from plantaingrade.http.client import Call
from plantaingrade.keyspace.codec import (
    UnreadableMapError,
    decode_map,
    encode_map,
)
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.operators.wishes import (
    UnreadableWishError,
    Wish,
    decode_wish,
    wish_row,
)
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.early import EarlyChanges
from plantaingrade.peers.entity import (
    Datagram,
    Goodbye,
    Handed,
    Hello,
    LoadTold,
    MapChanged,
    Member,
    Token,
    Welcome,
)
from plantaingrade.store.entity import (
    Committed,
    Expected,
    Put,
    RangeRead,
    Row,
    Transaction,
)
from plantaingrade.store.interface import Store
from plantaingrade.store.unreadable import UnreadableRows

CODEC = Codec(Datagram, Datagram)
HANDED_CODEC = Codec(Handed)
PATH_MAP = '/-/map/'
PATH_HANDED = '/-/handed'
UNREADABLE = (UnreadableLeaseError, UnreadableMapError, UnreadableWishError)
HELLO_PAUSES_S = (0.2, 0.4, 0.8, 1.6, 3.2)
JOIN_RETRY_S = 0.25
# A lost datagram about a map is made up for by a redirect; what even that
# does not repair is repaired by this.
REFRESH_S = 20.0
# A change that is told of by another sender arrives within milliseconds; a busy
# process reads it some wake-ups later. What is missing then is asked for.
PULL_WAIT_S = 0.05
HEADER_VERSION = b'v'
MAX_VERSION_DIGITS = 18


@dataclass(slots=True, frozen=True)
class PeerHooks:
    """What the coordinator asks and tells.

    ``services`` names all that are configured; ``on_wish`` is told what
    operators want of the own server.
    """

    services: Callable[[], Iterable[str]]
    on_wish: Callable[[Wish], None]


class PeerCoordinator:
    """Join the other processes on behalf of one member."""

    __slots__ = (
        '_calls',
        '_clock',
        '_directory',
        '_early',
        '_endpoint',
        '_hooks',
        '_loads',
        '_log',
        '_maps',
        '_pulls',
        '_row_version',
        '_store',
        '_unreadable',
        '_welcomed',
        'has_joined',
        'own',
    )

    def __init__(
        self,
        own: Member,
        directory: Directory,
        maps: KeyMaps,
        store: Store,
        calls: PeerCalls,
        clock: Clock,
        log: EventLog,
        loads: LoadBook,
        hooks: PeerHooks,
    ) -> None:
        """Know nobody yet."""
        self._hooks = hooks
        self._loads = loads
        self.own = own
        self.has_joined = False
        self._directory = directory
        self._maps = maps
        self._store = store
        self._calls = calls
        self._clock = clock
        self._log = log
        self._endpoint = TypedEndpoint(self._on_datagram, CODEC)
        self._unreadable = UnreadableRows(log)
        self._welcomed: set[str] = set()
        self._row_version = 0
        self._early = EarlyChanges()
        self._pulls: dict[str, asyncio.Task[None]] = {}

    @property
    def endpoint(self) -> TypedEndpoint:
        """Return the socket for datagrams."""
        return self._endpoint

    async def async_join(self, *, is_keyed: bool) -> None:
        """Make this member known and learn of the others."""
        self._directory.add(self.own)
        while not await self._async_register(is_keyed=is_keyed):
            await asyncio.sleep(JOIN_RETRY_S)
        while not await self.async_refresh():
            await asyncio.sleep(JOIN_RETRY_S)
        self.has_joined = True
        self._log.write('members-known', count=len(self._directory.members()))

    async def async_run(self) -> None:
        """Greet the others, and repair what was missed, until cancelled."""
        for pause_s in HELLO_PAUSES_S:
            self._greet()
            await asyncio.sleep(pause_s)
        while True:
            await asyncio.sleep(REFRESH_S)
            await self.async_refresh()
            self._greet()

    async def async_refresh(self) -> bool:
        """Read the members and maps of every service from the store."""
        for service in self._hooks.services():
            outcome = await self._store.async_read(TABLE, service)
            if not isinstance(outcome, RangeRead):
                self._log.write('members-not-read', why=outcome.failure)
                return False
            for row in outcome.rows:
                self._take_row(service, row)
        return True

    def say_goodbye(self) -> None:
        """Tell every member that this one leaves."""
        self._send_all(Goodbye(self.own.name, self.own.boot))

    def spread(
        self,
        service: str,
        before: KeyMap,
        after: KeyMap,
        skipped: Collection[str] = (),
    ) -> None:
        """Tell every member how a map changed; some may miss it.

        ``skipped`` names those that are told otherwise.
        """
        message = MapChanged.from_maps(service, self.own.name, before, after)
        if not self._endpoint.fits(message):
            message = replace(message, owners=(), ranges=())
        self._send_all(message, skipped)

    def pull_map(self, service: str, source: Member, wanted: int = 0) -> None:
        """Ask a member for a whole map, once at a time.

        Nothing is asked if the ``wanted`` version, or any newer one if none is
        named, arrives by datagram meanwhile.
        """
        if service in self._pulls:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._async_pull(service, source, wanted))
        self._pulls[service] = task
        task.add_done_callback(lambda _: self._pulls.pop(service, None))

    def encode_known_map(self, service: str) -> tuple[int, bytes]:
        """Return version and body of the map of a service."""
        key_map = self._maps.find(service)
        return key_map.version, encode_map(key_map)

    async def _async_register(self, *, is_keyed: bool) -> bool:
        """Write the row of a member that holds no keys."""
        if is_keyed:
            return True
        outcome = await self._store.async_read(TABLE, self.own.service)
        if not isinstance(outcome, RangeRead):
            return False
        name = member_row(self.own.service, self.own.name)
        version = next(
            (row.version for row in outcome.rows if row.name == name), 0
        )
        row = MemberRow(self.own, 0.0, self.own.boot)
        written = await self._store.async_commit(
            Transaction(
                (Expected(name, version),),
                (Put(name, encode_member_row(row)),),
            )
        )
        if not isinstance(written, Committed):
            return False
        self._row_version = written.version
        return True

    async def async_deregister(self) -> None:
        """Remove the row of a member that holds no keys.

        Failure: the row outlives its instance. It shows as requests that
        others send to an address where nobody answers, after each restart.
        """
        if not self._row_version:
            return
        name = member_row(self.own.service, self.own.name)
        outcome = await self._store.async_commit(
            Transaction((Expected(name, self._row_version),), deletes=(name,))
        )
        self._row_version = 0
        self._log.write('row-removed', outcome=type(outcome).__name__)

    def _take_row(self, service: str, row: Row) -> None:
        try:
            self._keep(service, row)
        except UNREADABLE as error:
            self._unreadable.note(row, str(error))

    def _keep(self, service: str, row: Row) -> None:
        if row.name.key == KEY_MAP:
            self._maps.offer(service, decode_map(row.body, row.version))
            return
        if row.name == wish_row(self.own.service, self.own.name):
            self._hooks.on_wish(decode_wish(row))
        if not row.name.key.startswith(KEY_MEMBER):
            return
        name = row.name.key.removeprefix(KEY_MEMBER)
        if name == self.own.name:
            return
        member = decode_member_row(name, row.body, row.version).member
        if member.service != service:
            raise UnreadableLeaseError('The row names another service.')
        self._meet(member)

    def _meet(self, member: Member) -> None:
        if member.name == self.own.name:
            return
        if not member.is_addressed():
            self._log.write('member-unusable', member=member.name)
            return
        if self._directory.add(member):
            # What a run before this one told of its load, such as that it
            # leaves, is not of this one.
            self._loads.forget(member.name)
            self._welcomed.discard(member.name)
            self._log.write(
                'member-met',
                member=member.name,
                service=member.service,
                boot=member.boot,
            )

    def _greet(self) -> None:
        for member in self._directory.members():
            unknown = member.name not in self._welcomed
            if unknown and member.name != self.own.name:
                self._endpoint.send(Hello(self.own), member.address)

    async def async_hand(
        self,
        target: str,
        before: KeyMap,
        after: KeyMap,
        tokens: tuple[Token, ...],
    ) -> None:
        """Tell the member that got keys; it grants them at once.

        If this is lost the member learns of its keys from a datagram, or from
        the first request, and its server starts cold.
        """
        member = self._directory.find(target)
        if member is None:
            return
        change = MapChanged.from_maps(
            self.own.service, self.own.name, before, after
        )
        body = HANDED_CODEC.encode(Handed(change, tokens))
        reply = await self._calls.async_post(member, PATH_HANDED, body)
        if reply is None:
            self._endpoint.send(change, member.address)

    def tell_load(self, load: Load, names: Iterable[str]) -> None:
        """Tell some members of this member's load."""
        message = LoadTold(
            self.own.name,
            round(load.share, 2),
            round(load.work_s, 4),
            load.slots,
        )
        for name in names:
            member = self._directory.find(name)
            if member is not None:
                self._endpoint.send(message, member.address)

    def take_handed(self, body: bytes) -> Handed | None:
        """Take the word that keys have passed to this member.

        It goes to an address, which may have passed to an instance of another
        service; tokens for that one's keys are of no use here.
        """
        try:
            handed = HANDED_CODEC.decode(body)
        except MalformedMessageError as error:
            self._log.write('handed-unreadable', why=str(error))
            return None
        self._on_map_changed(handed.change)
        if handed.change.service != self.own.service:
            return Handed(handed.change, ())
        return handed

    def _send_all(
        self, message: Datagram, skipped: Collection[str] = ()
    ) -> None:
        for member in self._directory.members():
            if member.name != self.own.name and member.name not in skipped:
                self._endpoint.send(message, member.address)

    def _on_datagram(self, message: Datagram) -> None:
        match message:
            case Hello(member) if member.is_addressed():
                self._meet(member)
                self._endpoint.send(Welcome(self.own), member.address)
            case Welcome(member):
                self._meet(member)
                self._welcomed.add(member.name)
            case Goodbye(name, boot):
                self._directory.remove(name, boot)
                self._log.write('member-left', member=name, boot=boot)
            case MapChanged():
                self._on_map_changed(message)
            case LoadTold(name, share, work_s, slots):
                load = Load(share, work_s, slots)
                self._loads.note(name, load, self._clock.now())

    def _on_map_changed(self, message: MapChanged) -> None:
        service = message.service
        if self._apply(message):
            self._apply_early(service)
            return
        if message.ranges:
            self._early.keep(message)
        source = self._directory.find(message.source)
        if source is not None:
            self.pull_map(service, source, message.version)

    def _apply(self, message: MapChanged) -> bool:
        """Take a change; tell whether the map is now as new."""
        if not message.ranges:
            known = self._maps.find(message.service)
            return known.version >= message.version
        try:
            changes = message.assignments()
        except ValueError as error:
            self._log.write('map-change-unreadable', why=str(error))
            return False
        return self._maps.apply(
            message.service,
            message.before,
            message.version,
            message.fence,
            changes,
        )

    def _apply_early(self, service: str) -> int:
        """Apply what was kept for the map as it is now; return its version."""
        version = self._maps.find(service).version
        change = self._early.take(service, version)
        while change is not None and self._apply(change):
            version = self._maps.find(service).version
            change = self._early.take(service, version)
        return version

    async def _async_pull(
        self, service: str, source: Member, wanted: int
    ) -> None:
        known = self._maps.find(service).version
        if known and await self._async_arrives(service, wanted or known + 1):
            return
        call = Call('GET', source.address, f'{PATH_MAP}{service}')
        reply = await self._calls.async_fetch(call)
        if reply is None:
            return
        version = reply.headers.get(HEADER_VERSION, b'0')
        if not version.isdigit() or len(version) > MAX_VERSION_DIGITS:
            return
        try:
            key_map = decode_map(reply.body, int(version))
        except UnreadableMapError as error:
            self._log.write('map-unreadable', why=str(error))
            return
        self._maps.offer(service, key_map)

    async def _async_arrives(self, service: str, wanted: int) -> bool:
        """Wait for datagrams; tell whether all that is spoken of has come."""
        while True:
            await asyncio.sleep(PULL_WAIT_S)
            version = self._apply_early(service)
            if version < wanted:
                return False
            wanted = self._early.newest(service)
            if wanted <= version:
                return True
