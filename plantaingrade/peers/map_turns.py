"""Take turns to change the key map of a service, by datagram."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import count

from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.map_turn_queue import (
    MAX_REPEAT_S,
    TURN_LIMIT_S,
    MapTurnRank,
)
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import (
    MapChanged,
    Member,
    TurnAnswer,
    TurnEnded,
    TurnRequest,
)
from plantaingrade.peers.map_turn_granter import MapTurnGranter
from plantaingrade.peers.map_turn_taking import MapTurn

TurnMessage = TurnRequest | TurnAnswer | TurnEnded
SendTurnMessage = Callable[[TurnMessage, str], None]

# A round trip between availability zones takes 3 ms, and a process that is
# busy needs some tens of milliseconds more.
ANSWER_TIMEOUT_S = 0.04
# Unanswered requests after which a member changes the map without a turn.
MAX_UNANSWERED = 2
# A member that did not answer is not asked for turns for this long.
SILENT_PAUSE_S = 1.0
# Longest wait for the map of the turn before. A change from an older map fails
# and returns the newest one, which takes about as long.
MAP_WAIT_S = 0.015


class MapTurnWait:
    """One request for a turn, and what has been answered so far."""

    __slots__ = (
        'answered',
        'expected_at',
        'granted',
        'is_deferrable',
        'number',
        'unanswered',
        'until',
        'wait_s',
        'grant',
    )

    def __init__(self, number: int, rank: int, until: float) -> None:
        """Wait until a local time; start without an answer."""
        self.number = number
        self.is_deferrable = rank == MapTurnRank.DEFERRABLE
        self.until = until
        self.answered = asyncio.Event()
        self.granted = asyncio.Event()
        # The answer that grants the turn.
        self.grant: TurnAnswer | None = None
        # Time until the turn by the last answer, and local time of the turn.
        self.wait_s = 0.0
        self.expected_at = 0.0
        self.unanswered = 0

    def on_asked(self) -> None:
        """Record that a request has been sent."""
        self.unanswered += 1
        self.answered.clear()

    def on_answer(self, answer: TurnAnswer, now: float) -> None:
        """Record an answer."""
        self.unanswered = 0
        self.wait_s = (answer.wait_ms or 0) / MS_PER_S
        self.expected_at = now + self.wait_s
        self.answered.set()
        if answer.wait_ms is None:
            self.grant = answer
            self.granted.set()

    def is_open(self, now: float) -> bool:
        """Return whether to go on waiting.

        A turn that can be deferred is not waited for if it comes too late.
        """
        if self.granted.is_set() or now >= self.until:
            return False
        return not self.is_deferrable or self.expected_at <= self.until

    def repeat_s(self) -> float:
        """Return how long a waiting member need not ask again.

        The member that grants turns may be lost meanwhile, so it is asked again
        at about the time of the turn.
        """
        if self.unanswered:
            return 0.0
        return max(ANSWER_TIMEOUT_S, min(MAX_REPEAT_S, self.wait_s))


class MapTurns:
    """The turns of one member, taken from another one or granted to others.

    All members ask the first owner in the order of keys. If their maps differ
    they may ask two, and their changes conflict as without turns.
    """

    __slots__ = (
        '_apply_change',
        '_clock',
        '_directory',
        '_expected_at',
        '_held',
        '_log',
        '_map_changed',
        '_maps',
        '_numbers',
        '_own',
        '_send_datagram',
        '_silent_until',
        '_wait',
        'granter',
        'taken',
        'unanswered',
        'waited_s',
    )

    def __init__(
        self,
        own: Member,
        directory: Directory,
        maps: KeyMaps,
        send: SendTurnMessage,
        apply_change: Callable[[MapChanged], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Take turns for one member; ``send`` sends to an address.

        ``apply_change`` receives changes of the map that come with a turn.
        """
        self._own = own
        self._directory = directory
        self._maps = maps
        self._send_datagram = send
        self._apply_change = apply_change
        self._clock = clock
        self._log = log
        self._numbers = count(1)
        self._wait: MapTurnWait | None = None
        self._silent_until: dict[str, float] = {}
        self._held: MapTurn | None = None
        self._expected_at = 0.0
        self._map_changed = asyncio.Event()
        # Turns that were granted to this member, those asked for without an
        # answer, and the total wait of both in seconds.
        self.taken = 0
        self.unanswered = 0
        self.waited_s = 0.0
        self.granter = MapTurnGranter(
            own, self._send, self._version, clock, log
        )
        maps.listen(self._on_map)

    async def async_take(self, rank: int, limit_s: float) -> MapTurn | None:
        """Wait for a turn; return None if nobody grants one in time."""
        started_at = self._clock.now()
        until = started_at + limit_s
        wait = MapTurnWait(next(self._numbers), rank, until)
        self._wait = wait
        try:
            turn = await self._async_take(wait, rank)
        finally:
            self._wait = None
            self.waited_s += self._clock.now() - started_at
        if turn is not None:
            self.taken += 1
            self._held = turn
            await self._async_wait_for_map(turn.version)
        return turn

    def give_back(self, turn: MapTurn, change: MapChanged | None) -> None:
        """End a turn after its change has been committed or has failed."""
        self._held = None
        self._end(turn.granter, turn.number, change)

    def expected_wait_s(self) -> float:
        """Return how long a turn would take by the last answer, in seconds."""
        return max(0.0, self._expected_at - self._clock.now())

    def on_datagram(self, message: TurnMessage) -> None:
        """Handle a message of another member, or of this one."""
        match message:
            case TurnRequest():
                self.granter.on_request(message)
            case TurnEnded():
                self._apply(message.change)
                self.granter.on_ended(message)
            case TurnAnswer():
                self._apply(message.change)
                self._on_answer(message)

    def _apply(self, change: MapChanged | None) -> None:
        if change is not None:
            self._apply_change(change)

    async def _async_take(self, wait: MapTurnWait, rank: int) -> MapTurn | None:
        granter = None
        try:
            while wait.is_open(self._clock.now()):
                granter = self._find_granter()
                if granter is None or self._is_silent(wait, granter):
                    break
                await self._async_ask(granter, wait, rank)
        finally:
            if wait.grant is None and granter is not None:
                self._end(granter.name, wait.number)
        answer = wait.grant
        if answer is None:
            return None
        until = self._clock.now() + TURN_LIMIT_S
        return MapTurn(answer.name, answer.number, answer.version, until)

    async def _async_ask(
        self, granter: Member, wait: MapTurnWait, rank: int
    ) -> None:
        """Ask once; wait until the turn is granted or it is time to repeat."""
        wait.on_asked()
        own = self._own
        request = TurnRequest(
            own.service, own.name, own.address, wait.number, rank
        )
        self._send(request, granter.address)
        await self._async_wait(wait.answered, ANSWER_TIMEOUT_S, wait.until)
        if wait.is_open(self._clock.now()):
            await self._async_wait(wait.granted, wait.repeat_s(), wait.until)

    def _find_granter(self) -> Member | None:
        """Return the first owner in the order of keys that may answer.

        Suspicions after failed connections differ from member to member, and so
        would the members asked: only those that left a request for a turn
        unanswered are skipped.
        """
        now = self._clock.now()
        for assignment in self._maps.find(self._own.service).assignments:
            name = assignment.owner
            if name == self._own.name:
                return self._own
            member = self._directory.find(name)
            if member is not None and self._silent_until.get(name, 0.0) <= now:
                return member
        return None

    def _is_silent(self, wait: MapTurnWait, granter: Member) -> bool:
        """Return whether a member has left too many requests unanswered."""
        if wait.unanswered < MAX_UNANSWERED:
            return False
        self._silent_until[granter.name] = self._clock.now() + SILENT_PAUSE_S
        self.unanswered += 1
        self._expected_at = 0.0
        self._log.write('turn-unanswered', member=granter.name)
        return True

    def _on_answer(self, answer: TurnAnswer) -> None:
        """Record an answer; return a turn that is not waited for any more."""
        wait = self._wait
        if wait is not None and wait.number == answer.number:
            wait.on_answer(answer, self._clock.now())
            self._expected_at = wait.expected_at
        elif answer.wait_ms is None and not self._holds(answer.number):
            # It was withdrawn, or returned by a message that was lost.
            self._end(answer.name, answer.number)

    def _holds(self, number: int) -> bool:
        return self._held is not None and self._held.number == number

    def _end(
        self, granter: str, number: int, change: MapChanged | None = None
    ) -> None:
        member = self._directory.find(granter)
        if granter == self._own.name:
            member = self._own
        if member is None:
            return
        own = self._own
        is_short = change is not None and change.is_short
        ended = TurnEnded(
            own.service,
            own.name,
            number,
            self._version(),
            change if is_short else None,
        )
        self._send(ended, member.address)

    def _send(self, message: TurnMessage, address: str) -> None:
        """Send a message, which may be to this member itself."""
        if address == self._own.address:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.on_datagram, message)
        else:
            self._send_datagram(message, address)

    def _version(self) -> int:
        return self._maps.find(self._own.service).version

    async def _async_wait_for_map(self, version: int) -> None:
        """Wait briefly for the map that the turn before has left."""
        ends = self._clock.now() + MAP_WAIT_S
        while self._version() < version and self._clock.now() < ends:
            self._map_changed.clear()
            await self._async_wait(self._map_changed, MAP_WAIT_S, ends)

    async def _async_wait(
        self, event: asyncio.Event, wait_s: float, ends: float
    ) -> None:
        """Wait for an event, within a limit in seconds and until a time."""
        limit_s = min(wait_s, ends - self._clock.now())
        if limit_s <= 0:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await event.wait()

    def _on_map(self, service: str, _: KeyMap) -> None:
        if service == self._own.service:
            self._map_changed.set()
