"""JSON codec for typed messages, built on cattrs."""

import math
from enum import StrEnum
from functools import partial
from typing import Any

from cattrs import BaseValidationError
from cattrs.preconf.json import JsonConverter, make_converter
from cattrs.strategies import configure_tagged_union

from plantaingrade.errors import PlantaingradeError

TAG = 't'
DECODE_ERRORS = (
    BaseValidationError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)


class MalformedMessageError(PlantaingradeError):
    """Report bytes that are no message of the expected type."""

    advice = 'The sender runs another version, or is no plantaingrade process.'


def _strict(kind: type, raw: Any, _: type) -> Any:
    exact = raw.__class__
    if exact is not kind and not (kind is float and exact is int):
        raise ValueError(f'expected {kind.__name__}')
    typed = kind(raw)
    # Loads and times are compared, and nothing compares with NaN.
    if kind is float and not math.isfinite(typed):
        raise ValueError('expected a finite number')
    return typed


def _to_enum(raw: Any, kind: type) -> Any:
    return kind(raw)


def _make_converter(unions: tuple[Any, ...]) -> JsonConverter:
    converter = make_converter()
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, partial(_strict, kind))
    # The hook for ``str`` would catch string enums too, and leave them plain
    # strings.
    converter.register_structure_hook(StrEnum, _to_enum)
    for union in unions:
        configure_tagged_union(union, converter, tag_name=TAG)
    return converter


class Codec:
    """Encode and decode one type, with the tagged unions inside it.

    Its converter is made when it is first used: a process needs few of its
    codecs at its start, and one takes 1 to 4 ms to make.
    """

    __slots__ = ('_made', '_root', '_unions')

    def __init__(self, root: Any, *unions: Any) -> None:
        """Name the root type and the unions in it."""
        self._root = root
        self._unions = unions
        self._made: JsonConverter | None = None

    @property
    def _converter(self) -> JsonConverter:
        if self._made is None:
            self._made = _make_converter(self._unions)
        return self._made

    def encode(self, message: Any) -> bytes:
        """Return the message as UTF-8 JSON."""
        return self._converter.dumps(
            message,
            unstructure_as=self._root,
            separators=(',', ':'),
        ).encode()

    def decode(self, raw: bytes | str) -> Any:
        """Return the message held in raw bytes.

        Raises:
            MalformedMessageError: the bytes are no member of the union.
        """
        try:
            return self._converter.loads(raw, self._root)
        except DECODE_ERRORS as error:
            raise MalformedMessageError('Message not understood.') from error
