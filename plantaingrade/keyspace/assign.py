"""Changes of a key map, as pure functions.

Each change gives the changed keys a fence above all earlier ones, so that a
backend server rejects what a previous owner still sends.
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
# More than are used in one epoch of the store, yet few enough that the largest
# fence is an integer that all JSON implementations preserve.
FENCES_PER_EPOCH = 1_000_000_000


def split_evenly(owners: Iterable[str], epoch: int = 0) -> KeyMap:
    """Return the first map of an epoch, with the keys split evenly."""
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
    """Return a fence above all those of a map and of earlier epochs.

    The map may lack changes of an earlier epoch that were lost, and with them
    the fences that were used there.
    """
    return max(key_map.fence + 1, epoch * FENCES_PER_EPOCH + FIRST_FENCE)


def split_range(keys: KeyRange, pieces: int) -> list[KeyRange]:
    """Return a range split into at most ``pieces`` parts of similar size."""
    pieces = min(pieces, len(keys))
    size = len(keys)
    edges = [keys.first + size * index // pieces for index in range(pieces + 1)]
    return [KeyRange(first, after - 1) for first, after in pairwise(edges)]


def reassign(
    key_map: KeyMap,
    owner_by_keys: dict[KeyRange, str],
    epoch: int = 0,
) -> KeyMap:
    """Return the map with ranges assigned to new owners in an epoch."""
    fence = next_fence(key_map, epoch)
    changes = [
        Assignment(keys, owner, fence) for keys, owner in owner_by_keys.items()
    ]
    return overlay(key_map, changes, fence)


def overlay(
    key_map: KeyMap, changes: Iterable[Assignment], fence: int
) -> KeyMap:
    """Return the map with assignments replacing those that they overlap.

    Every member applies every change, so unchanged assignments are reused to
    keep the load low.
    """
    pieces = list(key_map.assignments)
    for change in changes:
        pieces = _overlay_one(pieces, change)
    return KeyMap(tuple(pieces), fence, key_map.version)


def merge(newer: KeyMap, known: KeyMap) -> KeyMap:
    """Return the later assignment of each key, at the newer map's version.

    The newer map may come from a store restored from a backup, and lack known
    changes of the seconds before. The assignment of a key with the higher fence
    is the later one.
    """
    if not known.assignments:
        return newer
    if not newer.assignments:
        return known.at_version(newer.version)
    firsts = sorted(
        {each.keys.first for each in newer.assignments + known.assignments}
    )
    pieces = [
        _newer_of(
            newer.find(first), known.find(first), KeyRange(first, after - 1)
        )
        for first, after in pairwise([*firsts, KEY_COUNT])
    ]
    fence = max(newer.fence, known.fence)
    return KeyMap(tuple(_join_adjacent(pieces)), fence, newer.version)


def _newer_of(one: Assignment, other: Assignment, keys: KeyRange) -> Assignment:
    """Return the assignment with the higher fence; the first if equal."""
    later = one if one.fence >= other.fence else other
    return Assignment(keys, later.owner, later.fence)


def _overlay_one(
    pieces: list[Assignment], change: Assignment
) -> list[Assignment]:
    """Replace what an assignment overlaps, and join it with its neighbours."""
    first, last = change.keys.first, change.keys.last
    start = max(0, bisect_right(pieces, first, key=_first_key) - 1)
    end = bisect_right(pieces, last, key=_first_key)
    remainders = [
        Assignment(rest, piece.owner, piece.fence)
        for piece in pieces[start:end]
        for rest in piece.keys.without(change.keys)
    ]
    replaced = sorted([*remainders, change], key=_first_key)
    before = max(0, start - 1)
    after = end + 1
    near = pieces[before:start] + replaced + pieces[end:after]
    return pieces[:before] + _join_adjacent(near) + pieces[after:]


def is_complete(key_map: KeyMap) -> bool:
    """Return whether each key has exactly one assignment."""
    expected = 0
    for assignment in key_map.assignments:
        if assignment.keys.first != expected:
            return False
        expected = assignment.keys.last + 1
    return expected == KEY_COUNT


def _first_key(assignment: Assignment) -> int:
    return assignment.keys.first


def _join_adjacent(assignments: list[Assignment]) -> list[Assignment]:
    """Join adjacent assignments with the same owner and fence."""
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
