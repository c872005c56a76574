"""Carry a lease over into a new epoch of the store. Pure.

In its epoch a lease is exclusive, whatever the store has lost since. Its member
knows each range that it gave away itself, and nobody else could give one away.
So what it owns by all that is known is its own still, until the lease ends.
"""

from collections.abc import Iterable

from plantaingrade.holds.changes import Change, SentWrite
from plantaingrade.keyspace.entity import Assignment, KeyMap


def plan_carry(key_map: KeyMap, stored: KeyMap, epoch: int) -> Change:
    """Return the change that joins an epoch with a lease of an earlier one.

    What is known of the lost seconds is written with it. The map must stand
    while it does: once the earlier lease is over, others may take its keys.
    """
    is_known = stored.epoch == epoch and (
        key_map.assignments == stored.assignments
    )
    if is_known or not key_map.assignments:
        return Change(needs_map=True)
    return Change(key_map, needs_map=True)


def given_away(
    key_map: KeyMap, own: str, writes: Iterable[SentWrite]
) -> tuple[Assignment, ...]:
    """Return what writes without an answer may have given to others.

    If they were done before the epoch ended, their receivers hold the keys.
    """
    changed = (write.change.key_map for write in writes)
    return tuple(
        piece
        for after in changed
        if after is not None
        for piece in _given(key_map, own, after)
    )


def _given(key_map: KeyMap, own: str, after: KeyMap) -> list[Assignment]:
    owned = key_map.owned_by(own)
    return [
        Assignment(each.keys.overlap(mine.keys), each.owner, each.fence)
        for each in after.assignments
        if each.owner != own
        for mine in owned
        if each.fence > mine.fence and each.keys.overlap(mine.keys)
    ]
