"""A server in memory that takes orders over connections, as real ones do.

The sessions, connections and the parser are the product's own; only the bytes
go from one end to the other without sockets, so that virtual time holds.
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
from plantaingrade.keyspace.assign import cut
from plantaingrade.keyspace.entity import ALL_KEYS, Assignment, KeyMap, KeyRange
from plantaingrade.platform.orders import OrderClient
from plantaingrade.requests.entity import Answer
from plantaingrade.sidecar.fronts import refuse_malformed, send_answer
from tests.holds.fakes import SERVICE, FakePlace, FakeServer, World
from tests.virtual import LoopClock

ADDRESS = 'near:1'
ORDER_S = 0.001
STATUS_OK = 200
STATUS_CONFLICT = 409
LOOK_S = 0.02


class NearTransport:
    """One end of a connection in memory."""

    def __init__(self, own: Channel) -> None:
        """Serve one end; it is joined with the other later."""
        self._own = own
        self._is_closing = False
        self.other: NearTransport | None = None

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Hand bytes to the other end."""
        self._later(self._send, data)

    def close(self) -> None:
        """Close after what was written has arrived."""
        if not self._is_closing:
            self._is_closing = True
            self._later(self._end)

    def abort(self) -> None:
        """Close at once."""
        self.close()

    def is_closing(self) -> bool:
        """Tell whether nothing more can be written."""
        return self._is_closing

    def get_extra_info(self, _: str) -> None:
        """Return no socket."""

    def pause_reading(self) -> None:
        """Do nothing: messages are short."""

    def resume_reading(self) -> None:
        """Do nothing: messages are short."""

    def _later(self, call: Any, *args: Any) -> None:
        asyncio.get_running_loop().call_soon(call, *args)

    def _send(self, data: bytes) -> None:  # noqa: WPS110
        if self.other is not None and not self.other.is_closing():
            self.other._own.data_received(data)

    def _end(self) -> None:
        self._own.connection_lost(None)
        other = self.other
        if other is not None and not other.is_closing():
            other._own.eof_received()
            other.close()


class NearPool(Pool):
    """Connections to whatever listens in memory."""

    def __init__(self) -> None:
        """Know nobody who listens."""
        super().__init__(LoopClock())
        self.listener: HttpServer | None = None

    async def connect(self, address: str) -> Channel:
        """Make a connection."""
        await asyncio.sleep(ORDER_S)
        if self.listener is None:
            raise ConnectFailedError('Nobody listens.')
        far = self.listener._accept()
        near = Channel(Role.CLIENT, LoopClock())
        near_end = NearTransport(near)
        far_end = NearTransport(far)
        near_end.other = far_end
        far_end.other = near_end
        near.connection_made(near_end)
        far.connection_made(far_end)
        self.opened += 1
        return near


class OrderedServer:
    """Take grants over connections and carry them out at a fake server.

    ``close_share`` of the answers bear ``Connection: close``; with another
    ``status`` than 200 every grant is rejected; an order takes ``order_s``.
    """

    def __init__(self, server: FakeServer) -> None:
        """Answer at once and keep connections."""
        self._server = server
        self._chooser = random.Random(1)
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
        if self._chooser.random() < self.close_share:
            channel.is_last_response = True
        send_answer(channel, Answer(status, (), b''))

    def _grant(self, fields: dict[str, Any], arrived: float) -> int:
        hold_s = _seconds(fields['hold_time'])
        grant = Grant(_keys(fields), fields['fence'], hold_s)
        outcome = self._server.grant(grant, arrived)
        return STATUS_OK if isinstance(outcome, Accepted) else STATUS_CONFLICT


def connect(place: FakePlace) -> OrderedServer:
    """Have a member order its server over connections."""
    pool = NearPool()
    ordered = OrderedServer(place.server)
    pool.listener = ordered.http
    orders = OrderClient(pool, ADDRESS)
    granter = place.holds.granter
    orders.listen(granter._on_retry)
    granter._orders = orders
    granter.opener._orders = orders
    return ordered


async def interleave(world: World, ranges: int) -> None:
    """Divide all keys so that each of two members has this many ranges."""
    place = world.places[0]
    names = [each.name for each in world.places[:2]]

    def plan(registry: Registry) -> Change:
        fence = registry.key_map.fence + 1
        pieces = tuple(
            Assignment(keys, names[number % 2], fence)
            for number, keys in enumerate(cut(ALL_KEYS, 2 * ranges))
        )
        return Change(KeyMap(pieces, fence, registry.key_map.version))

    await place.holds.registry.async_commit(plan, 1.0)
    owned = place.maps.find(SERVICE).owned_by(place.name)
    assert len(owned) == ranges


async def held_share(place: FakePlace, seconds: float) -> float:
    """Return the share of looks at which the own ranges were held."""
    looks = 0
    held = 0
    for _ in range(int(seconds / LOOK_S)):
        await asyncio.sleep(LOOK_S)
        for each in place.maps.find(SERVICE).owned_by(place.name):
            looks += 1
            held += place.holds.is_held(each.keys.first)
    return held / looks


def _keys(fields: dict[str, Any]) -> KeyRange:
    return KeyRange(fields['startKey'], fields['to'])


def _seconds(text: str) -> float:
    if text.endswith('ms'):
        return float(text.removesuffix('ms')) / 1000
    return float(text.removesuffix('s'))
