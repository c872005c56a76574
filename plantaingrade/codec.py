"""JSON codec for typed messages, built on msgspec."""

from typing import Any

from msgspec import MsgspecError, Struct, json

from plantaingrade.errors import PlantaingradeError

TAG = 't'
DECODE_ERRORS = (MsgspecError, UnicodeDecodeError, RecursionError)


class Message(Struct, frozen=True, tag=True, tag_field=TAG):
    """Message of a union; its bytes name its class."""


class MalformedMessageError(PlantaingradeError):
    """Report bytes that are no message of the expected type."""

    advice = 'The sender runs another version, or is no plantaingrade process.'


class Codec:
    """Encode and decode one type, or a union of messages.

    Its decoder is made when it is first used: a process needs few of its
    codecs at its start.
    """

    __slots__ = ('_decoder', '_root')

    def __init__(self, root: Any) -> None:
        """Name the type."""
        self._root = root
        self._decoder: json.Decoder[Any] | None = None

    def encode(self, message: Any) -> bytes:
        """Return the message as UTF-8 JSON."""
        return json.encode(message)

    def decode(self, raw: bytes | str) -> Any:
        """Return the message held in raw bytes.

        Raises:
            MalformedMessageError: the bytes are no such message.
        """
        if self._decoder is None:
            self._decoder = json.Decoder(self._root)
        try:
            return self._decoder.decode(raw)
        except DECODE_ERRORS as error:
            raise MalformedMessageError('Message not understood.') from error
