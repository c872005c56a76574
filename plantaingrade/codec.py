"""JSON codec for typed messages, built on msgspec."""

from typing import Any

from msgspec import MsgspecError, Struct, json

from plantaingrade.errors import PlantaingradeError

TAG = 't'
DECODE_ERRORS = (MsgspecError, UnicodeDecodeError, RecursionError)


class Message(Struct, frozen=True, tag=True, tag_field=TAG):
    """Member of a union of messages; the encoded tag names its class."""


class MalformedMessageError(PlantaingradeError):
    """Report bytes that cannot be decoded to the expected type."""

    advice = (
        'The sender runs another version or is not a plantaingrade process.'
    )


class Codec:
    """Encode and decode one type, or a union of messages.

    The decoder is created on first use, as a process needs only a few of its
    codecs when it starts.
    """

    __slots__ = ('_decoder', '_message_type')

    def __init__(self, message_type: Any) -> None:
        """Set the type to encode and decode."""
        self._message_type = message_type
        self._decoder: json.Decoder[Any] | None = None

    def encode(self, message: Any) -> bytes:
        """Return the message as UTF-8 JSON."""
        return json.encode(message)

    def decode(self, raw: bytes | str) -> Any:
        """Decode a message.

        Raises:
            MalformedMessageError: the bytes are not a message of this type.
        """
        if self._decoder is None:
            self._decoder = json.Decoder(self._message_type)
        try:
            return self._decoder.decode(raw)
        except DECODE_ERRORS as error:
            raise MalformedMessageError('Message cannot be decoded.') from error
