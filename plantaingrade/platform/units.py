"""Times and versions as the platform writes them."""

import re

from plantaingrade.const import MS_PER_S
from plantaingrade.errors import PlantaingradeError

SUFFIX_MS = 'ms'
SUFFIX_S = 's'
# As many digits as any time or version has; text without a bound could stand
# for a number that is infinite.
TIME = re.compile(r'(\d{1,15}(?:\.\d{1,20})?)(ms|s)', re.ASCII)
MAX_SHOWN = 80
VERSION = re.compile(r'r(\d{1,15})', re.ASCII)


class UnreadableFieldError(PlantaingradeError):
    """Report a field whose text does not have the form it should."""

    advice = 'The sender speaks another version of the platform.'


def parse_time(text: object) -> float:
    """Return the seconds of a text such as ``1500ms`` or ``2.5s``.

    Raises:
        UnreadableFieldError: the text is no time.
    """
    found = TIME.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise UnreadableFieldError(f'{shown(text)} is no time with a unit.')
    amount, unit = found.groups()
    return float(amount) / MS_PER_S if unit == SUFFIX_MS else float(amount)


def format_time(seconds: float) -> str:
    """Return whole milliseconds with their unit, rounded down."""
    return f'{int(seconds * MS_PER_S)}{SUFFIX_MS}'


def parse_version(text: object) -> int:
    """Return the number of a configuration's version such as ``r12``.

    Raises:
        UnreadableFieldError: the text is no version.
    """
    found = VERSION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise UnreadableFieldError(f'{shown(text)} is no version.')
    return int(found.group(1))


def shown(raw: object) -> str:
    """Return what a message shows of a field, however long that is."""
    return repr(raw)[:MAX_SHOWN]
