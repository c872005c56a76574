"""Ask members how soon their servers could run a request, and answer."""

import asyncio
from collections.abc import Callable, Sequence
from itertools import count

from msgspec.structs import replace

from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S, PERCENT
from plantaingrade.datagrams import TypedEndpoint
from plantaingrade.peers.entity import (
    Member,
    RoomAsked,
    RoomTold,
    is_address,
)

RoomOf = Callable[[str, int], FreeCapacity | None]
# Longest wait for answers, in seconds: the way there and back between
# availability zones takes 3 ms, and a busy process some milliseconds more.
ANSWER_LIMIT_S = 0.012
# A member that did not answer in time is not asked for this long, in seconds.
SILENT_PAUSE_S = 0.5


class RoomInquiry:
    """One question to several members, and their answers so far."""

    __slots__ = ('ended', 'open_names', 'room_by_name')

    def __init__(self, names: set[str]) -> None:
        """Wait for the answers of the members named."""
        self.open_names = names
        self.room_by_name: dict[str, FreeCapacity] = {}
        self.ended = asyncio.get_running_loop().create_future()

    def on_told(self, name: str, room: FreeCapacity | None) -> None:
        """Take an answer."""
        if name not in self.open_names:
            return
        self.open_names.discard(name)
        if room is not None:
            self.room_by_name[name] = room
        if not self.open_names:
            self.end()

    def end(self) -> None:
        """Wait for no further answers."""
        if not self.ended.done():
            self.ended.set_result(None)


class RoomInquiries:
    """Questions of one member that wait for answers, and its own answers."""

    __slots__ = (
        '_clock',
        '_endpoint',
        '_inquiry_by_number',
        '_numbers',
        '_own',
        '_room_of',
        '_silent_until',
    )

    def __init__(
        self,
        own: Member,
        endpoint: TypedEndpoint,
        clock: Clock,
        room_of: RoomOf,
    ) -> None:
        """Ask by datagram; ``room_of`` tells the own server's room."""
        self._room_of = room_of
        self._clock = clock
        self._own = own
        self._endpoint = endpoint
        self._numbers = count(1)
        self._inquiry_by_number: dict[int, RoomInquiry] = {}
        self._silent_until: dict[str, float] = {}

    async def async_ask(
        self, members: Sequence[Member], kind: str, priority: int
    ) -> dict[str, FreeCapacity]:
        """Return the room of those members that answer in time."""
        room_by_name = self._own_room(members, kind, priority)
        others = [
            member
            for member in members
            if member.name != self._own.name and not self._is_silent(member)
        ]
        if others:
            room_by_name |= await self._async_ask(others, kind, priority)
        return room_by_name

    def on_datagram(self, message: RoomAsked | RoomTold) -> None:
        """Answer a question, or take an answer."""
        match message:
            case RoomAsked():
                self._answer(message)
            case RoomTold():
                self._on_told(message)

    def _answer(self, asked: RoomAsked) -> None:
        """Tell how soon the own server could run a request.

        A question may be meant for another service that had this address.
        """
        is_own = asked.service == self._own.service
        if not is_own or not is_address(asked.address):
            return
        room = self._room_of(asked.kind, asked.priority)
        told = RoomTold(asked.number, self._own.name)
        if room is not None:
            told = replace(
                told,
                wait_ms=round(room.wait_s * MS_PER_S),
                work_ms=round(room.work_s * MS_PER_S),
                failed=round(room.failures * PERCENT),
            )
        self._endpoint.send(told, asked.address)

    def _on_told(self, told: RoomTold) -> None:
        """Take an answer, unless it is too late."""
        self._silent_until.pop(told.name, None)
        inquiry = self._inquiry_by_number.get(told.number)
        if inquiry is None:
            return
        room = None
        if told.wait_ms is not None:
            room = FreeCapacity(
                told.wait_ms / MS_PER_S,
                told.work_ms / MS_PER_S,
                told.failed / PERCENT,
            )
        inquiry.on_told(told.name, room)

    def _own_room(
        self, members: Sequence[Member], kind: str, priority: int
    ) -> dict[str, FreeCapacity]:
        """Return the room of the own server if it is among those asked."""
        if all(member.name != self._own.name for member in members):
            return {}
        room = self._room_of(kind, priority)
        return {} if room is None else {self._own.name: room}

    async def _async_ask(
        self, members: Sequence[Member], kind: str, priority: int
    ) -> dict[str, FreeCapacity]:
        number = next(self._numbers)
        inquiry = RoomInquiry({member.name for member in members})
        self._inquiry_by_number[number] = inquiry
        question = RoomAsked(
            number, self._own.address, members[0].service, kind, priority
        )
        self._endpoint.send_all(
            question, [member.address for member in members]
        )
        loop = asyncio.get_running_loop()
        limit = loop.call_later(ANSWER_LIMIT_S, inquiry.end)
        try:
            await inquiry.ended
        finally:
            limit.cancel()
            self._inquiry_by_number.pop(number)
        self._note_silent(inquiry.open_names)
        return inquiry.room_by_name

    def _is_silent(self, member: Member) -> bool:
        """Tell whether a member has not answered lately."""
        return self._silent_until.get(member.name, 0.0) > self._clock.now()

    def _note_silent(self, names: set[str]) -> None:
        until = self._clock.now() + SILENT_PAUSE_S
        for name in names:
            self._silent_until[name] = until
