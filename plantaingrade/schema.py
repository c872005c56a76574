"""Read the fields of JSON objects that others wrote, by type and bounds.

Another writer, or another version of one, may leave a field out or put
something else in its place: a number as text, ``true`` for a number, ``NaN``.
Each field is checked where it is read, and one that does not fit makes its
whole object unreadable.
"""

import json
from typing import Any

from plantaingrade.errors import PlantaingradeError

# Longest text read unless a caller sets another bound: names and addresses of
# the platform have at most 200 bytes.
MAX_CHARS = 200
# Largest whole number that every writer of JSON keeps exactly.
MAX_SAFE_INTEGER = 9_007_199_254_740_992
DECODE_ERRORS = (ValueError, RecursionError)


class SchemaError(PlantaingradeError):
    """Report bytes that are no object of the expected form."""

    advice = 'Another program wrote it, or another version of this one.'


def parse_object(body: bytes) -> 'Fields':
    """Return the object that bytes hold as JSON.

    Raises:
        SchemaError: the bytes hold no JSON object.
    """
    try:
        raw = json.loads(body)
    except DECODE_ERRORS as error:
        raise SchemaError('Not JSON.') from error
    return Fields(raw)


class Fields:
    """One JSON object; each reading checks the field that it returns."""

    __slots__ = ('_raw',)

    def __init__(self, raw: Any) -> None:
        """Read from an object.

        Raises:
            SchemaError: it is something else than an object.
        """
        if not isinstance(raw, dict):
            raise SchemaError('Not an object.')
        self._raw: dict[str, Any] = raw

    def has(self, name: str) -> bool:
        """Tell whether there is a field of this name."""
        return name in self._raw

    def any_value(self, name: str) -> Any:
        """Return a field of any type.

        Raises:
            SchemaError: there is none.
        """
        if name not in self._raw:
            raise SchemaError(f'{name} is missing.')
        return self._raw[name]

    def text(
        self, name: str, max_chars: int = MAX_CHARS, min_chars: int = 1
    ) -> str:
        """Return a text that can be printed, within bounds of its length.

        Raises:
            SchemaError: the field is missing or no such text.
        """
        raw = self.any_value(name)
        # What cannot be printed cannot stand in a header or a log, and half
        # of a surrogate pair cannot even be written as UTF-8.
        is_text = isinstance(raw, str) and raw.isprintable()
        if is_text and min_chars <= len(raw) <= max_chars:
            return raw
        raise SchemaError(f'{name} is not a text.')

    def integer(
        self, name: str, low: int = 0, high: int = MAX_SAFE_INTEGER
    ) -> int:
        """Return a whole number within bounds, both included.

        Raises:
            SchemaError: the field is missing or no such number.
        """
        raw = self.any_value(name)
        # A truth value is an instance of ``int`` too.
        if type(raw) is int and low <= raw <= high:  # noqa: WPS516
            return raw
        raise SchemaError(f'{name} is not a whole number in bounds.')

    def number(self, name: str, low: float, high: float) -> float:
        """Return a number within finite bounds, both included.

        Raises:
            SchemaError: the field is missing or no such number.
        """
        raw = self.any_value(name)
        # No comparison with NaN holds.
        if type(raw) in {int, float} and low <= raw <= high:  # noqa: WPS516
            return float(raw)
        raise SchemaError(f'{name} is not a number in bounds.')

    def boolean(self, name: str) -> bool:
        """Return a truth value.

        Raises:
            SchemaError: the field is missing or something else.
        """
        raw = self.any_value(name)
        if isinstance(raw, bool):
            return raw
        raise SchemaError(f'{name} is not a truth value.')

    def array(self, name: str) -> list[Any]:
        """Return a list, whatever is in it.

        Raises:
            SchemaError: the field is missing or something else.
        """
        raw = self.any_value(name)
        if isinstance(raw, list):
            return raw
        raise SchemaError(f'{name} is not a list.')

    def mapping(self, name: str) -> dict[str, Any]:
        """Return an object by its names, whatever is in it.

        Raises:
            SchemaError: the field is missing or something else.
        """
        raw = self.any_value(name)
        if isinstance(raw, dict):
            return raw
        raise SchemaError(f'{name} is not an object.')
