"""Changes of a service's rows, and what came of them."""

from enum import StrEnum

from msgspec import Struct, field

from plantaingrade.holds.epoch_start import EpochStart
from plantaingrade.holds.lease import MemberRow
from plantaingrade.keyspace.entity import KeyMap


class CommitResult(StrEnum):
    """What came of a change."""

    DONE = 'done'
    NOT_WANTED = 'not-wanted'
    LOST = 'lease-lost'
    FAILED = 'store-failed'


class Change(Struct, frozen=True):
    """A change beside the renewal of the own row.

    ``key_map`` replaces the map, if given; ``removed`` are rows of members
    whose leases have lapsed; ``absent`` names members that must have no row.
    ``epoch_start`` is written where an epoch has none; with ``needs_map`` the
    map must still be the one known, also if it stays.
    """

    key_map: KeyMap | None = None
    removed: tuple[MemberRow, ...] = ()
    absent: tuple[str, ...] = ()
    epoch_start: EpochStart | None = None
    needs_map: bool = False


class SentWrite(Struct, frozen=True):
    """A row and a change that were sent together.

    A barrier is a renewal that only makes sure that earlier writes can no
    longer be applied. ``base`` is the map that the change was made from.
    """

    row: MemberRow
    change: Change
    is_barrier: bool
    base: KeyMap

    @property
    def ending(self) -> CommitResult | None:
        """Return what it means for the attempt that this was applied."""
        return None if self.is_barrier else CommitResult.DONE


class Attempt(Struct):
    """How long a change is tried, and what of it is open.

    It ends with the epoch of the store in which it began. It is undisturbed as
    long as the store has answered each write.
    """

    epoch: int
    until: float
    crowded_until: float
    sent_by_id: dict[str, SentWrite] = field(default_factory=dict)
    is_undisturbed: bool = True

    @property
    def ends(self) -> float:
        """Return until when a change is tried."""
        return self.crowded_until if self.is_undisturbed else self.until


RENEWAL = Change()
