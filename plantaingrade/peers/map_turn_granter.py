"""Grant the turns of members that change the map of the own service."""

import asyncio
from collections.abc import Callable

from plantaingrade.addresses import is_ip_address
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.map_turn_queue import MapTurnQueue, WaitingMapTurn
from plantaingrade.peers.entity import (
    MapChanged,
    Member,
    TurnAnswer,
    TurnEnded,
    TurnRequest,
)

# A turn that has not been returned after this time is granted once more, as the
# grant or the answer to it may be lost. A change takes half as long.
REPEAT_S = 0.04

SendAnswer = Callable[[TurnAnswer, str], None]


class MapTurnGranter:
    """Grants turns one after the other to the members that ask this one.

    Its queue is only in memory: after a restart, members that wait ask again.
    """

    __slots__ = (
        '_change',
        '_clock',
        '_granted_version',
        '_log',
        '_own',
        '_queue',
        '_send',
        '_timer',
        '_version',
        '_version_of_map',
    )

    def __init__(
        self,
        own: Member,
        send: SendAnswer,
        version_of_map: Callable[[], int],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Answer on behalf of a member; ``version_of_map`` is what it knows."""
        self._own = own
        self._send = send
        self._version_of_map = version_of_map
        self._clock = clock
        self._log = log
        self._queue = MapTurnQueue()
        # The newest version that a member has reported with its turn.
        self._version = 0
        self._change: MapChanged | None = None
        # The newest version when the last turn was granted.
        self._granted_version = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def lapsed(self) -> int:
        """Return how many turns were not returned in time."""
        return self._queue.lapsed

    def on_request(self, request: TurnRequest) -> None:
        """Answer a request at once.

        Requests for another service are ignored: the address may have been
        reassigned from an instance of that service.
        """
        is_own = request.service == self._own.service
        if not is_own or not is_ip_address(request.address):
            return
        name, number = request.name, request.number
        self._queue.request(
            name, request.address, number, request.rank, self._clock.now()
        )
        self._advance()
        wait_ms = None
        if not self._queue.is_granted(name, number):
            wait_s = self._queue.expected_wait_s(name)
            wait_ms = round(wait_s * MS_PER_S)
        self._answer(request.address, number, wait_ms)

    def on_ended(self, ended: TurnEnded) -> None:
        """Grant the next turn once one has been returned."""
        if ended.service != self._own.service:
            return
        self._version = max(self._version, ended.version)
        self._keep(ended.change)
        self._queue.end(ended.name, ended.number, self._clock.now())
        self._grant_next()

    def on_changed(self, change: MapChanged) -> None:
        """End a turn when its change is announced.

        The message that returns the turn may be lost.
        """
        if change.service != self._own.service:
            return
        self._keep(change)
        granted = self._queue.granted
        is_newer = change.version > self._granted_version
        if granted is not None and granted.name == change.source and is_newer:
            self._version = max(self._version, change.version)
            self._queue.end(granted.name, granted.number, self._clock.now())
            self._grant_next()

    def _grant_next(self) -> None:
        granted = self._advance()
        if granted is not None:
            self._answer(granted.address, granted.number, None)

    def _advance(self) -> WaitingMapTurn | None:
        before = self._queue.granted
        lapsed = self._queue.lapsed
        granted = self._queue.advance(self._clock.now())
        if before is not None and self._queue.lapsed > lapsed:
            self._log.write('turn-lapsed', member=before.name)
        if granted is not None:
            self._granted_version = self._newest_version()
            self._set_timer()
        return granted

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPEAT_S, self._check)

    def _check(self) -> None:
        """Repeat the grant of a turn, or grant the next one.

        A member answers a repeated grant if it has returned the turn already.
        """
        granted = self._queue.granted
        self._grant_next()
        if granted is not None and granted is self._queue.granted:
            self._answer(granted.address, granted.number, None)
            self._set_timer()

    def _keep(self, change: MapChanged | None) -> None:
        """Keep the newest change, which is sent with the next turn."""
        if change is None or not change.is_short:
            return
        if self._change is None or change.version > self._change.version:
            self._change = change

    def _newest_version(self) -> int:
        return max(self._version, self._version_of_map())

    def _answer(self, address: str, number: int, wait_ms: int | None) -> None:
        version = self._newest_version()
        change = None
        if wait_ms is None and self._change is not None:
            change = self._change if self._change.version == version else None
        answer = TurnAnswer(self._own.name, number, version, wait_ms, change)
        self._send(answer, address)
