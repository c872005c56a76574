"""Parts of HTTP/1.1 messages, typed."""

from collections.abc import Iterable
from enum import Enum, auto

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError

Pairs = tuple[tuple[bytes, bytes], ...]
Text = str | bytes


class LocalProtocolError(PlantaingradeError):
    """Report a message of our own that HTTP does not allow here."""

    advice = 'This is a fault of the program.'


class RemoteProtocolError(PlantaingradeError):
    """Report bytes of the peer that are no HTTP message.

    ``status`` is what a caller is told that sent them.
    """

    advice = 'The peer must send what RFC 9112 allows.'

    def __init__(self, text: str, status: int = 400) -> None:
        """Keep the status."""
        super().__init__(text)
        self.status = status


class Role(Enum):
    """Side of a connection."""

    CLIENT = auto()
    SERVER = auto()


class State(Enum):
    """How far one side of a connection is with its message.

    A side that is ``CLOSING`` sends no message after this one.
    """

    IDLE = auto()
    BODY = auto()
    DONE = auto()
    CLOSING = auto()


class Request(Struct):
    """Head of a request; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: Pairs

    @classmethod
    def build(
        cls, method: Text, target: Text, headers: Iterable[tuple[Text, Text]]
    ) -> 'Request':
        """Return a head made of plain texts."""
        return cls(_octets(method), _octets(target), _pairs(headers))


class Response(Struct):
    """Head of a final answer; names of headers are in lower case."""

    status_code: int
    headers: Pairs
    reason: bytes = b''

    @classmethod
    def build(
        cls, status_code: int, headers: Iterable[tuple[Text, Text]]
    ) -> 'Response':
        """Return a head made of plain texts."""
        return cls(status_code, _pairs(headers))


class InformationalResponse(Struct):
    """Head of an answer that another one follows."""

    status_code: int
    headers: Pairs = ()


class Data(Struct):
    """Part of a message's body."""

    data: bytes


class EndOfMessage(Struct):
    """The message is whole."""


class ConnectionClosed(Struct):
    """The peer has ended the connection between two messages."""


class NeedData(Struct):
    """Nothing can be read before more bytes arrive."""


class Paused(Struct):
    """The next message is not read before this one is answered."""


Part = Request | Response | InformationalResponse | Data | EndOfMessage
Event = Part | ConnectionClosed | NeedData | Paused


def _octets(text: Text) -> bytes:
    return text.encode('latin-1') if isinstance(text, str) else text


def _pairs(headers: Iterable[tuple[Text, Text]]) -> Pairs:
    return tuple(
        (_octets(name).lower(), _octets(text)) for name, text in headers
    )
