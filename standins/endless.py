"""Answers of a faulty server that come without end."""

import random
from enum import StrEnum
from typing import Any

from plantaingrade.http.channel import Channel

PIECE_BYTES = 65_536
FILLING = b'x' * PIECE_BYTES


class Endless(StrEnum):
    """Part of an answer that never ends."""

    NONE = 'none'
    HEADER = 'header'
    HEADERS = 'headers'
    GARBAGE = 'garbage'
    CHUNKS = 'chunks'
    UNTIL_CLOSE = 'until-close'
    INTERIM = 'interim'
    TRAILER = 'trailer'
    TRAILERS = 'trailers'
    EXTENSION = 'extension'


CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\nattempt-id: %b\r\ntransfer-encoding: chunked\r\n\r\n'
)
LINES = b'x-more: and more\r\n' * 3000
BEGIN_BY_KIND = {
    Endless.HEADER: b'HTTP/1.1 200 OK\r\nx-long: ',
    Endless.HEADERS: b'HTTP/1.1 200 OK\r\n',
    Endless.GARBAGE: b'',
    Endless.CHUNKS: CHUNKED_HEAD,
    Endless.INTERIM: b'',
    Endless.TRAILER: b'%b0\r\nx-long: ' % CHUNKED_HEAD,
    Endless.TRAILERS: b'%b0\r\n' % CHUNKED_HEAD,
    Endless.EXTENSION: b'%b1;x=' % CHUNKED_HEAD,
    Endless.UNTIL_CLOSE: b'HTTP/1.1 200 OK\r\nattempt-id: %b\r\n\r\n',
}
PIECE_BY_KIND = {
    Endless.HEADERS: LINES,
    Endless.TRAILERS: LINES,
    Endless.INTERIM: b'HTTP/1.1 102 Wait\r\n\r\n' * 2000,
    Endless.CHUNKS: b'%x\r\n%b\r\n' % (PIECE_BYTES, FILLING),
}


class EndlessAnswers:
    """Draws which requests of a server get an answer without end."""

    def __init__(self, seed: int) -> None:
        """Create without the fault."""
        self.kind = Endless.NONE
        self.share = 1.0
        self.sent = 0
        self._random = random.Random(seed)

    def update(self, fields: dict[str, Any]) -> None:
        """Apply a command, such as ``{"endless": "chunks", "share": 0.3}``."""
        if 'endless' in fields:
            self.kind = Endless(fields['endless'])
            self.share = fields.get('share', 1.0)

    def draw(self) -> bool:
        """Return whether the next request gets such an answer."""
        if self.kind is Endless.NONE:
            return False
        return self._random.random() < self.share

    async def async_send(self, channel: Channel, request_id: bytes) -> None:
        """Send as fast as the peer reads, until it closes the connection."""
        self.sent += 1
        begin = BEGIN_BY_KIND[self.kind]
        channel.transport.write(begin.replace(b'%b', request_id))
        piece = PIECE_BY_KIND.get(self.kind, FILLING)
        while not channel.closed and not channel.transport.is_closing():
            channel.transport.write(piece)
            await channel.drain()
