"""Relays between processes with one-way delays, cuts and silent connections.

Processes of one availability zone share the third number of their loopback
address; by it the relay tells the zones of a connection.
"""

import asyncio
import json
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import click

from plantaingrade.addresses import split_address
from plantaingrade.clock import BootClock
from plantaingrade.const import MS_PER_S
from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.http.server import HttpServer
from plantaingrade.routing.respond import refuse_malformed, send_plain

OK = 200
CHUNK_BYTES = 65536
CALLER_PREFIX = '127.3.'
# Transports at both ends of a relayed connection.
TransportPair = tuple[Any, Any]


@dataclass(slots=True)
class Links:
    """Delays and faults of the links between hosts."""

    zone_delay_s: float
    caller_delay_s: float
    cut_hosts: set[str] = field(default_factory=set)
    # Hosts from which nothing passes; traffic to them does.
    mute_hosts: set[str] = field(default_factory=set)
    extra_delay_s: dict[str, float] = field(default_factory=dict)
    silenced_at: dict[str, float] = field(default_factory=dict)
    open_by_host: dict[str, set[TransportPair]] = field(
        default_factory=lambda: defaultdict(set)
    )

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds."""
        extra_s = self.extra_delay_s.get(source, 0.0)
        if source.startswith(CALLER_PREFIX):
            return self.caller_delay_s + extra_s
        is_same_zone = source.split('.')[2] == target.split('.')[2]
        return extra_s if is_same_zone else self.zone_delay_s + extra_s

    def reset(self, host: str) -> None:
        """Abort every open connection of a host."""
        for pair in list(self.open_by_host[host]):
            for transport in pair:
                transport.abort()

    def remove(self, pair: TransportPair, hosts: tuple[str, str]) -> None:
        """Remove a connection that has ended."""
        for host in hosts:
            self.open_by_host[host].discard(pair)

    def is_silent(self, opened_at: float, *hosts: str) -> bool:
        """Return whether a connection was open when a host was silenced."""
        return any(
            self.silenced_at.get(host, opened_at) > opened_at for host in hosts
        )

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether nothing passes from one host to another."""
        is_cut = not self.cut_hosts.isdisjoint((source, target))
        return is_cut or source in self.mute_hosts


class UdpRelay(asyncio.DatagramProtocol):
    """Forwards datagrams to one host after the delay."""

    def __init__(self, links: Links, target: tuple[str, int]) -> None:
        """Create a relay to one address."""
        self._links = links
        self._target = target
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: WPS110
        """Forward one datagram, unless the link is cut."""
        source, target = addr[0], self._target[0]
        if self._links.is_cut(source, target):
            return
        delay = self._links.delay(source, target)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._transport.sendto, data, self._target)


class TcpRelay:
    """Forwards connections to one host, each chunk after the delay."""

    def __init__(self, links: Links, target: tuple[str, int]) -> None:
        """Create a relay to one address."""
        self._links = links
        self._target = target

    async def async_accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect to the target and forward in both directions."""
        source = writer.get_extra_info('peername')[0]
        hosts = (source, self._target[0])
        if self._links.is_cut(*hosts):
            await asyncio.sleep(1)
            writer.transport.abort()
            return
        delay = self._links.delay(*hosts)
        await asyncio.sleep(delay)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer.transport, far_writer.transport)
        self._links.open_by_host[source].add(pair)
        self._links.open_by_host[self._target[0]].add(pair)
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, delay, hosts),
                self._forward(
                    far_reader, writer, delay, tuple(reversed(hosts))
                ),
            )
        finally:
            self._links.remove(pair, hosts)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        delay: float,
        hosts: tuple[str, str],
    ) -> None:
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        is_silent = False
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                is_silent = is_silent or self._links.is_silent(
                    opened_at, *hosts
                )
                if is_silent or self._links.is_cut(*hosts):
                    is_silent = True
                    continue
                loop.call_later(delay, writer.write, chunk)
                await writer.drain()
        except ConnectionError:
            loop.call_later(delay, writer.transport.abort)
            return
        if not is_silent:
            loop.call_later(delay, writer.close)


@dataclass(slots=True)
class Control:
    """Applies link_control for cuts, silence and refused connections."""

    links: Links
    server_by_target: dict[str, list[asyncio.Server]] = field(
        default_factory=lambda: defaultdict(list),
    )

    async def async_handle(self, request: Request, channel: Channel) -> None:
        """Apply one command, such as ``{"cut_hosts": ["127.1.0.1"]}``."""
        command = json.loads(await read_body(channel))
        self.links.cut_hosts = set(command.get('cut_hosts', ()))
        self.links.mute_hosts = set(command.get('mute_hosts', ()))
        self.links.extra_delay_s = dict(command.get('delay_s', {}))
        for host in command.get('reset', ()):
            self.links.reset(host)
        # Connections that are open now stay silent; new ones work.
        now = asyncio.get_running_loop().time()
        for host in command.get('silence', ()):
            self.links.silenced_at[host] = now
        # Connecting to a killed process must be refused; a relay that goes
        # on to listen would accept first and hide that.
        for target in command.get('refused', ()):
            for server in self.server_by_target.pop(target, ()):
                server.close()
        send_plain(channel, OK, b'{}')


async def async_serve(
    links: Links,
    control: str,
    routes: list[tuple[str, str, str]],
) -> None:
    """Relay until cancelled; routes hold kind, listen and target address."""
    loop = asyncio.get_running_loop()
    link_control = Control(links)
    for kind, listen, target in routes:
        host, port = split_address(listen)
        if kind == 'udp':
            relay = UdpRelay(links, split_address(target))
            await loop.create_datagram_endpoint(
                lambda relay=relay: relay,
                local_addr=(host, port),
            )
        else:
            tcp = TcpRelay(links, split_address(target))
            tcp_server = await asyncio.start_server(
                tcp.async_accept, host, port
            )
            link_control.server_by_target[target].append(tcp_server)
    server = HttpServer(
        BootClock(),
        link_control.async_handle,
        refuse_malformed,
    )
    await server.async_listen(*split_address(control))
    await asyncio.Event().wait()


@click.command()
@click.option('--zone-ms', type=float, required=True)
@click.option('--caller-ms', type=float, required=True)
@click.option('--control', required=True)
@click.argument('routes', nargs=-1)
def main(
    zone_ms: float,
    caller_ms: float,
    control: str,
    routes: tuple[str, ...],
) -> None:
    """Relay each route, given as kind=listen=target."""
    links = Links(zone_ms / MS_PER_S, caller_ms / MS_PER_S)
    parsed = [tuple(route.split('=')) for route in routes]
    asyncio.run(async_serve(links, control, parsed))


if __name__ == '__main__':
    main()
