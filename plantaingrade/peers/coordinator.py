"""Find the other processes, and keep the key maps of all services fresh."""

import asyncio
from collections.abc import Callable, Collection, Iterable

from msgspec import Struct
from msgspec.structs import replace

from plantaingrade.balance.book import LoadBook
from plantaingrade.balance.entity import Load, Room
from plantaingrade.clock import Clock
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.datagrams import TypedEndpoint
from plantaingrade.eventlog import EventLog
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.operators.wishes import Wish
from plantaingrade.peers.announcer import Announcer
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import (
    Datagram,
    Goodbye,
    Handover,
    Hello,
    Introduced,
    LoadTold,
    MapChanged,
    Member,
    Passed,
    RoomAsked,
    RoomTold,
    ServerCrashed,
    Token,
    Welcome,
    Word,
)
from plantaingrade.peers.map_follower import MapFollower
from plantaingrade.peers.own_row import OwnRow
from plantaingrade.peers.rooms import RoomInquiries
from plantaingrade.peers.service_rows import ServiceRows
from plantaingrade.peers.witnesses import PeerWitnesses
from plantaingrade.store.interface import Store

HANDOVER_CODEC = Codec(Handover)
PATH_HANDED = '/-/handed'
HELLO_PAUSES_S = (0.2, 0.4, 0.8, 1.6, 3.2)
JOIN_RETRY_S = 0.25
# A lost datagram about a map is made up for by a redirect; what even that
# does not repair is repaired by this.
REFRESH_S = 20.0
# The same for each member, where that is longer: an owner that is not known is
# looked up, so that this only mends what nobody asks for.
REFRESH_S_PER_MEMBER = 0.3
# Pause after the members were read for one that is not known.
LOOK_UP_PAUSE_S = 1.0


class PeerHooks(Struct, frozen=True):
    """What the coordinator asks and tells.

    ``services`` names all that are configured; ``on_wish`` is told what
    operators want of the own server, and ``on_crash`` what ran at another
    member's server when that crashed. ``room_of`` tells how soon the own
    server could run a request of a kind and priority, if it takes any.
    """

    services: Callable[[], Iterable[str]]
    on_wish: Callable[[Wish], None]
    on_crash: Callable[[tuple[str, ...]], None]
    room_of: Callable[[str, int], Room | None]


class PeerCoordinator:
    """Join the other processes on behalf of one member."""

    __slots__ = (
        '_announcer',
        '_calls',
        '_clock',
        '_directory',
        '_hooks',
        '_loads',
        '_log',
        '_looked_up',
        '_looking',
        '_maps',
        '_own_row',
        '_rows',
        '_store',
        'has_joined',
        'map_follower',
        'own',
        'capacity_queries',
        'witnesses',
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
        self._announcer = Announcer(own, directory, self._on_datagram)
        self.witnesses = PeerWitnesses(own, directory, calls, clock)
        self.map_follower = MapFollower(directory, maps, calls, log)
        self.capacity_queries = RoomInquiries(
            own, self._announcer.endpoint, clock, hooks.room_of
        )
        self._rows = ServiceRows(
            own, store, maps, hooks.services, self._meet, hooks.on_wish, log
        )
        self._own_row: OwnRow | None = None
        self._looked_up: set[str] = set()
        self._looking: asyncio.Task[None] | None = None

    @property
    def endpoint(self) -> TypedEndpoint:
        """Return the socket for datagrams."""
        return self._announcer.endpoint

    async def async_join(self, *, is_keyed: bool) -> None:
        """Make this member known and learn of the others."""
        self._directory.add(self.own)
        if not is_keyed:
            self._own_row = OwnRow(self.own, self._store, self._log)
            while not await self._own_row.async_write():
                await asyncio.sleep(JOIN_RETRY_S)
        while not await self.async_refresh():
            await asyncio.sleep(JOIN_RETRY_S)
        self.has_joined = True
        self._log.write('members-known', count=len(self._directory.members()))

    async def async_run(self) -> None:
        """Greet the others, and repair what was missed, until cancelled."""
        for pause_s in HELLO_PAUSES_S:
            self._announcer.greet()
            await asyncio.sleep(pause_s)
        self._announcer.introduce()
        while True:
            await asyncio.sleep(self._refresh_pause_s())
            self._looked_up.clear()
            await self.async_refresh()
            self._announcer.greet()

    def _refresh_pause_s(self) -> float:
        count = len(self._directory.members())
        return max(REFRESH_S, REFRESH_S_PER_MEMBER * count)

    async def async_refresh(self) -> bool:
        """Read the members and maps of every service from the store."""
        return await self._rows.async_read()

    async def async_begin_epoch(self) -> None:
        """Make a member without keys known in a new epoch of the store."""
        while self._own_row is not None and not self._own_row.is_written:
            if not await self._own_row.async_write():
                await asyncio.sleep(JOIN_RETRY_S)

    def look_up(self, name: str) -> None:
        """Read the members for one that owns keys and that nobody introduced.

        The datagrams that introduce a member may be lost. A name is looked up
        once between two repairs: a member may have left while the map still
        names it.
        """
        is_looking = self._looking is not None and not self._looking.done()
        if is_looking or name in self._looked_up:
            return
        self._looked_up.add(name)
        self._log.write('member-looked-up', member=name)
        loop = asyncio.get_running_loop()
        self._looking = loop.create_task(self._async_look_up())

    async def _async_look_up(self) -> None:
        await self.async_refresh()
        # Names that are missing together cost one call.
        await asyncio.sleep(LOOK_UP_PAUSE_S)

    def say_goodbye(self) -> None:
        """Tell every member that this one leaves."""
        self._announcer.tell_all(Goodbye(self.own.name, self.own.boot))

    def publish_change(
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
        if not self._announcer.fits(message, skipped):
            message = replace(message, owners=(), ranges=())
        self._announcer.tell_all(message, skipped)

    async def async_deregister(self) -> None:
        """Remove the row of a member that holds no keys."""
        own_row = self._own_row
        self._own_row = None
        if own_row is not None:
            await own_row.async_remove()

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
            self._announcer.on_met(member.name)
            self._log.write(
                'member-met',
                member=member.name,
                service=member.service,
                boot=member.boot,
            )

    async def async_send_handover(
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
        body = HANDOVER_CODEC.encode(Handover(change, tokens))
        reply = await self._calls.async_post(member, PATH_HANDED, body)
        if reply is None:
            self._announcer.tell(change, (target,))

    def tell_load(self, load: Load, names: Iterable[str]) -> None:
        """Tell some members of this member's load."""
        message = LoadTold(
            self.own.name,
            round(load.share, 2),
            round(load.work_s, 4),
            load.slots,
        )
        self._announcer.tell(message, names)

    def announce_crash(self, digests: tuple[str, ...]) -> None:
        """Tell every member what ran at the own server when it crashed."""
        self._announcer.tell_all(ServerCrashed(digests))

    def receive_handover(self, body: bytes) -> Handover | None:
        """Take the word that keys have passed to this member.

        It goes to an address, which may have passed to an instance of another
        service; tokens for that one's keys are of no use here.
        """
        try:
            handed = HANDOVER_CODEC.decode(body)
        except MalformedMessageError as error:
            self._log.write('handed-unreadable', why=str(error))
            return None
        self.map_follower.on_changed(handed.change)
        if handed.change.service != self.own.service:
            return Handover(handed.change, ())
        return handed

    def _on_datagram(self, message: Datagram) -> None:
        match message:
            case Hello(member) if member.is_addressed():
                self._welcome(member)
            case Welcome(member):
                self._on_welcome(member)
            case Introduced(member):
                self._meet(member)
            case Goodbye():
                self._on_goodbye(message)
            case MapChanged():
                self.map_follower.on_changed(message)
            case ServerCrashed(digests):
                self._hooks.on_crash(digests)
            case Passed(word):
                self._on_passed(message, word)
            case LoadTold():
                self._on_load(message)
            case RoomAsked() | RoomTold():
                self.capacity_queries.on_datagram(message)

    def _on_goodbye(self, left: Goodbye) -> None:
        self._directory.remove(left.name, left.boot)
        self._log.write('member-left', member=left.name, boot=left.boot)

    def _on_welcome(self, member: Member) -> None:
        self._meet(member)
        self._announcer.on_welcome(member.name)

    def _on_load(self, told: LoadTold) -> None:
        load = Load(told.share, told.work_s, told.slots)
        self._loads.note(told.name, load, self._clock.now())

    def _on_passed(self, passed: Passed, word: Word) -> None:
        """Take a word that is meant for the whole zone."""
        self._announcer.pass_on(passed)
        match word:
            case Introduced(member) if member.is_addressed():
                self._welcome(member)
            case _:
                self._on_datagram(word)

    def _welcome(self, member: Member) -> None:
        self._meet(member)
        self._announcer.endpoint.send(Welcome(self.own), member.address)
