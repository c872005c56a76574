"""Track the store's epoch and possible leases of earlier epochs. Pure.

Failure: the store is restored from a snapshot that lacks the latest writes, and
starts a new epoch.
"""

from plantaingrade.clock import Clock
from plantaingrade.holds.const import ESTIMATE_SLACK_S, FIRST_RESPONSE_S
from plantaingrade.holds.epoch_start import EpochStart
from plantaingrade.holds.rows import MemberRows
from plantaingrade.keyspace.assign import FENCES_PER_EPOCH
from plantaingrade.store.epochs import StoreEpochs

# Below every epoch of a store.
NO_EPOCH = -1


class MemberEpochs:
    """Decide until when leases of earlier epochs may still run."""

    __slots__ = (
        '_base_epoch',
        '_clock',
        '_joined_epoch',
        '_longest_lease_s',
        '_rows',
        '_started_at',
        '_starts_with_all',
        '_store',
        'current',
    )

    def __init__(
        self,
        store: StoreEpochs,
        rows: MemberRows,
        clock: Clock,
        *,
        starts_with_all: bool,
    ) -> None:
        """Begin in epoch 0, which also stands for a store without epochs."""
        self._store = store
        self._rows = rows
        self._clock = clock
        self._started_at = clock.now()
        self._starts_with_all = starts_with_all
        # The first epoch in which anybody can have held keys, if known.
        self._base_epoch = NO_EPOCH
        store.listen(self._on_epoch)
        # The epoch in which this run joined; it may have migrated its lease
        # since.
        self._joined_epoch = 0
        self._longest_lease_s = 0.0
        self.current = 0

    @property
    def is_behind(self) -> bool:
        """Return whether the store has started a newer epoch."""
        return self.current != self._store.newest

    @property
    def lowest_fence(self) -> int:
        """Return the lowest fence under which this run may grant keys.

        A fence of an epoch before it joined may have been used by an earlier
        run.
        """
        return self._joined_epoch * FENCES_PER_EPOCH

    @property
    def is_base(self) -> bool:
        """Return whether nobody can have held keys before this epoch."""
        return self.current <= self._base_epoch

    def advance(self, lease_s: float) -> None:
        """Switch to the newest epoch; earlier leases last up to ``lease_s``."""
        self._longest_lease_s = max(self._longest_lease_s, lease_s)
        self.current = self._store.newest
        self._rows.clear()

    def on_joined(self) -> None:
        """Record that this run joined without a lease of an earlier epoch."""
        self._joined_epoch = self.current

    def are_earlier_leases_over(self) -> bool:
        """Return whether no lease of an earlier epoch can still run."""
        if not self._store.are_reported:
            return True
        start = self._rows.epoch_start
        if start is None:
            return False
        return start.leases_over_s <= self._rows.read_at_s

    def may_join(self, name: str) -> bool:
        """Return whether a run without a lease may grant its member's keys.

        What an earlier run of this member transferred in the lost seconds is
        unknown here, unless that run has joined this epoch.
        """
        return name in self._rows.by_name or self.are_earlier_leases_over()

    def missing_start(self, lease_s: float | None = None) -> EpochStart | None:
        """Return the start row to write for this epoch, if one is missing.

        ``lease_s`` is the longest lease of the earlier epoch, if it differs
        from the longest one known here.
        """
        found = self._rows.epoch_start
        is_readable = found is not None and found.is_readable
        if is_readable or not self._store.are_reported:
            return None
        version = 0 if found is None else found.version
        if self.is_base:
            return EpochStart(0.0, version)
        remaining_s = lease_s or self._longest_lease_s
        ends_s = self._rows.read_at_s + remaining_s + ESTIMATE_SLACK_S
        return EpochStart(ends_s, version)

    def _on_epoch(self, epoch: int, before: int | None) -> None:
        """Find out by the first response whether anybody held keys before."""
        age_s = self._clock.now() - self._started_at
        is_first_start = self._starts_with_all and age_s < FIRST_RESPONSE_S
        if before is None and is_first_start:
            self._base_epoch = epoch
