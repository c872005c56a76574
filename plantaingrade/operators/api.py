"""Operator API: runs statements of operators at any process."""

import json
from collections.abc import Callable
from typing import Any, Self

from msgspec.structs import asdict

from plantaingrade.backends.report import ServerIncarnation
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.http.messages import Request
from plantaingrade.keyspace.entity import KEY_COUNT, KeyRange
from plantaingrade.operators.const import (
    HEADER_COMMAND_ID,
    HEADER_OPERATOR,
    MAX_COMMAND_BYTES,
)
from plantaingrade.operators.desired_state import DesiredState, TargetState
from plantaingrade.operators.desired_states import DesiredStates
from plantaingrade.operators.entity import (
    Accepted,
    AlreadyDone,
    Command,
    CommandOutcome,
    Drain,
    Lost,
    MoveKey,
    MoveKeys,
    Query,
    Refused,
    Resume,
    Retire,
    StatementError,
    Unsettled,
)
from plantaingrade.operators.queries import LocalState, QueryAnswerer
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.entity import Member
from plantaingrade.requests.entity import Answer
from plantaingrade.schema import SchemaError, parse_object
from plantaingrade.store.interface import Store

# In seconds. Releasing keys waits for running requests, and the change of the
# map waits for the store.
MOVE_TIMEOUT_S = 5.0

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
STATUS_BY_OUTCOME = {
    Accepted: STATUS_OK,
    AlreadyDone: STATUS_OK,
    Lost: STATUS_CONFLICT,
    Refused: STATUS_CONFLICT,
    Unsettled: STATUS_UNAVAILABLE,
}
PATH_MOVE = '/-/move'
TARGET_STATE_BY_COMMAND = {
    Drain: TargetState.DRAIN,
    Resume: TargetState.SERVE,
    Retire: TargetState.RETIRE,
}


class OperatorApi:
    """Answer queries from local state, run commands where they apply.

    Keys are moved by the process that owns them, and a desired state is applied
    by the process beside the server concerned.
    """

    __slots__ = (
        '_calls',
        '_directory',
        '_holds',
        '_maps',
        '_own',
        '_queries',
        'desired_states',
    )

    def __init__(
        self,
        state: LocalState,
        holds: HoldCoordinator,
        calls: PeerCalls,
        queries: QueryAnswerer,
        desired_states: DesiredStates,
    ) -> None:
        """Use the components of one process."""
        self._own = state.own
        self._directory = state.directory
        self._maps = state.maps
        self._holds = holds
        self._calls = calls
        self._queries = queries
        self.desired_states = desired_states

    @classmethod
    def from_state(
        cls,
        state: LocalState,
        holds: HoldCoordinator,
        calls: PeerCalls,
        store: Store,
        get_incarnation: Callable[[], ServerIncarnation],
        on_desired_state: Callable[[DesiredState], None],
    ) -> Self:
        """Return the operator API of one process.

        ``get_incarnation`` returns the own server's incarnation, and
        ``on_desired_state`` receives its desired state.
        """
        queries = QueryAnswerer(state, get_incarnation)
        desired_states = DesiredStates(
            state.own, state.directory, calls, store, on_desired_state
        )
        return cls(state, holds, calls, queries, desired_states)

    async def async_statement(self, raw: Request, body: bytes) -> Answer:
        """Run one statement and return its answer."""
        # The parser is loaded only where an operator uses it.
        from plantaingrade.operators import grammar  # noqa: WPS433

        if len(body) > MAX_COMMAND_BYTES:
            return _error_answer(STATUS_TOO_LARGE, 'statement too long')
        try:
            statement = grammar.parse_statement(body.decode(errors='replace'))
        except StatementError as error:
            return _error_answer(STATUS_BAD_REQUEST, str(error))
        if isinstance(statement, Query):
            return _json_answer(STATUS_OK, self._queries.answer(statement))
        headers = dict(raw.headers)
        command_id = headers.get(HEADER_COMMAND_ID, b'').decode()
        if not command_id:
            return _error_answer(STATUS_BAD_REQUEST, 'x-command-id is missing')
        operator = headers.get(HEADER_OPERATOR, b'unnamed').decode()
        outcome = await self._async_command(statement, command_id, operator)
        fields = {'outcome': type(outcome).__name__.lower(), **asdict(outcome)}
        return _json_answer(STATUS_BY_OUTCOME[type(outcome)], fields)

    async def async_move(self, body: bytes) -> Answer:
        """Transfer keys of the own server at the request of another process.

        The request comes to an address, which may have been reassigned to an
        instance of another service. The target member must therefore belong to
        the own service.
        """
        try:
            keys, target = _read_move(body)
        except SchemaError as error:
            return _error_answer(STATUS_BAD_REQUEST, str(error))
        member = self._directory.find(target)
        if member is None or member.service != self._own.service:
            return _error_answer(
                STATUS_BAD_REQUEST, 'no member of this service'
            )
        given = await self._holds.async_transfer([keys], target)
        return _json_answer(STATUS_OK, {'given': given})

    async def async_read_desired_state(self) -> Answer:
        """Read the desired state of the own server and apply it."""
        is_read = await self.desired_states.async_read_own()
        return _json_answer(STATUS_OK, {'read': is_read})

    async def _async_command(
        self, command: Command, command_id: str, operator: str
    ) -> CommandOutcome:
        match command:
            case MoveKey(service=service, key=key, server=server):
                if not key.isdigit():
                    return Refused(command_id, f'{key!r} is not a key')
                keys = KeyRange(int(key), int(key))
                return await self._async_move(command_id, service, keys, server)
            case MoveKeys(service=service, server=server):
                keys = KeyRange(command.first, command.last)
                return await self._async_move(command_id, service, keys, server)
            case Drain() | Resume() | Retire():
                return await self._async_set_desired_state(
                    command, command_id, operator
                )
        return Refused(command_id, 'not supported on this platform')

    async def _async_set_desired_state(
        self, command: Drain | Resume | Retire, command_id: str, operator: str
    ) -> CommandOutcome:
        member = self._find_member(command.server)
        if member is None:
            return Refused(command_id, f'no server {command.server!r}')
        desired = DesiredState(
            TARGET_STATE_BY_COMMAND[type(command)],
            command_id,
            operator,
            epoch=self.desired_states.epoch,
        )
        return await self.desired_states.async_set(member, desired)

    async def _async_move(
        self, command_id: str, service: str, keys: KeyRange, server: str
    ) -> CommandOutcome:
        """Let each owner of the keys transfer them to one server."""
        target = self._find_member(server)
        key_map = self._maps.find(service)
        if target is None or target.service != service:
            return Refused(command_id, f'no server {server!r} of {service!r}')
        is_valid = keys.first <= keys.last < KEY_COUNT
        if not is_valid or not key_map.version:
            return Refused(command_id, 'no such keys')
        for assignment in key_map.assignments:
            part = assignment.keys.overlap(keys)
            if part is None or assignment.owner == target.name:
                continue
            if not await self._async_transfer(assignment.owner, part, target):
                return Unsettled(command_id)
        return Accepted(command_id, self._maps.find(service).version)

    async def _async_transfer(
        self, owner: str, keys: KeyRange, target: Member
    ) -> bool:
        if owner == self._own.name:
            return await self._holds.async_transfer([keys], target.name)
        member = self._directory.find(owner)
        if member is None:
            return False
        fields = {**asdict(keys), 'to': target.name}
        body = json.dumps(fields).encode()
        reply = await self._calls.async_post(
            member, PATH_MOVE, body, MOVE_TIMEOUT_S
        )
        return reply is not None and _read_transfer_result(reply)

    def _find_member(self, server: str) -> Member | None:
        """Find a member by its name or its IP address."""
        for member in self._directory.members():
            host = member.address.rpartition(':')[0]
            if server in {member.name, host}:
                return member
        return None


def _read_move(body: bytes) -> tuple[KeyRange, str]:
    """Return the keys of a move and the member that is to receive them.

    Raises:
        SchemaError: the body is not a valid move.
    """
    fields = parse_object(body)
    first = fields.integer('first', 0, KEY_COUNT - 1)
    last = fields.integer('last', first, KEY_COUNT - 1)
    return KeyRange(first, last), fields.text('to')


def _read_transfer_result(reply: bytes) -> bool:
    """Return whether a process reports that it transferred the keys."""
    try:
        return parse_object(reply).boolean('given')
    except SchemaError:
        return False


def _json_answer(status: int, fields: Any) -> Answer:
    kind = ((b'content-type', b'application/json'),)
    return Answer(status, kind, json.dumps(fields).encode())


def _error_answer(status: int, text: str) -> Answer:
    return _json_answer(status, {'error': text})
