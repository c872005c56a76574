"""Malformed entries, as a writer that breaks the platform's rules sends them.

They replace heartbeats and rows of the store, and name no server that could be
used. Pure: the same random state gives the same bytes.
"""

import json
import random
from enum import StrEnum
from typing import Any

UNKNOWN_VALUE = 'nobody-knows-this'
# Fields whose values come from a fixed list.
LISTED_FIELDS = ('state', 'service')
# One value of each JSON type, and numbers that fit no integer.
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
# Addresses that nothing can be sent to.
ODD_ADDRESSES = (
    '',
    '127.0.0.1',
    '127.0.0.1:70000',
    '127.0.0.1:-1',
    '127.0.0.1:x',
    ':18142',
    'a..b:18142',
)
# Nesting too deep for a recursive decoder.
DEEP_NESTING = 100_000
UNREADABLE = (
    b'',
    b'\xff\xfe\x00',
    b'{"service":"cases",',
    b'null',
    b'[]',
    b'7',
    b'[' * DEEP_NESTING,
    b'{"until":%b}' % (b'9' * 5000),
)


class Flaw(StrEnum):
    """What is wrong with an entry."""

    MISSING = 'missing'
    OTHER_TYPE = 'other-type'
    UNKNOWN_VALUE = 'unknown-word'
    UNREADABLE = 'unreadable'
    ADDRESS = 'address'


def corrupt(fields: dict[str, Any], flaw: Flaw, rng: random.Random) -> bytes:
    """Return an encoded entry that has one flaw."""
    name = rng.choice(sorted(fields))
    match flaw:
        case Flaw.MISSING:
            remaining = {
                field: fields[field] for field in fields if field != name
            }
            return json.dumps(remaining).encode()
        case Flaw.OTHER_TYPE:
            others = [
                other
                for other in OTHER_VALUES
                if other.__class__ is not fields[name].__class__
            ]
            return _with_value(fields, name, rng.choice(others))
        case Flaw.UNKNOWN_VALUE:
            listed = [field for field in LISTED_FIELDS if field in fields]
            return _with_value(fields, rng.choice(listed), UNKNOWN_VALUE)
        case Flaw.UNREADABLE:
            return rng.choice(UNREADABLE)
        case Flaw.ADDRESS:
            return _with_value(fields, 'address', rng.choice(ODD_ADDRESSES))


def _with_value(fields: dict[str, Any], name: str, wrong: object) -> bytes:
    return json.dumps({**fields, name: wrong}).encode()
