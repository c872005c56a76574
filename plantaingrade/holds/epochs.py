"""The epoch of the store by which a member goes, and what went before. Pure."""

from plantaingrade.clock import Clock
from plantaingrade.holds.const import ESTIMATE_SLACK_S, FIRST_ANSWER_S
from plantaingrade.holds.epoch_start import EpochStart
from plantaingrade.holds.rows import MemberRows
from plantaingrade.keyspace.assign import FENCES_PER_EPOCH
from plantaingrade.store.epochs import StoreEpochs

# Below every epoch of a store.
NO_EPOCH = -1


class MemberEpochs:
    """Tell until when leases of earlier epochs have to be reckoned with."""

    __slots__ = (
        '_base',
        '_clock',
        '_joined',
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
        """Begin in the epoch that stands for a store that tells none."""
        self._store = store
        self._rows = rows
        self._clock = clock
        self._started_at = clock.now()
        self._starts_with_all = starts_with_all
        # The epoch before which nobody held keys, if that is known.
        self._base = NO_EPOCH
        store.listen(self._on_epoch)
        # The epoch in which this run joined; it may have carried its lease on.
        self._joined = 0
        self._longest_lease_s = 0.0
        self.current = 0

    @property
    def is_behind(self) -> bool:
        """Tell whether the store is in a newer epoch."""
        return self.current != self._store.newest

    @property
    def lowest_fence(self) -> int:
        """Return the lowest fence under which this run may grant keys.

        One of an epoch before it joined may have been used by an earlier run.
        """
        return self._joined * FENCES_PER_EPOCH

    @property
    def is_base(self) -> bool:
        """Tell whether nobody held keys before this epoch, for certain."""
        return self.current <= self._base

    def advance(self, lease_s: float) -> None:
        """Go by the newest epoch; leases were up to so long before."""
        self._longest_lease_s = max(self._longest_lease_s, lease_s)
        self.current = self._store.newest
        self._rows.forget()

    def on_joined(self) -> None:
        """Note that this run has joined without an earlier lease."""
        self._joined = self.current

    def are_earlier_leases_over(self) -> bool:
        """Tell whether no lease of an earlier epoch can still run."""
        if not self._store.are_told:
            return True
        start = self._rows.epoch_start
        if start is None:
            return False
        return start.leases_over_s <= self._rows.read_now_s

    def may_join(self, name: str) -> bool:
        """Tell whether a run without a lease may take its keys up.

        What an earlier run of this member gave away in lost seconds is known to
        nobody here, unless that run has joined this epoch.
        """
        return name in self._rows.by_name or self.are_earlier_leases_over()

    def missing_start(self, lease_s: float | None = None) -> EpochStart | None:
        """Return what to write about the start of this epoch, if anything.

        ``lease_s`` is how long leases were, if not as they were here.
        """
        found = self._rows.epoch_start
        is_readable = found is not None and found.is_readable
        if is_readable or not self._store.are_told:
            return None
        version = 0 if found is None else found.version
        if self.is_base:
            return EpochStart(0.0, version)
        rest_s = lease_s or self._longest_lease_s
        ends_s = self._rows.read_now_s + rest_s + ESTIMATE_SLACK_S
        return EpochStart(ends_s, version)

    def _on_epoch(self, epoch: int, before: int | None) -> None:
        """Learn by the first answer whether anybody held keys before it."""
        age_s = self._clock.now() - self._started_at
        is_first_start = self._starts_with_all and age_s < FIRST_ANSWER_S
        if before is None and is_first_start:
            self._base = epoch
