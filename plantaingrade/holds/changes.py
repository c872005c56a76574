"""Changes to a service's rows, and their results."""

from collections.abc import Callable
from enum import StrEnum
from types import TracebackType

from msgspec import Struct, field

from plantaingrade.holds.epoch_start import EpochStart
from plantaingrade.holds.lease import MemberRow
from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.store.interface import Committer


class CommitResult(StrEnum):
    """Result of committing a change."""

    DONE = 'done'
    NOT_WANTED = 'not-wanted'
    LOST = 'lease-lost'
    FAILED = 'store-failed'


class Change(Struct, frozen=True):
    """A change committed together with the renewal of the member's own row.

    ``key_map`` replaces the map, if given. ``removed`` holds the rows of
    members whose leases have lapsed; ``absent`` names members that must have no
    row. ``epoch_start`` is written if the epoch has no such row yet. With
    ``needs_map`` the commit requires that the stored map is the one known here,
    even if it is not replaced.
    """

    key_map: KeyMap | None = None
    removed: tuple[MemberRow, ...] = ()
    absent: tuple[str, ...] = ()
    epoch_start: EpochStart | None = None
    needs_map: bool = False


class SentWrite(Struct, frozen=True):
    """A row and a change that were sent in one transaction.

    A barrier is a renewal sent only to make sure that earlier writes can no
    longer be applied. ``base`` is the map from which the change was made.
    """

    row: MemberRow
    change: Change
    is_barrier: bool
    base: KeyMap

    @property
    def final_result(self) -> CommitResult | None:
        """Return the result of the attempt if applying this write ends it."""
        return None if self.is_barrier else CommitResult.DONE


class CommitAttempt(Struct):
    """Time limits of one commit, and its writes that have no answer yet.

    An attempt ends with the epoch of the store in which it began. As long as
    ``has_only_conflicts`` is set, the store has answered each write and only
    changes by others are in the way; then ``contended_until`` is the limit.
    ``committer`` applies the next write; ``has_sent`` is set from the first on.

    As a context manager it calls ``on_open_failure`` if it ends by an exception
    while a write may be applied unseen: keys that it transfers must not be
    granted here any more.
    """

    epoch: int
    until: float
    contended_until: float
    committer: Committer
    on_open_failure: Callable[[], object]
    sent_by_id: dict[str, SentWrite] = field(default_factory=dict)
    has_only_conflicts: bool = True
    has_sent: bool = False

    def __enter__(self) -> 'CommitAttempt':
        """Return the attempt."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Report an exception or a cancellation after a write."""
        if self.has_sent and error is not None:
            self.on_open_failure()

    @property
    def ends(self) -> float:
        """Return the local time until which the change is retried."""
        return self.contended_until if self.has_only_conflicts else self.until

    def give_up_contended(self) -> None:
        """Retry no more because of changes by others."""
        self.contended_until = float('-inf')


RENEWAL = Change()
