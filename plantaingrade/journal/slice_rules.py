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


def carve(state: MapState, change: HotKeySplit) -> ChangeOutcome:
    """Give a hot key an assignment of its own."""
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
    if _hot_count(state, change.service) >= MAX_HOT_KEYS_PER_SERVICE:
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


def _hot_count(state: MapState, service: str) -> int:
    return sum(
        part.service == service and is_hot(part.slice_id)
        for part in state.slices.values()
    )


def change_slice(state: MapState, change: Change) -> ChangeOutcome:
    """Apply a change to the row of one slice."""
    part = state.slices.get(change.slice_id)
    if part is None:
        return Rejected(RejectReason.UNKNOWN_SLICE)
    match change:
        case Assigned(member=member):
            return _assign(state, part, member)
        case SuccessorNamed(member=member):
            return _name_successor(state, part, member)
        case SuccessorRequested(member=member):
            return _wish_successor(state, part, member)
        case OwnerRequested():
            return _wish_owner(state, part, change)
        case SuccessorWithdrawn():
            return _renounce(state, part, change)
        case MoveStarted(command_id=command_id):
            return _start_move(state, part, command_id)
        case TakenOver():
            return _take(state, part, change)
    return _merge(state, part)


def _assign(state: MapState, part: SliceRow, member: str) -> ChangeOutcome:
    if part.owner is not None:
        return Rejected(RejectReason.ALREADY_OWNED)
    if not is_eligible(state, member):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    part.owner = member
    part.fence = state.generation
    return APPLIED


def _name_successor(
    state: MapState,
    part: SliceRow,
    member: str,
) -> ChangeOutcome:
    if part.successor is not None or part.owner is None:
        return Rejected(RejectReason.HAS_SUCCESSOR)
    if part.owner == member or not is_eligible(state, member):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    _set_successor(state, part, member)
    return APPLIED


def _set_successor(state: MapState, part: SliceRow, member: str | None) -> None:
    part.successor = member
    part.successor_fence = state.generation if member else 0
    part.next_successor = None


def _wish_successor(
    state: MapState,
    part: SliceRow,
    member: str,
) -> ChangeOutcome:
    if part.successor is None or part.next_successor is not None:
        return STALE
    if member in {part.owner, part.successor}:
        return Rejected(RejectReason.NOT_ELIGIBLE)
    if not is_eligible(state, member) or part.moving is not None:
        return Rejected(RejectReason.NOT_ELIGIBLE)
    part.next_successor = member
    return APPLIED


def _wish_owner(
    state: MapState,
    part: SliceRow,
    change: OwnerRequested,
) -> ChangeOutcome:
    if part.wanted_owner is not None or part.moving is not None:
        return Rejected(RejectReason.CONFLICT, part.wanted_by or part.moving)
    if part.owner == change.member or not is_eligible(state, change.member):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    part.wanted_owner = change.member
    part.wanted_by = change.command_id
    return APPLIED


def _renounce(
    state: MapState,
    part: SliceRow,
    change: SuccessorWithdrawn,
) -> ChangeOutcome:
    if part.successor != change.member:
        return Rejected(RejectReason.NOT_SUCCESSOR)
    # A renunciation written late must not cancel a newer naming, under which
    # the member may have taken the slice over.
    if part.successor_fence != change.fence:
        return STALE
    wanted = part.next_successor
    _set_successor(state, part, wanted if is_eligible(state, wanted) else None)
    return APPLIED


def _start_move(
    state: MapState,
    part: SliceRow,
    command_id: str,
) -> ChangeOutcome:
    if part.moving is not None:
        return Rejected(RejectReason.CONFLICT, part.moving)
    if part.next_successor is not None:
        return STALE
    if not is_eligible(state, part.successor) or has_ended(state, part.owner):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    part.moving = command_id
    return APPLIED


def _take(state: MapState, part: SliceRow, change: TakenOver) -> ChangeOutcome:
    if part.successor != change.member:
        return Rejected(RejectReason.NOT_SUCCESSOR)
    if part.successor_fence != change.fence:
        return STALE
    part.owner = change.member
    part.fence = change.fence
    _set_successor(state, part, None)
    part.moving = None
    part.wanted_owner = None
    return APPLIED


def _merge(state: MapState, part: SliceRow) -> ChangeOutcome:
    if not is_hot(part.slice_id):
        return Rejected(RejectReason.UNKNOWN_SLICE)
    parent = state.slices[parent_slice_id(state, part.slice_id)]
    # The fence reserved for the successor must be the newest: a checking server
    # refuses one below what the key was served under.
    fits = (
        parent.owner == part.owner
        and parent.successor == part.successor
        and parent.successor_fence > part.fence
    )
    if not fits or parent.moving or part.moving or part.next_successor:
        return Rejected(RejectReason.NOT_MERGEABLE)
    parent.fence = max(parent.fence, part.fence)
    state.slices.pop(part.slice_id)
    return APPLIED
