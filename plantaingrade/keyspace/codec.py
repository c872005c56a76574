"""Encode a key map as the body of a row or of a message.

Owners are listed once and named by position, so that a map of some thousand
ranges fits a row: about 18 bytes a range.
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
# Of one range, in the order in which they stand there.
NAME_FIRST = 'first'
NAME_PLACE = 'place'
RANGE_NAMES = (NAME_FIRST, NAME_PLACE, FIELD_FENCE)
RANGE_LENGTH = len(RANGE_NAMES)


class UnreadableMapError(PlantaingradeError):
    """Report a row that holds no key map."""

    advice = 'Another program writes to the same table, or a newer version.'


class RangeFields(Struct, frozen=True):
    """First key, place among the owners and fence of one range."""

    first: int
    place: int
    fence: int


def encode_map(key_map: KeyMap) -> bytes:
    """Return a map as JSON."""
    owners = sorted(key_map.owners())
    place_by_owner = {owner: place for place, owner in enumerate(owners)}
    ranges = [
        [each.keys.first, place_by_owner[each.owner], each.fence]
        for each in key_map.assignments
    ]
    fields = {
        FIELD_FENCE: key_map.fence,
        FIELD_OWNERS: owners,
        FIELD_RANGES: ranges,
    }
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_map(body: bytes, version: int) -> KeyMap:
    """Return the map that a row holds.

    Raises:
        UnreadableMapError: the bytes are no map, or leave keys out.
    """
    try:
        key_map = _from_fields(parse_object(body), version)
    except SchemaError as error:
        raise UnreadableMapError(f'Key map not understood: {error}') from error
    if not is_complete(key_map):
        raise UnreadableMapError('Key map leaves keys out.')
    return key_map


def _from_fields(fields: Fields, version: int) -> KeyMap:
    fence = fields.whole(FIELD_FENCE)
    owners = _read_owners(fields)
    ranges = [
        _read_range(raw, len(owners), fence)
        for raw in fields.rows(FIELD_RANGES)
    ]
    firsts = [each.first for each in ranges]
    if firsts != sorted(set(firsts)):
        raise SchemaError('Ranges are out of order.')
    ends = [first - 1 for first in firsts[1:]]
    ends.append(KEY_COUNT - 1)
    assignments = tuple(
        Assignment(KeyRange(each.first, last), owners[each.place], each.fence)
        for each, last in zip(ranges, ends, strict=False)
    )
    return KeyMap(assignments, fence, version)


def _read_owners(fields: Fields) -> list[str]:
    names = fields.rows(FIELD_OWNERS)
    return [Fields({FIELD_OWNERS: name}).text(FIELD_OWNERS) for name in names]


def _read_range(raw: Any, owners: int, fence: int) -> RangeFields:
    """Return one range; no fence in a map is above the map's own."""
    if not isinstance(raw, list) or len(raw) != RANGE_LENGTH:
        raise SchemaError('A range is not three numbers.')
    fields = Fields(dict(zip(RANGE_NAMES, raw, strict=True)))
    return RangeFields(
        fields.whole(NAME_FIRST, 0, KEY_COUNT - 1),
        fields.whole(NAME_PLACE, 0, owners - 1),
        fields.whole(FIELD_FENCE, 0, fence),
    )
