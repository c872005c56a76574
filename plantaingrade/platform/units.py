"""Times and versions as the platform writes them."""

from plantaingrade.const import MS_PER_S
from plantaingrade.errors import PlantaingradeError

SUFFIX_MS = 'ms'
SUFFIX_S = 's'
VERSION_TAG = 'r'


class UnreadableFieldError(PlantaingradeError):
    """Report a field whose text does not have the form it should."""

    advice = 'The sender speaks another version of the platform.'


def parse_time(text: object) -> float:
    """Return the seconds of a text such as ``1500ms`` or ``2.5s``.

    Raises:
        UnreadableFieldError: the text is no time.
    """
    if not isinstance(text, str):
        raise UnreadableFieldError(f'{text!r} is not a time with a unit.')
    try:
        if text.endswith(SUFFIX_MS):
            return float(text.removesuffix(SUFFIX_MS)) / MS_PER_S
        if text.endswith(SUFFIX_S):
            return float(text.removesuffix(SUFFIX_S))
    except ValueError as error:
        raise UnreadableFieldError(f'{text!r} is not a time.') from error
    raise UnreadableFieldError(f'{text!r} is not a time with a unit.')


def format_time(seconds: float) -> str:
    """Return whole milliseconds with their unit, rounded down."""
    return f'{int(seconds * MS_PER_S)}{SUFFIX_MS}'


def parse_version(text: object) -> int:
    """Return the number of a configuration's version such as ``r12``.

    Raises:
        UnreadableFieldError: the text is no version.
    """
    if isinstance(text, str) and text.startswith(VERSION_TAG):
        digits = text.removeprefix(VERSION_TAG)
        if digits.isdigit():
            return int(digits)
    raise UnreadableFieldError(f'{text!r} is not a version.')
