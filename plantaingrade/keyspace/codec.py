"""Encoding of a key map as the body of a store row or message.

Owners are listed once and referred to by position. A range then takes about 18
bytes, and a map of some thousand ranges fits into a row.
"""

import json
from typing import Any

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError
from plantaingrade.keyspace.assign import is_complete
from plantaingrade.keyspace.entity import (
    KEY_COUNT,
    Assignment,
    KeyMap,
    KeyRange,
)
from plantaingrade.schema import Fields, SchemaError, parse_object

FIELD_FENCE = 'fence'
FIELD_OWNERS = 'owners'
FIELD_RANGES = 'ranges'
# Elements of one range, in order. The encoding has no names for them; they
# appear in errors.
NAME_FIRST = 'first'
NAME_POSITION = 'place'
RANGE_NAMES = (NAME_FIRST, NAME_POSITION, FIELD_FENCE)
RANGE_LENGTH = len(RANGE_NAMES)


class UnreadableMapError(PlantaingradeError):
    """Report a row body that is no valid key map."""

    advice = 'Another program or a newer version writes to the same table.'


class RangeFields(Struct, frozen=True):
    """First key, position in the list of owners, and fence of one range."""

    first: int
    position: int
    fence: int


def encode_map(key_map: KeyMap) -> bytes:
    """Return a map as UTF-8 JSON."""
    owners = sorted(key_map.owners())
    position_by_owner = {
        owner: position for position, owner in enumerate(owners)
    }
    ranges = [
        [each.keys.first, position_by_owner[each.owner], each.fence]
        for each in key_map.assignments
    ]
    fields = {
        FIELD_FENCE: key_map.fence,
        FIELD_OWNERS: owners,
        FIELD_RANGES: ranges,
    }
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_map(body: bytes, version: int) -> KeyMap:
    """Return the map in the body of a row of some version.

    Raises:
        UnreadableMapError: the bytes are no valid map, or lack some keys.
    """
    try:
        key_map = _from_fields(parse_object(body), version)
    except SchemaError as error:
        raise UnreadableMapError(f'Key map is malformed: {error}') from error
    if not is_complete(key_map):
        raise UnreadableMapError('Key map does not cover all keys.')
    return key_map


def _from_fields(fields: Fields, version: int) -> KeyMap:
    fence = fields.integer(FIELD_FENCE)
    owners = _read_owners(fields)
    ranges = [
        _read_range(raw, len(owners), fence)
        for raw in fields.array(FIELD_RANGES)
    ]
    firsts = [each.first for each in ranges]
    if firsts != sorted(set(firsts)):
        raise SchemaError('Ranges of a key map are not in ascending order.')
    ends = [first - 1 for first in firsts[1:]]
    ends.append(KEY_COUNT - 1)
    assignments = tuple(
        Assignment(
            KeyRange(each.first, last), owners[each.position], each.fence
        )
        for each, last in zip(ranges, ends, strict=False)
    )
    return KeyMap(assignments, fence, version)


def _read_owners(fields: Fields) -> list[str]:
    names = fields.array(FIELD_OWNERS)
    return [Fields({FIELD_OWNERS: name}).text(FIELD_OWNERS) for name in names]


def _read_range(raw: Any, owners: int, fence: int) -> RangeFields:
    """Return one range; its fence must not be above that of the map."""
    if not isinstance(raw, list) or len(raw) != RANGE_LENGTH:
        raise SchemaError('A range of a key map does not have three elements.')
    fields = Fields(dict(zip(RANGE_NAMES, raw, strict=True)))
    return RangeFields(
        fields.integer(NAME_FIRST, 0, KEY_COUNT - 1),
        fields.integer(NAME_POSITION, 0, owners - 1),
        fields.integer(FIELD_FENCE, 0, fence),
    )
