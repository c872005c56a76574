"""Apply journal records to the map.

Every process applies the same records in the same order, so every rule here
depends on nothing but the map and the record. A change that no longer fits is
rejected the same way everywhere and has no effect.
"""

from msgspec.structs import replace

from plantaingrade.journal.checks import APPLIED, STALE
from plantaingrade.journal.const import MAX_REMEMBERED_COMMANDS
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
from plantaingrade.journal.slice_rules import carve, change_slice


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
        if isinstance(change, CommandAccepted) and isinstance(
            outcome, Rejected
        ):
            rest = record.changes[len(outcomes) :]
            outcomes.extend(outcome for _ in rest)
            break
    forget_ended(state)
    return outcomes


def apply_change(state: MapState, change: Change) -> ChangeOutcome:
    """Apply one change to the map."""
    match change:
        case MemberJoined(row=row):
            return _announce(state, row)
        case StateSet() | WitnessesReplaced() | Ended():
            return _change_member(state, change)
        case DeclarationApplied():
            return _declare(state, change)
        case CommandAccepted():
            return _command(state, change)
        case HotKeySplit():
            return carve(state, change)
    return change_slice(state, change)


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
    # Two processes may have one server id by a mistyped setting. A listening
    # port belongs to one process at a time, so only a newcomer at the very same
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
            # Testimony counts for its epoch: former witnesses may tell late.
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


def _declare(state: MapState, change: DeclarationApplied) -> ChangeOutcome:
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


def _command(state: MapState, change: CommandAccepted) -> ChangeOutcome:
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


def _conflicting(state: MapState, change: CommandAccepted) -> str | None:
    # The journal orders commands of two operators; one made from an older
    # generation than the last loses.
    for known in reversed(state.commands.values()):
        if known.target == change.target:
            newer = known.generation > change.based_on
            return known.command_id if newer else None
    return None
