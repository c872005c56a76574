"""Pure changes of a key map.

Each change gives the keys it touches a fence above all that were used before,
so that a backend server refuses whatever an earlier owner still sends.
"""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import pairwise

from plantaingrade.keyspace.entity import (
    ALL_KEYS,
    KEY_COUNT,
    NO_MAP,
    Assignment,
    KeyMap,
    KeyRange,
)

FIRST_FENCE = 1
# More than are used in one epoch of the store. The largest fence is then a
# whole number that all writers of JSON keep.
FENCES_PER_EPOCH = 1_000_000_000


def split_evenly(owners: Iterable[str], epoch: int = 0) -> KeyMap:
    """Return a first map of an epoch that gives each owner as many keys."""
    names = sorted(owners)
    if not names:
        return KeyMap((), 0)
    ranges = split_range(ALL_KEYS, len(names))
    fence = next_fence(NO_MAP, epoch)
    return KeyMap(
        tuple(
            Assignment(keys, owner, fence)
            for keys, owner in zip(ranges, names, strict=False)
        ),
        fence,
    )


def next_fence(key_map: KeyMap, epoch: int) -> int:
    """Return a fence above all of a map, and above those of earlier epochs.

    The map may lack what an earlier epoch has lost, and its fences with it.
    """
    return max(key_map.fence + 1, epoch * FENCES_PER_EPOCH + FIRST_FENCE)


def split_range(keys: KeyRange, pieces: int) -> list[KeyRange]:
    """Return a range cut into pieces of about the same number of keys."""
    pieces = min(pieces, len(keys))
    size = len(keys)
    edges = [keys.first + size * place // pieces for place in range(pieces + 1)]
    return [KeyRange(first, after - 1) for first, after in pairwise(edges)]


def reassign(
    key_map: KeyMap,
    owner_by_keys: dict[KeyRange, str],
    epoch: int = 0,
) -> KeyMap:
    """Return the map after ranges have passed to owners in an epoch."""
    fence = next_fence(key_map, epoch)
    changes = [
        Assignment(keys, owner, fence) for keys, owner in owner_by_keys.items()
    ]
    return overlay(key_map, changes, fence)


def overlay(
    key_map: KeyMap, changes: Iterable[Assignment], fence: int
) -> KeyMap:
    """Return the map with assignments in place of what they cover.

    Load that answers: each change is applied by every member, so what does
    not change is taken over as it is.
    """
    pieces = list(key_map.assignments)
    for change in changes:
        pieces = _laid(pieces, change)
    return KeyMap(tuple(pieces), fence, key_map.version)


def merge(newer: KeyMap, known: KeyMap) -> KeyMap:
    """Return the later assignment of each key, as the map that is newer.

    The newer map may come from a copy of the store and lack what is known of
    the seconds before. Of one key the assignment with the higher fence is the
    later one.
    """
    if not known.assignments:
        return newer
    if not newer.assignments:
        return known.at_version(newer.version)
    firsts = sorted(
        {each.keys.first for each in newer.assignments + known.assignments}
    )
    pieces = [
        _later(newer.find(first), known.find(first), KeyRange(first, after - 1))
        for first, after in pairwise([*firsts, KEY_COUNT])
    ]
    fence = max(newer.fence, known.fence)
    return KeyMap(tuple(_joined(pieces)), fence, newer.version)


def _later(one: Assignment, other: Assignment, keys: KeyRange) -> Assignment:
    """Return what is assigned last of some keys; the first one if even."""
    later = one if one.fence >= other.fence else other
    return Assignment(keys, later.owner, later.fence)


def _laid(pieces: list[Assignment], change: Assignment) -> list[Assignment]:
    """Put an assignment over what it covers, and join it with neighbours."""
    first, last = change.keys.first, change.keys.last
    start = max(0, bisect_right(pieces, first, key=_first_key) - 1)
    end = bisect_right(pieces, last, key=_first_key)
    rests = [
        Assignment(rest, piece.owner, piece.fence)
        for piece in pieces[start:end]
        for rest in piece.keys.without(change.keys)
    ]
    laid = sorted([*rests, change], key=_first_key)
    before = max(0, start - 1)
    after = end + 1
    near = pieces[before:start] + laid + pieces[end:after]
    return pieces[:before] + _joined(near) + pieces[after:]


def is_complete(key_map: KeyMap) -> bool:
    """Tell whether each key has exactly one assignment."""
    expected = 0
    for assignment in key_map.assignments:
        if assignment.keys.first != expected:
            return False
        expected = assignment.keys.last + 1
    return expected == KEY_COUNT


def _first_key(assignment: Assignment) -> int:
    return assignment.keys.first


def _joined(assignments: list[Assignment]) -> list[Assignment]:
    """Join neighbours that one owner holds under one fence."""
    joined: list[Assignment] = []
    for assignment in assignments:
        before = joined[-1] if joined else None
        if before and _is_same_grant(before, assignment):
            keys = KeyRange(before.keys.first, assignment.keys.last)
            joined[-1] = Assignment(keys, before.owner, before.fence)
        else:
            joined.append(assignment)
    return joined


def _is_same_grant(one: Assignment, other: Assignment) -> bool:
    return one.owner == other.owner and one.fence == other.fence
