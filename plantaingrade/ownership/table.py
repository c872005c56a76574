"""Ownership steps that this process has taken ahead of the journal."""

from plantaingrade.journal.entity import MapState, SliceRow
from plantaingrade.journal.keys import is_hot, parent_slice_id


class OwnershipTable:
    """Record which slices this process acquired, released or renounced.

    The journal names one owner and one successor for each slice. Ownership
    passes between these two without the table service: when the owner releases
    the slice, or when its lease is proven to have ended. Each step is recorded
    here first and written to the journal once the table service is available.
    """

    __slots__ = ('_acquired', '_released', '_renounced', 'member')

    def __init__(self, member: str) -> None:
        """Start with no steps recorded."""
        self.member = member
        self._acquired: dict[str, int] = {}
        self._released: dict[str, int] = {}
        self._renounced: set[tuple[str, int]] = set()

    @property
    def acquired(self) -> dict[str, int]:
        """Return fences of acquired slices not in the journal yet, by slice."""
        return dict(self._acquired)

    @property
    def released(self) -> dict[str, int]:
        """Return fences of released slices not taken over yet, by slice."""
        return dict(self._released)

    def fence(self, state: MapState, part: SliceRow) -> int | None:
        """Return the fence under which this process owns the slice, if any."""
        acquired = self._acquired.get(part.slice_id)
        if acquired is not None:
            return acquired
        if part.owner != self.member or self._has_released(state, part):
            return None
        return part.fence

    def release(self, part: SliceRow) -> None:
        """Give up the slice; from now on only its successor may own it."""
        fence = self._acquired.pop(part.slice_id, part.fence)
        self._released[part.slice_id] = fence

    def renounce(self, part: SliceRow) -> bool:
        """Stop being the successor; return False if already the owner."""
        if part.slice_id in self._acquired:
            return False
        self._renounced.add((part.slice_id, part.successor_fence))
        return True

    def acquire(self, part: SliceRow) -> bool:
        """Become the owner, as successor of an owner whose lease has ended.

        Return False if this member is not the successor or has renounced.
        """
        naming = (part.slice_id, part.successor_fence)
        # A renunciation is kept until the journal shows it: until then this
        # process's copy of the journal still names it as the successor.
        if part.successor != self.member or naming in self._renounced:
            return False
        self._acquired[part.slice_id] = part.successor_fence
        return True

    def acquire_released(self, part: SliceRow, owner: str, fence: int) -> bool:
        """Become the owner of a slice that its owner has released."""
        if part.owner != owner or part.fence != fence:
            return False
        return self.acquire(part)

    def drop_recorded(self, state: MapState) -> None:
        """Drop the steps that the journal shows or has overtaken."""
        for slice_id, fence in list(self._acquired.items()):
            part = state.slices.get(slice_id)
            if part is None or part.fence >= fence:
                self._acquired.pop(slice_id)
        for slice_id, fence in list(self._released.items()):
            part = state.slices.get(slice_id)
            if part is None or part.fence > fence:
                self._released.pop(slice_id)
        self._renounced = {
            (slice_id, fence)
            for slice_id, fence in self._renounced
            if self._is_still_successor(state, slice_id, fence)
        }

    def _is_still_successor(
        self, state: MapState, slice_id: str, fence: int
    ) -> bool:
        part = state.slices.get(slice_id)
        return part is not None and part.successor_fence == fence

    def _has_released(self, state: MapState, part: SliceRow) -> bool:
        if self._released.get(part.slice_id) == part.fence:
            return True
        if not is_hot(part.slice_id):
            return False
        # A hot key that the journal has split off since then is released
        # together with its range, as long as their fences are the same.
        parent = parent_slice_id(state, part.slice_id)
        return self._released.get(parent) == part.fence
