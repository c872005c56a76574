"""Grant the turns of members that change the map of the own service."""

import asyncio
from collections.abc import Callable

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.turns import TURN_LIMIT_S, TurnQueue, WaitingTurn
from plantaingrade.peers.entity import (
    Member,
    TurnAnswer,
    TurnEnded,
    TurnRequest,
    is_valid_address,
)

SendAnswer = Callable[[TurnAnswer, str], None]


class TurnGiver:
    """The queue of one member, used while others ask this one for turns.

    Nothing of it is stored: after a restart, members that wait ask again.
    """

    __slots__ = (
        '_clock',
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
        self._queue = TurnQueue()
        # The newest version that a member has reported with its turn.
        self._version = 0
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
        if not is_own or not is_valid_address(request.address):
            return
        name, number = request.name, request.number
        self._queue.request(
            name, request.address, number, request.rank, self._clock.now()
        )
        self._advance()
        is_granted = self._queue.is_granted(name, number)
        ahead = None if is_granted else self._queue.count_ahead(name)
        self._answer(request.address, number, ahead)

    def on_ended(self, ended: TurnEnded) -> None:
        """Grant the next turn once one has been returned."""
        if ended.service != self._own.service:
            return
        self._version = max(self._version, ended.version)
        self._queue.end(ended.name, ended.number)
        self._grant_next()

    def _grant_next(self) -> None:
        granted = self._advance()
        if granted is not None:
            self._answer(granted.address, granted.number, None)

    def _advance(self) -> WaitingTurn | None:
        lapsed = self._queue.lapsed
        granted = self._queue.advance(self._clock.now())
        if self._queue.lapsed > lapsed:
            self._log.write('turn-lapsed', map_version=self._version)
        if granted is not None:
            self._set_timer()
        return granted

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TURN_LIMIT_S, self._grant_next)

    def _answer(self, address: str, number: int, ahead: int | None) -> None:
        version = max(self._version, self._version_of_map())
        answer = TurnAnswer(self._own.name, number, version, ahead)
        self._send(answer, address)
