"""Encode a key map as the body of a row or of a message.

Owners are listed once and named by position, so that a map of some thousand
ranges fits a row: about 18 bytes a range.
"""

import json

from plantaingrade.errors import PlantaingradeError
from plantaingrade.keyspace.assign import is_complete
from plantaingrade.keyspace.entity import (
    KEY_COUNT,
    Assignment,
    KeyMap,
    KeyRange,
)

FIELD_FENCE = 'fence'
FIELD_OWNERS = 'owners'
FIELD_RANGES = 'ranges'
DECODE_ERRORS = (ValueError, KeyError, TypeError, IndexError)


class UnreadableMapError(PlantaingradeError):
    """Report a row that holds no key map."""

    advice = 'Another program writes to the same table, or a newer version.'


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
        key_map = _from_fields(json.loads(body), version)
    except DECODE_ERRORS as error:
        raise UnreadableMapError('Key map not understood.') from error
    if not is_complete(key_map):
        raise UnreadableMapError('Key map leaves keys out.')
    return key_map


def _from_fields(fields: dict, version: int) -> KeyMap:
    owners = fields[FIELD_OWNERS]
    ranges = fields[FIELD_RANGES]
    ends = [first - 1 for first, _, _ in ranges[1:]]
    ends.append(KEY_COUNT - 1)
    assignments = tuple(
        Assignment(KeyRange(int(first), last), str(owners[place]), int(fence))
        for (first, place, fence), last in zip(ranges, ends, strict=True)
    )
    return KeyMap(assignments, int(fields[FIELD_FENCE]), version)
