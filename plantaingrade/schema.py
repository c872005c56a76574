"""Read JSON objects of other programs, with checks of types and bounds.

Another program, or another version of it, may omit a field or write a value of
another type: a number as text, ``true`` for a number, ``NaN``. Each field is
checked when it is read, and an invalid field makes the whole object invalid.
"""

import json
from typing import Any

from plantaingrade.errors import PlantaingradeError

# Default limit for texts: names and addresses of the platform have at most 200
# bytes.
MAX_CHARS = 200
# 2 ** 53: the largest integer that every JSON writer keeps exactly.
MAX_SAFE_INTEGER = 9_007_199_254_740_992
DECODE_ERRORS = (ValueError, RecursionError)


class SchemaError(PlantaingradeError):
    """Report bytes that are not an object of the expected form."""

    advice = 'Another program or another version of this one wrote it.'


def parse_object(body: bytes) -> 'Fields':
    """Parse a JSON object.

    Raises:
        SchemaError: the bytes are not a JSON object.
    """
    try:
        raw = json.loads(body)
    except DECODE_ERRORS as error:
        raise SchemaError('Not JSON.') from error
    return Fields(raw)


class Fields:
    """One JSON object; each method checks the field that it returns."""

    __slots__ = ('_raw',)

    def __init__(self, raw: Any) -> None:
        """Use a parsed JSON value.

        Raises:
            SchemaError: it is not an object.
        """
        if not isinstance(raw, dict):
            raise SchemaError('Not an object.')
        self._raw: dict[str, Any] = raw

    def has(self, name: str) -> bool:
        """Return whether the object has a field of this name."""
        return name in self._raw

    def any_value(self, name: str) -> Any:
        """Return a field of any type.

        Raises:
            SchemaError: the field is missing.
        """
        if name not in self._raw:
            raise SchemaError(f'{name} is missing.')
        return self._raw[name]

    def text(
        self, name: str, max_chars: int = MAX_CHARS, min_chars: int = 1
    ) -> str:
        """Return a printable text within bounds of its length.

        Raises:
            SchemaError: the field is missing or not such a text.
        """
        raw = self.any_value(name)
        # Unprintable characters are not allowed in headers and logs, and half
        # of a surrogate pair cannot even be encoded as UTF-8.
        is_text = isinstance(raw, str) and raw.isprintable()
        if is_text and min_chars <= len(raw) <= max_chars:
            return raw
        raise SchemaError(f'{name} is not a text.')

    def integer(
        self, name: str, low: int = 0, high: int = MAX_SAFE_INTEGER
    ) -> int:
        """Return an integer within inclusive bounds.

        Raises:
            SchemaError: the field is missing or not such an integer.
        """
        raw = self.any_value(name)
        # ``bool`` is a subclass of ``int``.
        if type(raw) is int and low <= raw <= high:  # noqa: WPS516
            return raw
        raise SchemaError(f'{name} is not an integer within bounds.')

    def number(self, name: str, low: float, high: float) -> float:
        """Return a number within finite, inclusive bounds.

        Raises:
            SchemaError: the field is missing or not such a number.
        """
        raw = self.any_value(name)
        # Every comparison with NaN is false.
        if type(raw) in {int, float} and low <= raw <= high:  # noqa: WPS516
            return float(raw)
        raise SchemaError(f'{name} is not a number within bounds.')

    def boolean(self, name: str) -> bool:
        """Return a boolean.

        Raises:
            SchemaError: the field is missing or of another type.
        """
        raw = self.any_value(name)
        if isinstance(raw, bool):
            return raw
        raise SchemaError(f'{name} is not a boolean.')

    def array(self, name: str) -> list[Any]:
        """Return a list; its elements are not checked.

        Raises:
            SchemaError: the field is missing or of another type.
        """
        raw = self.any_value(name)
        if isinstance(raw, list):
            return raw
        raise SchemaError(f'{name} is not a list.')

    def mapping(self, name: str) -> dict[str, Any]:
        """Return an object as a mapping; its values are not checked.

        Raises:
            SchemaError: the field is missing or of another type.
        """
        raw = self.any_value(name)
        if isinstance(raw, dict):
            return raw
        raise SchemaError(f'{name} is not an object.')
