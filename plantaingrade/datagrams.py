"""Typed datagrams over one UDP socket."""

import asyncio
from collections.abc import Callable, Collection
from typing import Any

from plantaingrade.addresses import is_ip_address, split_address
from plantaingrade.codec import Codec, MalformedMessageError

# Below the MTU of Ethernet, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1400


class TypedEndpoint(asyncio.DatagramProtocol):
    """Send and receive messages of one codec."""

    __slots__ = (
        '_codec',
        '_on_message',
        '_transport',
        'bytes_received',
        'bytes_sent',
        'malformed',
        'received',
        'sent',
        'unsendable',
    )

    def __init__(self, on_message: Callable[[Any], None], codec: Codec) -> None:
        """Pass each received message to ``on_message``."""
        self._on_message = on_message
        self._codec = codec
        self._transport: Any = None
        self.sent = 0
        self.received = 0
        self.malformed = 0
        # Messages to addresses that nothing can be sent to.
        self.unsendable = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def async_open(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, port),
        )

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: WPS110
        """Decode a datagram; count and drop a malformed one."""
        self.received += 1
        self.bytes_received += len(data)
        try:
            message = self._codec.decode(data)
        except MalformedMessageError:
            self.malformed += 1
            return
        self._on_message(message)

    def send(self, message: Any, address: str) -> None:
        """Send a message as a datagram, which may be lost."""
        self.send_all(message, (address,))

    def send_all(self, message: Any, addresses: Collection[str]) -> None:
        """Encode a message once and send it to several addresses.

        A message too long for one datagram is dropped, and so is one to
        an address that is not valid.
        """
        if self._transport is None or not addresses:
            return
        raw = self._codec.encode(message)
        if len(raw) > MAX_DATAGRAM_BYTES:
            return
        valid = [each for each in addresses if is_ip_address(each)]
        for address in valid:
            self._transport.sendto(raw, split_address(address))
        self.unsendable += len(addresses) - len(valid)
        self.sent += len(valid)
        self.bytes_sent += len(raw) * len(valid)

    def fits(self, message: Any) -> bool:
        """Return whether a message fits into one datagram."""
        return len(self._codec.encode(message)) <= MAX_DATAGRAM_BYTES

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
