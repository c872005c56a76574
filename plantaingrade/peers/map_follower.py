"""Keep the key maps of all services as new as others speak of them."""

import asyncio

from plantaingrade.eventlog import EventLog
from plantaingrade.http.client import Call
from plantaingrade.keyspace.codec import (
    UnreadableMapError,
    decode_map,
    encode_map,
)
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.early import EarlyChanges
from plantaingrade.peers.entity import MapChanged, Member

PATH_MAP = '/-/map/'
# A change that is told of by another sender arrives within milliseconds; a busy
# process reads it some wake-ups later. What is missing then is asked for.
PULL_WAIT_S = 0.05
HEADER_VERSION = b'v'
MAX_VERSION_DIGITS = 18


class MapFollower:
    """Apply the changes that others tell, and ask for what is missing."""

    __slots__ = ('_calls', '_directory', '_early', '_log', '_maps', '_pulls')

    def __init__(
        self,
        directory: Directory,
        maps: KeyMaps,
        calls: PeerCalls,
        log: EventLog,
    ) -> None:
        """Follow nothing yet."""
        self._directory = directory
        self._maps = maps
        self._calls = calls
        self._log = log
        self._early = EarlyChanges()
        self._pulls: dict[str, asyncio.Task[None]] = {}

    def pull(self, service: str, source: Member, wanted: int = 0) -> None:
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

    def encode_known(self, service: str) -> tuple[int, bytes]:
        """Return version and body of the map of a service."""
        key_map = self._maps.find_stored(service)
        return key_map.version, encode_map(key_map)

    def on_changed(self, message: MapChanged) -> None:
        """Take a change, or ask for what it was made from."""
        service = message.service
        if self._apply(message):
            self._apply_early(service)
            return
        if message.ranges:
            self._early.keep(message)
        source = self._directory.find(message.source)
        if source is not None:
            self.pull(service, source, message.version)

    def _apply(self, message: MapChanged) -> bool:
        """Take a change; tell whether the map is now as new."""
        known = self._maps.find(message.service)
        if known.version >= message.version:
            # Over two relays most changes come twice.
            return True
        if not message.ranges:
            return False
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
        self._maps.update_if_newer(service, key_map)

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
