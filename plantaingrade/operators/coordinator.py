"""Answer queries from the map and append commands to the journal."""

from typing import Any

from msgspec.structs import asdict

from plantaingrade.journal.coordinator import (
    JournalCoordinator,
    JournalUnavailableError,
)
from plantaingrade.journal.entity import (
    Applied,
    Change,
    ChangeOutcome,
    CommandAccepted,
    DeclarationApplied,
    HotKeySplit,
    MapState,
    MemberRow,
    MemberState,
    OwnerRequested,
    Rejected,
    RejectReason,
    StateSet,
)
from plantaingrade.journal.keys import (
    find_slice,
    hash_key,
    hot_slice_id,
    range_slice_id,
)
from plantaingrade.operators.declarations import read_declaration
from plantaingrade.operators.entity import (
    Accepted,
    AlreadyDone,
    Command,
    CommandOutcome,
    Drain,
    Lost,
    MoveKey,
    MoveKeys,
    MoveSlice,
    OwnerOf,
    Query,
    Refused,
    Resume,
    Retire,
    ShowCommands,
    ShowConfig,
    ShowDecider,
    ShowServers,
    ShowSlices,
    Unsettled,
)

STATE_BY_COMMAND = {
    Drain: MemberState.DRAINING,
    Resume: MemberState.READY,
    Retire: MemberState.RETIRED,
}


class OperatorCoordinator:
    """Run statements and declarations of operators at any process."""

    __slots__ = ('_decider', '_journal')

    def __init__(self, journal: JournalCoordinator, decider: Any) -> None:
        """Use one journal; ``decider`` is shown to operators."""
        self._journal = journal
        self._decider = decider

    def answer(self, query: Query) -> Any:
        """Return the answer to a query as plain JSON types."""
        state = self._journal.state
        match query:
            case OwnerOf(service=service, key=key):
                return explain_owner(state, service, key)
            case ShowServers(service=service):
                return [
                    _describe_member(state, row)
                    for row in state.members.values()
                    if service in {'', row.service}
                ]
            case ShowSlices(service=service):
                return [
                    asdict(slice_row)
                    for slice_row in state.slices.values()
                    if slice_row.service == service
                ]
            case ShowConfig():
                return {
                    'generation': state.declaration_generation,
                    'applied': state.generation,
                    'text': state.declaration,
                }
            case ShowDecider():
                return {'decider': self._decider.holder}
            case ShowCommands():
                return [asdict(row) for row in state.commands.values()]

    async def async_command(
        self,
        command: Command,
        command_id: str,
        operator: str,
        text: str,
    ) -> CommandOutcome:
        """Run a command at most once for each command id."""
        if isinstance(command, MoveKeys):
            return Refused(command_id, 'keys of this platform are not numeric')
        state = self._journal.state
        target, effects = plan_command(state, command, command_id)
        commanded = CommandAccepted(
            command_id,
            operator,
            text,
            target,
            state.generation,
        )
        try:
            outcomes = await self._journal.async_append(commanded, *effects)
        except JournalUnavailableError:
            return Unsettled(command_id)
        return self._to_command_outcome(command_id, outcomes)

    async def async_declare(self, text: str, based_on: int) -> CommandOutcome:
        """Replace the declarations by a new document.

        Raises:
            DeclarationError: the document has mistakes.
        """
        services = read_declaration(text)
        declared = DeclarationApplied(text, based_on, services)
        try:
            outcomes = await self._journal.async_append(declared)
        except JournalUnavailableError:
            return Unsettled('declaration')
        state = self._journal.state
        match outcomes[0]:
            case Applied():
                return Accepted('declaration', state.declaration_generation)
            case Rejected():
                winner = f'generation {state.declaration_generation}'
                return Lost('declaration', winner)

    def _to_command_outcome(
        self,
        command_id: str,
        outcomes: list[ChangeOutcome],
    ) -> CommandOutcome:
        generation = self._journal.state.generation
        for outcome in outcomes:
            match outcome:
                case Rejected(RejectReason.DUPLICATE, winner) if (
                    winner == command_id
                ):
                    return AlreadyDone(command_id, generation)
                case Rejected(reason=RejectReason.DUPLICATE):
                    continue
                case Rejected(reason=RejectReason.CONFLICT, winner=winner):
                    return Lost(command_id, winner)
                case Rejected(reason=reason):
                    return Refused(command_id, reason.value)
        return Accepted(command_id, generation)


def plan_command(
    state: MapState,
    command: Command,
    command_id: str,
) -> tuple[str, list[Change]]:
    """Return the target of a command and the changes that carry it out."""
    match command:
        case MoveKey(service=service, key=key, server=server):
            slice_id = hot_slice_id(service, key)
            change = OwnerRequested(
                slice_id, find_member(state, server), command_id
            )
            known = slice_id in state.slices
            return slice_id, [change] if known else [
                HotKeySplit(service, key),
                change,
            ]
        case MoveSlice(service=service, index=index, server=server):
            slice_id = range_slice_id(service, index)
            member = find_member(state, server)
            return slice_id, [OwnerRequested(slice_id, member, command_id)]
        case (
            Drain(server=server) | Resume(server=server) | Retire(server=server)
        ):
            member = find_member(state, server)
            return server, [StateSet(member, STATE_BY_COMMAND[type(command)])]


def find_member(state: MapState, server: str) -> str:
    """Return the current incarnation of a server, or its name without one."""
    for row in state.members.values():
        if row.server == server and row.state is not MemberState.OVER:
            return row.member
    return server


def explain_owner(state: MapState, service: str, key: str) -> Any:
    """Return the owner of a key and the rows of the map that assign it."""
    slice_row = find_slice(state, service, key)
    if slice_row is None:
        return {'error': 'unknown service'}
    owner = state.members.get(slice_row.owner or '')
    return {
        'key': key,
        'hash': f'{hash_key(key):016x}',
        'slice': asdict(slice_row),
        'owner': None if owner is None else _describe_member(state, owner),
        'generation': state.generation,
    }


def _describe_member(state: MapState, row: MemberRow) -> dict[str, Any]:
    owned = sum(
        slice_row.owner == row.member for slice_row in state.slices.values()
    )
    successor_of = sum(
        slice_row.successor == row.member for slice_row in state.slices.values()
    )
    return {**asdict(row), 'owned': owned, 'successor_of': successor_of}
