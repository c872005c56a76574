"""Under which fences lives of servers took keys. Pure."""

from collections.abc import Sequence
from dataclasses import dataclass

from plantaingrade.keyspace.entity import KeyRange
from standins.incarnation import Incarnation


@dataclass(slots=True, frozen=True)
class Taken:
    """Keys that a life took under a fence, other than by a renewal."""

    service: str
    instance: str
    born_ms: int
    first: int
    last: int
    fence: int
    taken_at: float

    @property
    def incarnation(self) -> Incarnation:
        """Return the life that took the keys."""
        return Incarnation(self.instance, self.born_ms)

    @property
    def keys(self) -> KeyRange:
        """Return the keys."""
        return KeyRange(self.first, self.last)


def find_stale_acquisitions(taken: Sequence[Taken]) -> list[Taken]:
    """Return what was taken under a fence that is not above all before.

    Fences of the same life may stay as they are; those under which other
    lives had some of the keys must be below.
    """
    last_by_keys: dict[tuple[Incarnation, KeyRange], Taken] = {}
    found = []
    for each in sorted(taken, key=lambda one: one.taken_at):
        if any(_is_not_above(each, before) for before in last_by_keys.values()):
            found.append(each)
        last_by_keys[(each.incarnation, each.keys)] = each
    return found


def _is_not_above(later: Taken, before: Taken) -> bool:
    return (
        later.fence <= before.fence
        and later.incarnation != before.incarnation
        and later.service == before.service
        and bool(later.keys.overlap(before.keys))
    )
