"""Keep the key maps of all services at the newest announced version."""

import asyncio
import random

from plantaingrade.clock import Clock
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
from plantaingrade.peers.entity import MapChanged, Member
from plantaingrade.peers.out_of_order import OutOfOrderChanges
from plantaingrade.supervision.jobs import start_job

PATH_MAP = '/-/map/'
# Wait before a missing change is fetched. Changes of other senders arrive
# within milliseconds, but a busy process reads them a few event loop turns
# later.
PULL_WAIT_S = 0.05
HEADER_VERSION = b'v'
MAX_VERSION_DIGITS = 18


class MapFollower:
    """Apply changes announced by peers, and fetch maps when one is missing."""

    __slots__ = (
        '_calls',
        '_clock',
        '_directory',
        '_log',
        '_maps',
        '_out_of_order',
        '_pull_by_service',
    )

    def __init__(
        self,
        directory: Directory,
        maps: KeyMaps,
        calls: PeerCalls,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Start without buffered changes or pending fetches."""
        self._directory = directory
        self._maps = maps
        self._calls = calls
        self._clock = clock
        self._log = log
        self._out_of_order = OutOfOrderChanges()
        self._pull_by_service: dict[str, asyncio.Task[None]] = {}

    def pull(self, service: str, source: Member, wanted: int = 0) -> None:
        """Fetch a whole map from a member, with one fetch at a time.

        The fetch is skipped if the ``wanted`` version, or any newer one where
        ``wanted`` is 0, arrives by datagram first.
        """
        if service in self._pull_by_service:
            return
        task = start_job('map-pull', self._async_pull(service, source, wanted))
        self._pull_by_service[service] = task
        task.add_done_callback(
            lambda _: self._pull_by_service.pop(service, None)
        )

    def encode_known(self, service: str) -> tuple[int, bytes]:
        """Return the version and the encoded map of a service."""
        key_map = self._maps.find_stored(service)
        return key_map.version, encode_map(key_map)

    def on_changed(self, message: MapChanged) -> None:
        """Apply a change, or fetch the map if its base version is missing."""
        service = message.service
        if self._apply(message):
            self._apply_out_of_order(service)
            return
        if message.ranges:
            self._out_of_order.add(message)
        source = self._directory.find(message.source)
        if source is not None:
            self.pull(service, source, message.version)

    def _apply(self, message: MapChanged) -> bool:
        """Apply a change; return whether the map is at its version or newer."""
        known = self._maps.find(message.service)
        if known.version >= message.version:
            # Two relays forward each change, so most arrive twice.
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

    def _apply_out_of_order(self, service: str) -> int:
        """Apply buffered changes that now fit; return the map version."""
        version = self._maps.find(service).version
        change = self._out_of_order.pop_next(service, version)
        while change is not None and self._apply(change):
            version = self._maps.find(service).version
            change = self._out_of_order.pop_next(service, version)
        return version

    async def _async_pull(
        self, service: str, source: Member, wanted: int
    ) -> None:
        known = self._maps.find(service).version
        if known and await self._async_wait_for_change(
            service, wanted or known + 1
        ):
            return
        await self._async_fetch(service, source)

    async def async_fetch_nearby(self, service: str, own: Member) -> None:
        """Fetch the map of a service from one of its members in the own zone.

        Members that miss a change at the same time spread over many others.
        """
        now = self._clock.now()
        neighbours = [
            member
            for member in self._directory.usable(now, service)
            if member.zone == own.zone and member.name != own.name
        ]
        if neighbours:
            await self._async_fetch(service, random.choice(neighbours))

    async def _async_fetch(self, service: str, source: Member) -> None:
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

    async def _async_wait_for_change(self, service: str, wanted: int) -> bool:
        """Wait for datagrams; return whether all announced changes came."""
        while True:
            await asyncio.sleep(PULL_WAIT_S)
            version = self._apply_out_of_order(service)
            if version < wanted:
                return False
            wanted = self._out_of_order.newest_version(service)
            if wanted <= version:
                return True
