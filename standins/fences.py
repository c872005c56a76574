"""Fences under which server incarnations acquired keys. Pure."""

from collections.abc import Sequence
from dataclasses import dataclass

from plantaingrade.keyspace.entity import KeyRange
from standins.incarnation import Incarnation


@dataclass(slots=True, frozen=True)
class Acquisition:
    """Keys that an incarnation acquired under a fence; no renewal."""

    service: str
    instance: str
    born_ms: int
    first: int
    last: int
    fence: int
    taken_at: float

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that acquired the keys."""
        return Incarnation(self.instance, self.born_ms)

    @property
    def keys(self) -> KeyRange:
        """Return the range of the keys."""
        return KeyRange(self.first, self.last)


def find_stale_acquisitions(
    acquisitions: Sequence[Acquisition],
) -> list[Acquisition]:
    """Return the acquisitions whose fence does not supersede earlier ones.

    An incarnation may acquire keys again under the same fence; fences under
    which other incarnations had any of these keys must be lower.
    """
    latest_by_keys: dict[tuple[Incarnation, KeyRange], Acquisition] = {}
    found = []
    for each in sorted(acquisitions, key=lambda one: one.taken_at):
        if any(
            _has_stale_fence(each, earlier)
            for earlier in latest_by_keys.values()
        ):
            found.append(each)
        latest_by_keys[(each.incarnation, each.keys)] = each
    return found


def _has_stale_fence(later: Acquisition, earlier: Acquisition) -> bool:
    return (
        later.fence <= earlier.fence
        and later.incarnation != earlier.incarnation
        and later.service == earlier.service
        and bool(later.keys.overlap(earlier.keys))
    )
