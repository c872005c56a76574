"""Bytes of a connection that are parsed later.

A parsed request takes several times the memory of its bytes. So of many
pipelined requests only some are parsed before their turn.
"""

from collections import deque

from plantaingrade.http.connection import Connection
from plantaingrade.http.const import MAX_PARSED_PARTS, PARSED_AT_ONCE_BYTES
from plantaingrade.http.messages import Role


class UnparsedBytes:
    """Passes received bytes to the parser as its parts are consumed."""

    __slots__ = ('_http', '_pieces')

    def __init__(self, http: Connection) -> None:
        """Start without bytes."""
        self._http = http
        # Bytes, and when they arrived.
        self._pieces: deque[tuple[bytes, float]] = deque()

    def receive(self, chunk: bytes, arrived: float) -> None:
        """Parse bytes, or as many of them as the parser may hold.

        A client parses all: a connection with further bytes behind a response
        is not reused.
        """
        is_short = len(chunk) <= PARSED_AT_ONCE_BYTES and not self._pieces
        if is_short or self._http.role is Role.CLIENT:
            self._http.receive(chunk, arrived)
            return
        for start in range(0, len(chunk), PARSED_AT_ONCE_BYTES):
            piece = chunk[start : start + PARSED_AT_ONCE_BYTES]
            self._pieces.append((piece, arrived))
        self.parse_more()

    def parse_more(self) -> bool:
        """Parse further bytes if the parser may hold more.

        Return whether any were left to parse.
        """
        if not self._pieces:
            return False
        while self._pieces and self._http.parsed_parts < MAX_PARSED_PARTS:
            self._http.receive(*self._pieces.popleft())
        return True
