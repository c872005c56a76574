"""Which slices this process may act on, ahead of the journal."""

from plantaingrade.journal.entity import MapState, SliceRow
from plantaingrade.journal.keys import is_hot, parent_slice_id


class OwnershipTable:
    """Hold what this process took, released or renounced for itself.

    The journal names one owner and one successor for each slice. Ownership
    passes between these two without the table service: by the owner's
    release, or by proof that its lease is over. Each step is noted here first
    and written to the journal when the platform allows.
    """

    __slots__ = ('_released', '_renounced', '_taken', 'member')

    def __init__(self, member: str) -> None:
        """Start with nothing."""
        self.member = member
        self._taken: dict[str, int] = {}
        self._released: dict[str, int] = {}
        self._renounced: set[tuple[str, int]] = set()

    @property
    def acquired(self) -> dict[str, int]:
        """Return fences of takeovers not in the journal yet, by slice."""
        return dict(self._taken)

    @property
    def released(self) -> dict[str, int]:
        """Return fences given up but not taken over yet, by slice."""
        return dict(self._released)

    def fence(self, state: MapState, part: SliceRow) -> int | None:
        """Return the fence under which this process owns the slice."""
        taken = self._taken.get(part.slice_id)
        if taken is not None:
            return taken
        if part.owner != self.member or self._gave_up(state, part):
            return None
        return part.fence

    def release(self, part: SliceRow) -> None:
        """Give the slice up for good; only its successor may act on it."""
        fence = self._taken.pop(part.slice_id, part.fence)
        self._released[part.slice_id] = fence

    def renounce(self, part: SliceRow) -> bool:
        """Stand back as successor; return False if it is too late."""
        if part.slice_id in self._taken:
            return False
        self._renounced.add((part.slice_id, part.successor_fence))
        return True

    def take(self, part: SliceRow) -> bool:
        """Become the owner as the named successor of an ended ownership."""
        naming = (part.slice_id, part.successor_fence)
        # What was renounced is remembered until the journal shows it: by its
        # old view this process could take the slice over as well.
        if part.successor != self.member or naming in self._renounced:
            return False
        self._taken[part.slice_id] = part.successor_fence
        return True

    def take_released(self, part: SliceRow, owner: str, fence: int) -> bool:
        """Become the owner because the owner itself released the slice."""
        if part.owner != owner or part.fence != fence:
            return False
        return self.take(part)

    def settle(self, state: MapState) -> None:
        """Forget the notes that the journal has caught up with."""
        for slice_id, fence in list(self._taken.items()):
            part = state.slices.get(slice_id)
            if part is None or part.fence >= fence:
                self._taken.pop(slice_id)
        for slice_id, fence in list(self._released.items()):
            part = state.slices.get(slice_id)
            if part is None or part.fence > fence:
                self._released.pop(slice_id)
        self._renounced = {
            (slice_id, fence)
            for slice_id, fence in self._renounced
            if self._still_named(state, slice_id, fence)
        }

    def _still_named(self, state: MapState, slice_id: str, fence: int) -> bool:
        part = state.slices.get(slice_id)
        return part is not None and part.successor_fence == fence

    def _gave_up(self, state: MapState, part: SliceRow) -> bool:
        if self._released.get(part.slice_id) == part.fence:
            return True
        if not is_hot(part.slice_id):
            return False
        # A hot key that the journal carves out meanwhile goes the way of its
        # range as long as the fences are the same.
        parent = parent_slice_id(state, part.slice_id)
        return self._released.get(parent) == part.fence
