"""Several passages of keys in one change of the map. Pure."""

from collections.abc import Sequence

from msgspec import Struct

from plantaingrade.holds.changes import Change
from plantaingrade.holds.registry import Registry
from plantaingrade.keyspace.assign import reassign
from plantaingrade.keyspace.entity import Assignment, KeyMap


class Passage(Struct, frozen=True):
    """Ranges as they stood when they were released, and who gets them."""

    pieces: tuple[Assignment, ...]
    target: str


def plan_passages(
    registry: Registry, passages: Sequence[Passage]
) -> Change | None:
    """Pass ranges on, if they stand as they did when they were released.

    Others may have changed the map since the release. Passages do not depend on
    each other: one that is no longer possible leaves the others as they are.
    """
    own = registry.member.name
    owner_by_keys = {
        piece.keys: passage.target
        for passage in passages
        if all(_stands(registry.key_map, each, own) for each in passage.pieces)
        for piece in passage.pieces
    }
    if not owner_by_keys:
        return None
    return Change(
        reassign(registry.key_map, owner_by_keys, registry.epochs.current)
    )


def has_passed(key_map: KeyMap, passage: Passage, giver: str) -> bool:
    """Tell from the map after a change whether a passage was part of it.

    Only the giver changes the owner of its keys while it holds a lease. The
    change that was done may be an earlier one than the plan made last, so the
    map is asked and not the plan.
    """
    for piece in passage.pieces:
        present = key_map.find(piece.keys.first)
        if present is None or present.owner == giver:
            return False
    return True


def _stands(key_map: KeyMap, piece: Assignment, giver: str) -> bool:
    """Tell whether a range is the giver's as it was when released."""
    present = key_map.find(piece.keys.first)
    if present is None or present.owner != giver:
        return False
    return present.fence == piece.fence and piece.keys.last <= present.keys.last
