"""Fake server that receives orders over in-memory connections.

Sessions, connections and the parser are the real ones; only the bytes are
passed on without sockets, so that virtual time applies.
"""

import asyncio
import json
import random
from typing import Any

from plantaingrade.holds.changes import Change
from plantaingrade.holds.entity import Accepted, Grant
from plantaingrade.holds.registry import Registry
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request, Role
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.keyspace.assign import split_range
from plantaingrade.keyspace.entity import ALL_KEYS, Assignment, KeyMap, KeyRange
from plantaingrade.platform.orders import OrderClient
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer
from tests.holds.fakes import SERVICE, FakeCluster, FakeMember, FakeServer
from tests.virtual import LoopClock

ADDRESS = 'near:1'
ORDER_S = 0.001
STATUS_OK = 200
STATUS_CONFLICT = 409
POLL_S = 0.02


class MemoryTransport:
    """One end of an in-memory connection."""

    def __init__(self, own: Channel) -> None:
        """Serve one end; the other end is set later."""
        self._channel = own
        self._is_closing = False
        self.peer: MemoryTransport | None = None

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Send bytes to the other end."""
        self._call_soon(self._send, data)

    def close(self) -> None:
        """Close after written bytes have arrived."""
        if not self._is_closing:
            self._is_closing = True
            self._call_soon(self._end)

    def abort(self) -> None:
        """Close at once."""
        self.close()

    def is_closing(self) -> bool:
        """Return whether nothing more can be written."""
        return self._is_closing

    def get_extra_info(self, _: str) -> None:
        """Return no socket."""

    def pause_reading(self) -> None:
        """Do nothing: messages are short."""

    def resume_reading(self) -> None:
        """Do nothing: messages are short."""

    def _call_soon(self, call: Any, *args: Any) -> None:
        asyncio.get_running_loop().call_soon(call, *args)

    def _send(self, data: bytes) -> None:  # noqa: WPS110
        if self.peer is not None and not self.peer.is_closing():
            self.peer._channel.data_received(data)

    def _end(self) -> None:
        self._channel.connection_lost(None)
        peer = self.peer
        if peer is not None and not peer.is_closing():
            peer._channel.eof_received()
            peer.close()


class MemoryPool(Pool):
    """Connections to an in-memory listener."""

    def __init__(self) -> None:
        """Start without a listener."""
        super().__init__(LoopClock())
        self.listener: HttpServer | None = None

    async def connect(self, address: str) -> Channel:
        """Open a connection."""
        await asyncio.sleep(ORDER_S)
        if self.listener is None:
            raise ConnectFailedError('Nobody listens.')
        server_side = self.listener._accept()
        client = Channel(Role.CLIENT, LoopClock())
        client_end = MemoryTransport(client)
        server_end = MemoryTransport(server_side)
        client_end.peer = server_end
        server_end.peer = client_end
        client.connection_made(client_end)
        server_side.connection_made(server_end)
        self.opened += 1
        return client


class OrderEndpoint:
    """Receives orders over connections and executes them at a fake server.

    A share ``close_share`` of the responses has ``Connection: close``. With
    another ``status`` than 200 every grant is rejected. An order takes
    ``order_s``.
    """

    def __init__(self, server: FakeServer) -> None:
        """Answer at once and keep connections open."""
        self._server = server
        self._rng = random.Random(1)
        self.close_share = 0.0
        self.status = STATUS_OK
        self.order_s = ORDER_S
        self.grants = 0
        self.http = HttpServer(LoopClock(), self._answer, refuse_malformed)

    async def _answer(self, raw: Request, channel: Channel) -> None:
        body = await read_body(channel)
        arrived = asyncio.get_running_loop().time()
        await asyncio.sleep(self.order_s)
        status = self.status
        if raw.target.endswith(b'/release'):
            status = STATUS_OK
            self._server.drop(_keys(json.loads(body)))
        if raw.target.endswith(b'/grant'):
            self.grants += 1
            if status == STATUS_OK:
                status = self._grant(json.loads(body), arrived)
        if self._rng.random() < self.close_share:
            channel.is_last_response = True
        send_answer(channel, Answer(status, (), b''))

    def _grant(self, fields: dict[str, Any], arrived: float) -> int:
        hold_s = _seconds(fields['hold_time'])
        grant = Grant(_keys(fields), fields['fence'], hold_s)
        outcome = self._server.grant(grant, arrived)
        return STATUS_OK if isinstance(outcome, Accepted) else STATUS_CONFLICT


def connect(member: FakeMember) -> OrderEndpoint:
    """Let a member send orders to its server over connections."""
    pool = MemoryPool()
    endpoint = OrderEndpoint(member.server)
    pool.listener = endpoint.http
    orders = OrderClient(pool, ADDRESS)
    granter = member.holds.granter
    orders.listen(granter._on_retry)
    granter._orders = orders
    granter.opener._orders = orders
    return endpoint


async def interleave_ranges(cluster: FakeCluster, ranges: int) -> None:
    """Divide all keys so that each of two members has this many ranges."""
    member = cluster.members[0]
    names = [each.name for each in cluster.members[:2]]

    def plan(registry: Registry) -> Change:
        fence = registry.key_map.fence + 1
        pieces = tuple(
            Assignment(keys, names[number % 2], fence)
            for number, keys in enumerate(split_range(ALL_KEYS, 2 * ranges))
        )
        return Change(KeyMap(pieces, fence, registry.key_map.version))

    await member.holds.registry.async_commit(plan, 1.0)
    owned = member.maps.find(SERVICE).owned_by(member.name)
    assert len(owned) == ranges


async def held_share(member: FakeMember, seconds: float) -> float:
    """Return the share of samples in which the own ranges were held."""
    samples = 0
    held = 0
    for _ in range(int(seconds / POLL_S)):
        await asyncio.sleep(POLL_S)
        for each in member.maps.find(SERVICE).owned_by(member.name):
            samples += 1
            held += member.holds.is_held(each.keys.first)
    return held / samples


def _keys(fields: dict[str, Any]) -> KeyRange:
    return KeyRange(fields['startKey'], fields['to'])


def _seconds(text: str) -> float:
    if text.endswith('ms'):
        return float(text.removesuffix('ms')) / 1000
    return float(text.removesuffix('s'))
