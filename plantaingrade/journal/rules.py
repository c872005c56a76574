"""Apply journal records to the map.

Every process applies the same records in the same order, so the rules depend
only on the map and the record. A change that no longer fits the map is rejected
by every process alike and has no effect.
"""

from msgspec.structs import replace

from plantaingrade.journal.checks import APPLIED, STALE
from plantaingrade.journal.const import MAX_STORED_COMMANDS
from plantaingrade.journal.entity import (
    Change,
    ChangeOutcome,
    CommandAccepted,
    CommandRow,
    DeclarationApplied,
    Ended,
    HotKeySplit,
    MapState,
    MemberJoined,
    MemberRow,
    MemberState,
    Proof,
    Record,
    Rejected,
    RejectReason,
    SliceRow,
    StateSet,
    WitnessesReplaced,
)
from plantaingrade.journal.keys import range_slice_id
from plantaingrade.journal.slice_rules import change_slice, split_hot_key


def apply_record(state: MapState, record: Record) -> list[ChangeOutcome]:
    """Apply one record and return an outcome for each of its changes.

    After a rejected command the rest of its record is rejected too, so that a
    command and its effects are applied together or not at all.
    """
    state.generation = record.generation
    outcomes: list[ChangeOutcome] = []
    for change in record.changes:
        outcome = apply_change(state, change)
        outcomes.append(outcome)
        if isinstance(change, CommandAccepted) and isinstance(
            outcome, Rejected
        ):
            remaining = record.changes[len(outcomes) :]
            outcomes.extend(outcome for _ in remaining)
            break
    remove_ended_members(state)
    return outcomes


def apply_change(state: MapState, change: Change) -> ChangeOutcome:
    """Apply one change to the map."""
    match change:
        case MemberJoined(row=row):
            return _add_member(state, row)
        case StateSet() | WitnessesReplaced() | Ended():
            return _change_member(state, change)
        case DeclarationApplied():
            return _apply_declaration(state, change)
        case CommandAccepted():
            return _accept_command(state, change)
        case HotKeySplit():
            return split_hot_key(state, change)
    return change_slice(state, change)


def _add_member(state: MapState, row: MemberRow) -> ChangeOutcome:
    if row.service not in state.services:
        return Rejected(RejectReason.UNKNOWN_SERVICE)
    if row.member in state.members:
        return Rejected(RejectReason.DUPLICATE)
    earlier = [
        other
        for other in state.members.values()
        if other.server == row.server and other.state is not MemberState.OVER
    ]
    # A mistyped setting can give two processes the same server id. Only one
    # process at a time can listen on a port, so only a new member at the same
    # address proves that its predecessor has stopped.
    if any(other.http != row.http for other in earlier):
        return Rejected(RejectReason.SERVER_IN_USE)
    for other in earlier:
        _end_member(state, other, Proof.RESTART)
    joined = replace(row, epoch_at=state.generation)
    state.members[row.member] = joined
    return APPLIED


def _change_member(
    state: MapState,
    change: StateSet | WitnessesReplaced | Ended,
) -> ChangeOutcome:
    row = state.members.get(change.member)
    if row is None or row.state is MemberState.OVER:
        return Rejected(RejectReason.UNKNOWN_MEMBER)
    match change:
        case StateSet():
            return _set_state(row, change)
        case WitnessesReplaced(witnesses=witnesses, epoch=epoch):
            if epoch != row.epoch + 1:
                return STALE
            row.witnesses = witnesses
            row.epoch = epoch
            row.epoch_at = state.generation
        case Ended(proof=proof, epoch=epoch):
            # Testimony is valid for its epoch only: that of former witnesses
            # may arrive late.
            if proof is Proof.TESTIMONY and epoch != row.epoch:
                return STALE
            _end_member(state, row, proof)
    return APPLIED


def _set_state(row: MemberRow, change: StateSet) -> ChangeOutcome:
    if change.expected not in {None, row.state}:
        return STALE
    if row.state is MemberState.RETIRED:
        return Rejected(RejectReason.NOT_ELIGIBLE)
    row.state = change.state
    return APPLIED


def _end_member(state: MapState, row: MemberRow, proof: Proof) -> None:
    row.state = MemberState.OVER
    row.proof = proof
    for slice_row in state.slices.values():
        if slice_row.next_successor == row.member:
            slice_row.next_successor = None
        if slice_row.wanted_owner == row.member:
            slice_row.wanted_owner = None
        if slice_row.successor == row.member:
            slice_row.successor = None
            slice_row.next_successor = None
            slice_row.moving = None


def remove_ended_members(state: MapState) -> None:
    """Remove ended members that no longer own a slice."""
    ended = [
        member
        for member, row in state.members.items()
        if row.state is MemberState.OVER
    ]
    if not ended:
        return
    owners = {slice_row.owner for slice_row in state.slices.values()}
    for member in ended:
        if member not in owners:
            state.members.pop(member)


def _apply_declaration(
    state: MapState, change: DeclarationApplied
) -> ChangeOutcome:
    if change.based_on != state.declaration_generation:
        return STALE
    for service in change.services:
        known = state.services.get(service.name)
        # The number of ranges is fixed once keys have owners: another number
        # would move each key to another slice in one step.
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
            slice_row.slice_id
            for slice_row in state.slices.values()
            if slice_row.service == name
        ]
        for slice_id in gone:
            state.slices.pop(slice_id)


def _accept_command(state: MapState, change: CommandAccepted) -> ChangeOutcome:
    known = state.commands.get(change.command_id)
    if known is not None:
        return Rejected(RejectReason.DUPLICATE, known.command_id)
    winner = _find_conflicting(state, change)
    if winner is not None:
        return Rejected(RejectReason.CONFLICT, winner)
    state.commands[change.command_id] = CommandRow(
        change.command_id,
        change.operator,
        change.text,
        change.target,
        state.generation,
    )
    if len(state.commands) > MAX_STORED_COMMANDS:
        state.commands.pop(next(iter(state.commands)))
    return APPLIED


def _find_conflicting(state: MapState, change: CommandAccepted) -> str | None:
    # The journal orders the commands of two operators. A command that is based
    # on a generation before the last command for its target is rejected.
    for known in reversed(state.commands.values()):
        if known.target == change.target:
            newer = known.generation > change.based_on
            return known.command_id if newer else None
    return None
