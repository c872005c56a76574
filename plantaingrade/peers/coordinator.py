"""Discover the other processes and keep all key maps up to date."""

import asyncio
from collections.abc import Collection, Iterable

from msgspec.structs import replace

from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.clock import Clock
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.datagrams import TypedEndpoint
from plantaingrade.eventlog import EventLog
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.peers.announcer import Announcer
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.capacity_queries import CapacityQueries
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import (
    CapacityRequest,
    CapacityResponse,
    ConfigFound,
    Datagram,
    Forwarded,
    Goodbye,
    Handover,
    Hello,
    Introduced,
    LoadReport,
    MapChanged,
    Member,
    Notification,
    ServerCrashed,
    Token,
    TurnAnswer,
    TurnEnded,
    TurnRequest,
    Welcome,
)
from plantaingrade.peers.hooks import PeerHooks
from plantaingrade.peers.map_follower import MapFollower
from plantaingrade.peers.map_turns import MapTurns
from plantaingrade.peers.own_row import OwnRow
from plantaingrade.peers.service_rows import ServiceRows
from plantaingrade.peers.witnesses import PeerWitnesses
from plantaingrade.store.interface import Store
from plantaingrade.supervision.jobs import start_job

HANDOVER_CODEC = Codec(Handover)
PATH_HANDOVER = '/-/handed'
HELLO_PAUSES_S = (0.2, 0.4, 0.8, 1.6, 3.2)
JOIN_RETRY_S = 0.25
# After a lost map datagram, a redirect corrects the map. What that misses is
# corrected by this periodic read of the store.
REFRESH_S = 20.0
# Refresh interval per known member, where this exceeds REFRESH_S in total.
# Unknown owners are looked up on demand, so the refresh only corrects entries
# that no request needs.
REFRESH_S_PER_MEMBER = 0.3
# Minimum time between two reads of the store for unknown members.
LOOK_UP_PAUSE_S = 1.0


class PeerCoordinator:
    """Represent one member among the other processes."""

    __slots__ = (
        '_calls',
        '_clock',
        '_directory',
        '_hooks',
        '_loads',
        '_log',
        '_looked_up_names',
        '_lookup_task',
        '_maps',
        '_own_row',
        '_rows',
        '_store',
        'announcer',
        'capacity_queries',
        'has_joined',
        'map_follower',
        'own',
        'map_turns',
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
        loads: PeerLoads,
        hooks: PeerHooks,
    ) -> None:
        """Start without any known members."""
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
        self.announcer = Announcer(own, directory, self._on_datagram)
        self.witnesses = PeerWitnesses(own, directory, calls, clock)
        self.map_follower = MapFollower(directory, maps, calls, clock, log)
        self.capacity_queries = CapacityQueries(
            own, self.announcer.endpoint, clock, hooks.free_capacity_of
        )
        self.map_turns = MapTurns(
            own,
            directory,
            maps,
            self.announcer.endpoint.send,
            self.map_follower.on_changed,
            clock,
            log,
        )
        self._rows = ServiceRows(
            own,
            store,
            maps,
            hooks.services,
            self._add_member,
            hooks.on_desired_state,
            log,
        )
        self._own_row: OwnRow | None = None
        self._looked_up_names: set[str] = set()
        self._lookup_task: asyncio.Task[None] | None = None

    @property
    def endpoint(self) -> TypedEndpoint:
        """Return the datagram endpoint of this member."""
        return self.announcer.endpoint

    async def async_join(self, *, is_keyed: bool) -> None:
        """Register this member and read the others, retrying until done.

        A member that has joined before only reads the others.
        """
        self._directory.add(self.own)
        if not is_keyed and not self.has_joined:
            self._own_row = self._own_row or OwnRow(
                self.own, self._store, self._log
            )
            await self.async_begin_epoch()
        while not await self.async_refresh():
            await asyncio.sleep(JOIN_RETRY_S)
        self.has_joined = True
        self._log.write('members-known', count=len(self._directory.members()))

    async def async_run(self) -> None:
        """Send hellos, then refresh from the store until cancelled."""
        await self._async_send_hellos()
        while True:
            await asyncio.sleep(self._refresh_pause_s())
            self._looked_up_names.clear()
            await self.async_refresh()
            self.announcer.send_hello()

    async def async_introduce(self) -> None:
        """Introduce this member to those that started before its row stood.

        A member with keys that waits to join has no row for many seconds, and
        who starts meanwhile would meet it at its next refresh only. Members
        that start together don't find each other's rows when they join, and
        meet here.
        """
        await self.async_refresh()
        await self._async_send_hellos()

    async def _async_send_hellos(self) -> None:
        for pause_s in HELLO_PAUSES_S:
            self.announcer.send_hello()
            await asyncio.sleep(pause_s)
        self.announcer.introduce()

    def _refresh_pause_s(self) -> float:
        count = len(self._directory.members())
        return max(REFRESH_S, REFRESH_S_PER_MEMBER * count)

    async def async_refresh(self) -> bool:
        """Read members and maps of all services; return whether it worked."""
        return await self._rows.async_read()

    async def async_begin_epoch(self) -> None:
        """Register a member without keys in a new epoch of the store."""
        while self._own_row is not None and not self._own_row.is_written:
            if not await self._own_row.async_write():
                await asyncio.sleep(JOIN_RETRY_S)

    def look_up(self, name: str) -> None:
        """Read the members from the store to find an unknown key owner.

        The datagrams that introduce a member may be lost. Each name is looked
        up at most once between two refreshes, as the member may have left while
        the map still names it.
        """
        is_running = (
            self._lookup_task is not None and not self._lookup_task.done()
        )
        if is_running or name in self._looked_up_names:
            return
        self._looked_up_names.add(name)
        self._log.write('member-looked-up', member=name)
        self._lookup_task = start_job('member-look-up', self._async_look_up())

    async def _async_look_up(self) -> None:
        await self.async_refresh()
        # Names that are requested together share one read.
        await asyncio.sleep(LOOK_UP_PAUSE_S)

    def say_goodbye(self) -> None:
        """Notify every member that this one leaves."""
        self.announcer.broadcast(Goodbye(self.own.name, self.own.boot))

    def publish_change(
        self,
        service: str,
        before: KeyMap,
        after: KeyMap,
        skipped: Collection[str] = (),
    ) -> None:
        """Send a change to every member by datagram, which may be lost.

        ``skipped`` names members that are notified in another way.
        """
        message = MapChanged.from_maps(service, self.own.name, before, after)
        if not self.announcer.fits(message, skipped):
            message = replace(message, owners=(), ranges=())
        self.announcer.broadcast(message, skipped)

    async def async_deregister(self) -> None:
        """Remove the own row of a member that holds no keys."""
        own_row = self._own_row
        self._own_row = None
        if own_row is not None:
            await own_row.async_remove()

    def _add_member(self, member: Member) -> None:
        if member.name == self.own.name:
            return
        if not member.has_valid_address():
            self._log.write('member-unusable', member=member.name)
            return
        if self._directory.add(member):
            # A load reported by an earlier run of the member, for instance
            # that it is leaving, does not apply to this one.
            self._loads.forget(member.name)
            self.announcer.on_discovered(member.name)
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
        """Notify the new owner of keys, which grants them at once.

        If the call fails, the member learns of its keys from a datagram or
        from the first request, and its server starts cold.
        """
        member = self._directory.find(target)
        if member is None:
            return
        change = MapChanged.from_maps(
            self.own.service, self.own.name, before, after
        )
        body = HANDOVER_CODEC.encode(Handover(change, tokens))
        reply = await self._calls.async_post(member, PATH_HANDOVER, body)
        if reply is None:
            self.announcer.send(change, (target,))

    def tell_load(self, load: Load, names: Iterable[str]) -> None:
        """Send this member's load to the named members."""
        message = LoadReport(
            self.own.name,
            round(load.share, 2),
            round(load.work_s, 4),
            load.slots,
        )
        self.announcer.send(message, names)

    def announce_crash(self, digests: tuple[str, ...]) -> None:
        """Notify every member what the own server ran when it crashed."""
        self.announcer.broadcast(ServerCrashed(digests))

    def receive_handover(self, body: bytes) -> Handover | None:
        """Apply the notification that this member received keys.

        The address may have been reassigned from an instance of another
        service, whose tokens are not valid here and are dropped. Returns None
        if the body is malformed.
        """
        try:
            handover = HANDOVER_CODEC.decode(body)
        except MalformedMessageError as error:
            self._log.write('handed-unreadable', why=str(error))
            return None
        self.map_follower.on_changed(handover.change)
        if handover.change.service != self.own.service:
            return Handover(handover.change, ())
        return handover

    def _on_datagram(self, message: Datagram) -> None:
        match message:
            case Hello() | Welcome() | Introduced() | Goodbye():
                self._on_presence(message)
            case MapChanged():
                self.map_follower.on_changed(message)
                self.map_turns.granter.on_changed(message)
            case ServerCrashed(digests):
                self._hooks.on_crash(digests)
            case ConfigFound():
                self._hooks.on_config_found(message)
            case Forwarded(notification):
                self._on_forwarded(message, notification)
            case LoadReport(name):
                self._loads.record(name, message.load, self._clock.now())
            case CapacityRequest() | CapacityResponse():
                self.capacity_queries.on_datagram(message)
            case TurnRequest() | TurnAnswer() | TurnEnded():
                self.map_turns.on_datagram(message)

    def _on_presence(
        self, message: Hello | Welcome | Introduced | Goodbye
    ) -> None:
        match message:
            case Hello(member) if member.has_valid_address():
                self._welcome(member)
            case Welcome(member):
                self._add_member(member)
                self.announcer.on_welcome(member.name)
            case Introduced(member):
                self._add_member(member)
            case Goodbye():
                self._on_goodbye(message)

    def _on_goodbye(self, goodbye: Goodbye) -> None:
        self._directory.remove(goodbye.name, goodbye.boot)
        self._log.write('member-left', member=goodbye.name, boot=goodbye.boot)

    def _on_forwarded(
        self, forwarded: Forwarded, notification: Notification
    ) -> None:
        """Handle a notification and forward it within the own zone."""
        self.announcer.forward(forwarded)
        match notification:
            case Introduced(member) if member.has_valid_address():
                self._welcome(member)
            case _:
                self._on_datagram(notification)

    def _welcome(self, member: Member) -> None:
        self._add_member(member)
        self.announcer.endpoint.send(Welcome(self.own), member.address)
