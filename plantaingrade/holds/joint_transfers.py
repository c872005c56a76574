"""Combine several transfers of keys into one change of the map. Pure.

Load: a busy range leaves its server in several transfers at once, and each
separate change of the map would wait for the others.
"""

from collections.abc import Sequence

from msgspec import Struct

from plantaingrade.holds.changes import Change
from plantaingrade.holds.registry import Registry
from plantaingrade.keyspace.assign import reassign
from plantaingrade.keyspace.entity import Assignment, KeyMap


class RangeTransfer(Struct, frozen=True):
    """Ranges as assigned when they were released, and their next owner."""

    pieces: tuple[Assignment, ...]
    target: str


def plan_transfers(
    registry: Registry, transfers: Sequence[RangeTransfer]
) -> Change | None:
    """Reassign ranges that are unchanged since they were released.

    Other members may have changed the map since the release. Transfers don't
    depend on each other: one that is no longer possible doesn't affect the
    others.
    """
    own = registry.member.name
    owner_by_keys = {
        piece.keys: transfer.target
        for transfer in transfers
        if all(
            _is_unchanged(registry.key_map, each, own)
            for each in transfer.pieces
        )
        for piece in transfer.pieces
    }
    if not owner_by_keys:
        return None
    return Change(
        reassign(registry.key_map, owner_by_keys, registry.epochs.current)
    )


def is_transferred(
    key_map: KeyMap, transfer: RangeTransfer, source: str
) -> bool:
    """Return whether the map after a change includes a transfer.

    Only the source changes the owner of its keys while it holds a lease. The
    change that was applied may be an earlier one than the one planned last, so
    the map is checked and not the plan.
    """
    for piece in transfer.pieces:
        current = key_map.find(piece.keys.first)
        if current is None or current.owner == source:
            return False
    return True


def _is_unchanged(key_map: KeyMap, piece: Assignment, source: str) -> bool:
    """Return whether a range is still the source's, under the same fence."""
    current = key_map.find(piece.keys.first)
    if current is None or current.owner != source:
        return False
    return current.fence == piece.fence and piece.keys.last <= current.keys.last
