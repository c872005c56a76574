"""Formats of durations and versions on the platform."""

import re

from plantaingrade.const import MS_PER_S
from plantaingrade.errors import PlantaingradeError

SUFFIX_MS = 'ms'
SUFFIX_S = 's'
# The number of digits is limited to what durations and versions need, since an
# unlimited number of digits could parse as an infinite number.
TIME = re.compile(r'(\d{1,15}(?:\.\d{1,20})?)(ms|s)', re.ASCII)
MAX_REPR_CHARS = 80
VERSION = re.compile(r'r(\d{1,15})', re.ASCII)


class UnreadableFieldError(PlantaingradeError):
    """Raised when a field has an invalid value."""

    advice = 'The sender may use another version of the platform.'


def parse_time(text: object) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` and return seconds.

    Raises:
        UnreadableFieldError: the text is not a duration with a unit.
    """
    matched = TIME.fullmatch(text) if isinstance(text, str) else None
    if matched is None:
        raise UnreadableFieldError(
            f'Invalid duration {truncated_repr(text)}: '
            'expected a number with the unit ms or s.'
        )
    amount, unit = matched.groups()
    return float(amount) / MS_PER_S if unit == SUFFIX_MS else float(amount)


def format_time(seconds: float) -> str:
    """Format a duration as whole milliseconds with unit, rounded down."""
    return f'{int(seconds * MS_PER_S)}{SUFFIX_MS}'


def parse_version(text: object) -> int:
    """Return the number of a configuration version such as ``r12``.

    Raises:
        UnreadableFieldError: the text is not a version.
    """
    matched = VERSION.fullmatch(text) if isinstance(text, str) else None
    if matched is None:
        raise UnreadableFieldError(
            f'Invalid version {truncated_repr(text)}: expected r and a number.'
        )
    return int(matched.group(1))


def truncated_repr(raw: object) -> str:
    """Return the start of the ``repr`` of a value, for error messages."""
    return repr(raw)[:MAX_REPR_CHARS]
