"""Words of a writer that does not keep to the platform's pages.

They stand for heartbeats and for rows of the store that name no server to
use. Pure: the same chooser, the same bytes.
"""

import json
import random
from enum import StrEnum
from typing import Any

UNKNOWN_WORD = 'nobody-knows-this'
# Fields whose values are words that the pages list.
NAMING_FIELDS = ('state', 'service')
# One of each type of JSON, and numbers that fit no integer.
OTHER_VALUES = (
    None,
    True,
    'x',
    -1,
    0.5,
    float('inf'),
    float('nan'),
    [],
    {'x': 1},
)
# Nesting beyond what a recursive decoder bears.
DEEP = 100_000
UNREADABLE = (
    b'',
    b'\xff\xfe\x00',
    b'{"service":"cases",',
    b'null',
    b'[]',
    b'7',
    b'[' * DEEP,
)


class Flaw(StrEnum):
    """What is wrong with an entry."""

    MISSING = 'missing'
    OTHER_TYPE = 'other-type'
    UNKNOWN_WORD = 'unknown-word'
    UNREADABLE = 'unreadable'


def spoil(fields: dict[str, Any], flaw: Flaw, chooser: random.Random) -> bytes:
    """Return an entry with one flaw, as bytes."""
    name = chooser.choice(sorted(fields))
    match flaw:
        case Flaw.MISSING:
            rest = {known: fields[known] for known in fields if known != name}
            return json.dumps(rest).encode()
        case Flaw.OTHER_TYPE:
            others = [
                other
                for other in OTHER_VALUES
                if other.__class__ is not fields[name].__class__
            ]
            return _with_value(fields, name, chooser.choice(others))
        case Flaw.UNKNOWN_WORD:
            named = [known for known in NAMING_FIELDS if known in fields]
            return _with_value(fields, chooser.choice(named), UNKNOWN_WORD)
        case Flaw.UNREADABLE:
            return chooser.choice(UNREADABLE)


def _with_value(fields: dict[str, Any], name: str, found: object) -> bytes:
    return json.dumps({**fields, name: found}).encode()
