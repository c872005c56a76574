"""Migrate a lease to a new epoch of the store. Pure.

Failure: the store is restored from a snapshot and has lost its last seconds of
writes. A lease remains exclusive in spite of that: its member knows each range
that it transferred itself, and nobody else could have transferred one. So the
keys that it owns to its own knowledge stay its own until the lease ends.
"""

from collections.abc import Iterable

from plantaingrade.holds.changes import Change, SentWrite
from plantaingrade.keyspace.entity import Assignment, KeyMap


def plan_migration(key_map: KeyMap, stored: KeyMap, epoch: int) -> Change:
    """Return the change that joins an epoch with a lease of an earlier one.

    It also writes what this member knows of the lost seconds. The transaction
    must require that the map is unchanged: once the earlier lease is over,
    others may take over its keys.
    """
    is_known = stored.epoch == epoch and (
        key_map.assignments == stored.assignments
    )
    if is_known or not key_map.assignments:
        return Change(needs_map=True)
    return Change(key_map, needs_map=True)


def find_unconfirmed_transfers(
    key_map: KeyMap, own: str, writes: Iterable[SentWrite]
) -> tuple[Assignment, ...]:
    """Return the ranges that unanswered writes may have transferred to others.

    If the writes were applied before the epoch ended, the receivers hold the
    keys.
    """
    changed = (write.change.key_map for write in writes)
    return tuple(
        piece
        for after in changed
        if after is not None
        for piece in _newly_assigned(key_map, own, after)
    )


def _newly_assigned(
    key_map: KeyMap, own: str, after: KeyMap
) -> list[Assignment]:
    owned = key_map.owned_by(own)
    return [
        Assignment(each.keys.overlap(mine.keys), each.owner, each.fence)
        for each in after.assignments
        if each.owner != own
        for mine in owned
        if each.fence > mine.fence and each.keys.overlap(mine.keys)
    ]
