"""Apply journal records to the map.

Every process applies the same records in the same order, so every rule here
depends on nothing but the map and the record. A change that no longer fits is
rejected the same way everywhere and has no effect.
"""

from dataclasses import replace

from plantaingrade.journal.const import (
    MAX_HOT_KEYS_PER_SERVICE,
    MAX_REMEMBERED_COMMANDS,
)
from plantaingrade.journal.entity import (
    Announced,
    Applied,
    Assigned,
    Carved,
    Change,
    ChangeOutcome,
    Commanded,
    CommandRow,
    Declared,
    Ended,
    MapState,
    MemberRow,
    MemberState,
    Moving,
    OwnerWished,
    Proof,
    Record,
    Rejected,
    RejectReason,
    Renounced,
    SliceRow,
    StateSet,
    SuccessorNamed,
    SuccessorWished,
    Took,
    Witnessed,
)
from plantaingrade.journal.keys import (
    hot_slice_id,
    is_hot,
    parent_slice_id,
    range_slice_id,
    slice_index,
)

APPLIED = Applied()
STALE = Rejected(RejectReason.STALE)


def apply_record(state: MapState, record: Record) -> list[ChangeOutcome]:
    """Apply one record and return an outcome for each of its changes.

    A rejected command takes the rest of its record with it, so that a command
    and its effects happen together or not at all.
    """
    state.generation = record.generation
    outcomes: list[ChangeOutcome] = []
    for change in record.changes:
        outcome = apply_change(state, change)
        outcomes.append(outcome)
        if isinstance(change, Commanded) and isinstance(outcome, Rejected):
            rest = record.changes[len(outcomes) :]
            outcomes.extend(outcome for _ in rest)
            break
    forget_ended(state)
    return outcomes


def apply_change(state: MapState, change: Change) -> ChangeOutcome:
    """Apply one change to the map."""
    match change:
        case Announced(row=row):
            return _announce(state, row)
        case StateSet() | Witnessed() | Ended():
            return _change_member(state, change)
        case Declared():
            return _declare(state, change)
        case Commanded():
            return _command(state, change)
        case Carved():
            return _carve(state, change)
    return _change_slice(state, change)


def is_eligible(state: MapState, member: str | None) -> bool:
    """Tell whether a member may be given ownership."""
    row = state.members.get(member or '')
    return row is not None and row.state is MemberState.READY


def is_over(state: MapState, member: str | None) -> bool:
    """Tell whether the journal proves that a member's lease has ended."""
    row = state.members.get(member or '')
    return row is None or row.state is MemberState.OVER


def _announce(state: MapState, row: MemberRow) -> ChangeOutcome:
    if row.service not in state.services:
        return Rejected(RejectReason.UNKNOWN_SERVICE)
    if row.member in state.members:
        return Rejected(RejectReason.DUPLICATE)
    earlier = [
        other
        for other in state.members.values()
        if other.server == row.server and other.state is not MemberState.OVER
    ]
    # Failure: two processes with one server id, as after a mistyped setting.
    # It shows as one member displacing the other in turn. A listening port
    # belongs to one process at a time, so only a newcomer at the very same
    # address proves that its predecessor is gone.
    if any(other.http != row.http for other in earlier):
        return Rejected(RejectReason.SERVER_IN_USE)
    for other in earlier:
        _end(state, other, Proof.RESTART)
    joined = replace(row, epoch_at=state.generation)
    state.members[row.member] = joined
    return APPLIED


def _change_member(
    state: MapState,
    change: StateSet | Witnessed | Ended,
) -> ChangeOutcome:
    row = state.members.get(change.member)
    if row is None or row.state is MemberState.OVER:
        return Rejected(RejectReason.UNKNOWN_MEMBER)
    match change:
        case StateSet():
            return _set_state(row, change)
        case Witnessed(witnesses=witnesses, epoch=epoch):
            if epoch != row.epoch + 1:
                return STALE
            row.witnesses = witnesses
            row.epoch = epoch
            row.epoch_at = state.generation
        case Ended(proof=proof, epoch=epoch):
            # Failure: testimony of former witnesses arrives late and ends a
            # member that renews at others by now. It counts for its epoch.
            if proof is Proof.TESTIMONY and epoch != row.epoch:
                return STALE
            _end(state, row, proof)
    return APPLIED


def _set_state(row: MemberRow, change: StateSet) -> ChangeOutcome:
    if change.expected not in {None, row.state}:
        return STALE
    if row.state is MemberState.RETIRED:
        return Rejected(RejectReason.NOT_ELIGIBLE)
    row.state = change.state
    return APPLIED


def _end(state: MapState, row: MemberRow, proof: Proof) -> None:
    row.state = MemberState.OVER
    row.proof = proof
    for part in state.slices.values():
        if part.next_successor == row.member:
            part.next_successor = None
        if part.wanted_owner == row.member:
            part.wanted_owner = None
        if part.successor == row.member:
            part.successor = None
            part.next_successor = None
            part.moving = None


def forget_ended(state: MapState) -> None:
    """Drop ended members that no slice names as owner any more."""
    ended = [
        member
        for member, row in state.members.items()
        if row.state is MemberState.OVER
    ]
    if not ended:
        return
    owners = {part.owner for part in state.slices.values()}
    for member in ended:
        if member not in owners:
            state.members.pop(member)


def _declare(state: MapState, change: Declared) -> ChangeOutcome:
    if change.based_on != state.declaration_generation:
        return STALE
    for service in change.services:
        known = state.services.get(service.name)
        # The number of ranges is fixed once keys have owners: another number
        # would hand each key to another slice in one step.
        slices = service.slices if known is None else known.slices
        state.services[service.name] = replace(service, slices=slices)
        _create_slices(state, service.name, slices)
    _drop_services(state, {service.name for service in change.services})
    state.declaration = change.text
    state.declaration_generation = state.generation
    return APPLIED


def _create_slices(state: MapState, service: str, count: int) -> None:
    for index in range(count):
        slice_id = range_slice_id(service, index)
        state.slices.setdefault(slice_id, SliceRow(slice_id, service))


def _drop_services(state: MapState, kept: set[str]) -> None:
    used = {row.service for row in state.members.values()}
    for name in set(state.services) - kept - used:
        state.services.pop(name)
        gone = [
            part.slice_id
            for part in state.slices.values()
            if part.service == name
        ]
        for slice_id in gone:
            state.slices.pop(slice_id)


def _command(state: MapState, change: Commanded) -> ChangeOutcome:
    known = state.commands.get(change.command_id)
    if known is not None:
        return Rejected(RejectReason.DUPLICATE, known.command_id)
    winner = _conflicting(state, change)
    if winner is not None:
        return Rejected(RejectReason.CONFLICT, winner)
    state.commands[change.command_id] = CommandRow(
        change.command_id,
        change.operator,
        change.text,
        change.target,
        state.generation,
    )
    if len(state.commands) > MAX_REMEMBERED_COMMANDS:
        state.commands.pop(next(iter(state.commands)))
    return APPLIED


def _conflicting(state: MapState, change: Commanded) -> str | None:
    # Failure: two operators command one target at the same moment, each
    # from a view without the other. The journal orders them; the second one
    # was made from a generation older than the first, and loses.
    for known in reversed(state.commands.values()):
        if known.target == change.target:
            newer = known.generation > change.based_on
            return known.command_id if newer else None
    return None


def _carve(state: MapState, change: Carved) -> ChangeOutcome:
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


def _change_slice(state: MapState, change: Change) -> ChangeOutcome:
    part = state.slices.get(change.slice_id)
    if part is None:
        return Rejected(RejectReason.UNKNOWN_SLICE)
    match change:
        case Assigned(member=member):
            return _assign(state, part, member)
        case SuccessorNamed(member=member):
            return _name_successor(state, part, member)
        case SuccessorWished(member=member):
            return _wish_successor(state, part, member)
        case OwnerWished():
            return _wish_owner(state, part, change)
        case Renounced():
            return _renounce(state, part, change)
        case Moving(command_id=command_id):
            return _start_move(state, part, command_id)
        case Took():
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
    change: OwnerWished,
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
    change: Renounced,
) -> ChangeOutcome:
    if part.successor != change.member:
        return Rejected(RejectReason.NOT_SUCCESSOR)
    # Failure: a renunciation written late cancels a newer naming, under which
    # the member has taken the slice over by now. It shows as two owners.
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
    if not is_eligible(state, part.successor) or is_over(state, part.owner):
        return Rejected(RejectReason.NOT_ELIGIBLE)
    part.moving = command_id
    return APPLIED


def _take(state: MapState, part: SliceRow, change: Took) -> ChangeOutcome:
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
    # Failure: after the merge, the successor of the slice takes over with a
    # fence below one the key has been served under, and a checking server
    # refuses it. The fence reserved for the successor must be the newest.
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
