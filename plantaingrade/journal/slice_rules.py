"""Rules for the rows of slices and hot keys."""

from plantaingrade.journal.checks import APPLIED, STALE, has_ended, is_eligible
from plantaingrade.journal.const import MAX_HOT_KEYS_PER_SERVICE
from plantaingrade.journal.entity import (
    Assigned,
    Change,
    ChangeOutcome,
    HotKeySplit,
    MapState,
    MoveStarted,
    OwnerRequested,
    Rejected,
    RejectReason,
    SliceRow,
    SuccessorNamed,
    SuccessorRequested,
    SuccessorWithdrawn,
    TakenOver,
)
from plantaingrade.journal.keys import (
    hot_slice_id,
    is_hot,
    parent_slice_id,
    range_slice_id,
    slice_index,
)


def split_hot_key(state: MapState, change: HotKeySplit) -> ChangeOutcome:
    """Split a hot key off its slice, with the same owner and successor."""
    service = state.services.get(change.service)
    if service is None:
        return Rejected(RejectReason.UNKNOWN_SERVICE)
    slice_id = hot_slice_id(change.service, change.key)
    if slice_id in state.slices:
        return Rejected(RejectReason.DUPLICATE)
    index = slice_index(change.key, service.slices)
    parent = state.slices[range_slice_id(change.service, index)]
    if parent.owner is None or parent.moving is not None:
        return STALE
    if _count_hot_keys(state, change.service) >= MAX_HOT_KEYS_PER_SERVICE:
        return Rejected(RejectReason.HOT_LIST_FULL)
    state.slices[slice_id] = SliceRow(
        slice_id,
        parent.service,
        parent.owner,
        parent.fence,
        parent.successor,
        parent.successor_fence,
    )
    return APPLIED


def _count_hot_keys(state: MapState, service: str) -> int:
    return sum(
        slice_row.service == service and is_hot(slice_row.slice_id)
        for slice_row in state.slices.values()
    )


def change_slice(state: MapState, change: Change) -> ChangeOutcome:
    """Apply a change to the row of one slice."""
    slice_row = state.slices.get(change.slice_id)
    if slice_row is None:
        return Rejected(RejectReason.UNKNOWN_SLICE)
    match change:
        case Assigned(member=member):
            return _assign(state, slice_row, member)
        case SuccessorNamed(member=member):
            return _name_successor(state, slice_row, member)
        case SuccessorRequested(member=member):
            return _request_successor(state, slice_row, member)
        case OwnerRequested():
            return _request_owner(state, slice_row, change)
        case SuccessorWithdrawn():
            return _withdraw_successor(state, slice_row, change)
        case MoveStarted(command_id=command_id):
            return _start_move(state, slice_row, command_id)
        case TakenOver():
            return _take_over(state, slice_row, change)
    return _merge(state, slice_row)


def _assign(state: MapState, slice_row: SliceRow, member: str) -> ChangeOutcome:
    if slice_row.owner is not None:
        return Rejected(RejectReason.ALREADY_OWNED)
    if not is_eligible(state, member):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    slice_row.owner = member
    slice_row.fence = state.generation
    return APPLIED


def _name_successor(
    state: MapState,
    slice_row: SliceRow,
    member: str,
) -> ChangeOutcome:
    if slice_row.successor is not None or slice_row.owner is None:
        return Rejected(RejectReason.HAS_SUCCESSOR)
    if slice_row.owner == member or not is_eligible(state, member):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    _set_successor(state, slice_row, member)
    return APPLIED


def _set_successor(
    state: MapState, slice_row: SliceRow, member: str | None
) -> None:
    slice_row.successor = member
    slice_row.successor_fence = state.generation if member else 0
    slice_row.next_successor = None


def _request_successor(
    state: MapState,
    slice_row: SliceRow,
    member: str,
) -> ChangeOutcome:
    if slice_row.successor is None or slice_row.next_successor is not None:
        return STALE
    if member in {slice_row.owner, slice_row.successor}:
        return Rejected(RejectReason.NOT_ELIGIBLE)
    if not is_eligible(state, member) or slice_row.moving is not None:
        return Rejected(RejectReason.NOT_ELIGIBLE)
    slice_row.next_successor = member
    return APPLIED


def _request_owner(
    state: MapState,
    slice_row: SliceRow,
    change: OwnerRequested,
) -> ChangeOutcome:
    if slice_row.wanted_owner is not None or slice_row.moving is not None:
        return Rejected(
            RejectReason.CONFLICT, slice_row.wanted_by or slice_row.moving
        )
    if slice_row.owner == change.member or not is_eligible(
        state, change.member
    ):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    slice_row.wanted_owner = change.member
    slice_row.wanted_by = change.command_id
    return APPLIED


def _withdraw_successor(
    state: MapState,
    slice_row: SliceRow,
    change: SuccessorWithdrawn,
) -> ChangeOutcome:
    if slice_row.successor != change.member:
        return Rejected(RejectReason.NOT_SUCCESSOR)
    # A withdrawal written late must not cancel a newer naming, under which the
    # member may have taken the slice over.
    if slice_row.successor_fence != change.fence:
        return STALE
    wanted = slice_row.next_successor
    _set_successor(
        state, slice_row, wanted if is_eligible(state, wanted) else None
    )
    return APPLIED


def _start_move(
    state: MapState,
    slice_row: SliceRow,
    command_id: str,
) -> ChangeOutcome:
    if slice_row.moving is not None:
        return Rejected(RejectReason.CONFLICT, slice_row.moving)
    if slice_row.next_successor is not None:
        return STALE
    if not is_eligible(state, slice_row.successor) or has_ended(
        state, slice_row.owner
    ):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    slice_row.moving = command_id
    return APPLIED


def _take_over(
    state: MapState, slice_row: SliceRow, change: TakenOver
) -> ChangeOutcome:
    if slice_row.successor != change.member:
        return Rejected(RejectReason.NOT_SUCCESSOR)
    if slice_row.successor_fence != change.fence:
        return STALE
    slice_row.owner = change.member
    slice_row.fence = change.fence
    _set_successor(state, slice_row, None)
    slice_row.moving = None
    slice_row.wanted_owner = None
    return APPLIED


def _merge(state: MapState, slice_row: SliceRow) -> ChangeOutcome:
    if not is_hot(slice_row.slice_id):
        return Rejected(RejectReason.UNKNOWN_SLICE)
    parent = state.slices[parent_slice_id(state, slice_row.slice_id)]
    # The fence reserved for the successor must be the newest: a server that
    # checks fences refuses one below that under which the key was served.
    is_mergeable = (
        parent.owner == slice_row.owner
        and parent.successor == slice_row.successor
        and parent.successor_fence > slice_row.fence
    )
    if (
        not is_mergeable
        or parent.moving
        or slice_row.moving
        or slice_row.next_successor
    ):
        return Rejected(RejectReason.NOT_MERGEABLE)
    parent.fence = max(parent.fence, slice_row.fence)
    state.slices.pop(slice_row.slice_id)
    return APPLIED
