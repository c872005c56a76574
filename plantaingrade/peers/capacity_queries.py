"""Queries for how soon the servers of members could run a request."""

import asyncio
from collections.abc import Callable, Sequence
from itertools import count

from msgspec.structs import replace

from plantaingrade.addresses import is_ip_address
from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S, PERCENT
from plantaingrade.datagrams import TypedEndpoint
from plantaingrade.peers.entity import (
    CapacityRequest,
    CapacityResponse,
    Member,
)

FreeCapacityOf = Callable[[str, int], FreeCapacity | None]
# A round trip between availability zones takes 3 ms, and a busy process needs
# some milliseconds more.
RESPONSE_TIMEOUT_S = 0.012
# A member that did not answer in time is not queried for this long.
UNRESPONSIVE_PAUSE_S = 0.5


class CapacityQuery:
    """One query to several members, and their responses so far."""

    __slots__ = ('capacity_by_name', 'ended', 'pending_names')

    def __init__(self, names: set[str]) -> None:
        """Wait for responses of the named members."""
        self.pending_names = names
        self.capacity_by_name: dict[str, FreeCapacity] = {}
        self.ended = asyncio.get_running_loop().create_future()

    def on_response(self, name: str, capacity: FreeCapacity | None) -> None:
        """Record a response; None means that no work is accepted."""
        if name not in self.pending_names:
            return
        self.pending_names.discard(name)
        if capacity is not None:
            self.capacity_by_name[name] = capacity
        if not self.pending_names:
            self.end()

    def end(self) -> None:
        """Complete the query with the responses received so far."""
        if not self.ended.done():
            self.ended.set_result(None)


class CapacityQueries:
    """Sends the capacity queries of one member and answers those of peers."""

    __slots__ = (
        '_clock',
        '_endpoint',
        '_free_capacity_of',
        '_numbers',
        '_own',
        '_query_by_number',
        '_unresponsive_until',
    )

    def __init__(
        self,
        own: Member,
        endpoint: TypedEndpoint,
        clock: Clock,
        free_capacity_of: FreeCapacityOf,
    ) -> None:
        """Query by datagram; ``free_capacity_of`` is for the own server."""
        self._free_capacity_of = free_capacity_of
        self._clock = clock
        self._own = own
        self._endpoint = endpoint
        self._numbers = count(1)
        self._query_by_number: dict[int, CapacityQuery] = {}
        self._unresponsive_until: dict[str, float] = {}

    async def async_ask(
        self, members: Sequence[Member], kind: str, priority: int
    ) -> dict[str, FreeCapacity]:
        """Return the free capacity of members that respond in time."""
        capacity_by_name = self._own_capacity(members, kind, priority)
        peers = [
            member
            for member in members
            if member.name != self._own.name
            and not self._is_unresponsive(member)
        ]
        if peers:
            capacity_by_name |= await self._async_ask(peers, kind, priority)
        return capacity_by_name

    def on_datagram(self, message: CapacityRequest | CapacityResponse) -> None:
        """Answer a request, or record a response."""
        match message:
            case CapacityRequest():
                self._answer(message)
            case CapacityResponse():
                self._on_response(message)

    def _answer(self, request: CapacityRequest) -> None:
        """Send how soon the own server could run a request.

        Requests for another service are ignored: the address may have been
        reassigned from an instance of that service.
        """
        is_own = request.service == self._own.service
        if not is_own or not is_ip_address(request.address):
            return
        capacity = self._free_capacity_of(request.kind, request.priority)
        response = CapacityResponse(request.number, self._own.name)
        if capacity is not None:
            response = replace(
                response,
                wait_ms=round(capacity.wait_s * MS_PER_S),
                work_ms=round(capacity.work_s * MS_PER_S),
                failed=round(capacity.failures * PERCENT),
            )
        self._endpoint.send(response, request.address)

    def _on_response(self, response: CapacityResponse) -> None:
        """Record a response, unless its query has ended."""
        self._unresponsive_until.pop(response.name, None)
        query = self._query_by_number.get(response.number)
        if query is None:
            return
        capacity = None
        if response.wait_ms is not None:
            capacity = FreeCapacity(
                response.wait_ms / MS_PER_S,
                response.work_ms / MS_PER_S,
                response.failed / PERCENT,
            )
        query.on_response(response.name, capacity)

    def _own_capacity(
        self, members: Sequence[Member], kind: str, priority: int
    ) -> dict[str, FreeCapacity]:
        """Return the free capacity of the own server if it is queried."""
        if all(member.name != self._own.name for member in members):
            return {}
        capacity = self._free_capacity_of(kind, priority)
        return {} if capacity is None else {self._own.name: capacity}

    async def _async_ask(
        self, members: Sequence[Member], kind: str, priority: int
    ) -> dict[str, FreeCapacity]:
        number = next(self._numbers)
        query = CapacityQuery({member.name for member in members})
        self._query_by_number[number] = query
        request = CapacityRequest(
            number, self._own.address, members[0].service, kind, priority
        )
        self._endpoint.send_all(request, [member.address for member in members])
        loop = asyncio.get_running_loop()
        limit = loop.call_later(RESPONSE_TIMEOUT_S, query.end)
        try:
            await query.ended
        finally:
            limit.cancel()
            self._query_by_number.pop(number)
        self._mark_unresponsive(query.pending_names)
        return query.capacity_by_name

    def _is_unresponsive(self, member: Member) -> bool:
        """Return whether a member recently failed to answer in time."""
        return (
            self._unresponsive_until.get(member.name, 0.0) > self._clock.now()
        )

    def _mark_unresponsive(self, names: set[str]) -> None:
        until = self._clock.now() + UNRESPONSIVE_PAUSE_S
        for name in names:
            self._unresponsive_until[name] = until
