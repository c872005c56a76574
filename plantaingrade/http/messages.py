"""Typed parts of HTTP/1.1 messages.

Names follow the API of the h11 library.
"""

from collections.abc import Iterable
from enum import Enum, auto

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError

Pairs = tuple[tuple[bytes, bytes], ...]
Text = str | bytes


class LocalProtocolError(PlantaingradeError):
    """Raised when this side sends a message that is not allowed now."""

    advice = 'This is a bug in plantaingrade.'


class RemoteProtocolError(PlantaingradeError):
    """Raised when the peer sends bytes that are not a valid HTTP message.

    ``status`` is the status code of the response to a caller that sent them.
    """

    advice = 'The peer must send messages that conform to RFC 9112.'

    def __init__(self, text: str, status: int = 400) -> None:
        """Initialize the error with the status code of the response."""
        super().__init__(text)
        self.status = status


class Role(Enum):
    """Role of this process on a connection."""

    CLIENT = auto()
    SERVER = auto()


class State(Enum):
    """State of one side of a connection.

    A side in state ``CLOSING`` sends no message after the current one.
    """

    IDLE = auto()
    BODY = auto()
    DONE = auto()
    CLOSING = auto()


class Request(Struct):
    """Head of a request, with header names in lower case.

    ``arrived`` is when it was read, and ``ahead`` the number of requests of
    its connection that were not answered then.
    """

    method: bytes
    target: bytes
    headers: Pairs
    arrived: float = 0.0
    ahead: int = 0

    @classmethod
    def build(
        cls, method: Text, target: Text, headers: Iterable[tuple[Text, Text]]
    ) -> 'Request':
        """Return a request whose parts are given as ``str`` or ``bytes``."""
        return cls(_to_bytes(method), _to_bytes(target), _pairs(headers))


class Response(Struct):
    """Head of a final response, with header names in lower case."""

    status_code: int
    headers: Pairs
    reason: bytes = b''

    @classmethod
    def build(
        cls, status_code: int, headers: Iterable[tuple[Text, Text]]
    ) -> 'Response':
        """Return a response whose headers are given as ``str`` or ``bytes``."""
        return cls(status_code, _pairs(headers))


class InformationalResponse(Struct):
    """Head of an interim (1xx) response, which another one follows."""

    status_code: int
    headers: Pairs = ()


class Data(Struct):
    """Part of the body of a message."""

    data: bytes


class EndOfMessage(Struct):
    """The message is complete."""


class ConnectionClosed(Struct):
    """The peer has closed the connection between two messages."""


class NeedData(Struct):
    """No event is available until more bytes arrive."""


class Paused(Struct):
    """The next message is not parsed before this one is answered."""


Part = Request | Response | InformationalResponse | Data | EndOfMessage
Event = Part | ConnectionClosed | NeedData | Paused


def _to_bytes(text: Text) -> bytes:
    return text.encode('latin-1') if isinstance(text, str) else text


def _pairs(headers: Iterable[tuple[Text, Text]]) -> Pairs:
    return tuple(
        (_to_bytes(name).lower(), _to_bytes(text)) for name, text in headers
    )
