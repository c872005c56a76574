"""Operator API: answers queries and runs commands at any process."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from msgspec.structs import asdict, replace

from plantaingrade.backends.report import ServerIncarnation
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.clock import Clock
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.holds.rows import TABLE
from plantaingrade.http.messages import Request
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KEY_COUNT, KeyRange
from plantaingrade.operators.const import (
    HEADER_COMMAND_ID,
    HEADER_OPERATOR,
    MAX_COMMAND_BYTES,
)
from plantaingrade.operators.desired_state import (
    DEFAULT_DESIRED_STATE,
    DesiredState,
    TargetState,
    UnreadableDesiredStateError,
    decode_desired_state,
    desired_state_row,
    encode_desired_state,
)
from plantaingrade.operators.entity import (
    Accepted,
    AlreadyDone,
    Command,
    CommandOutcome,
    Drain,
    Lost,
    MoveKey,
    MoveKeys,
    OwnerOf,
    Query,
    Refused,
    Resume,
    Retire,
    ShowConfig,
    ShowServers,
    ShowSlices,
    StatementError,
    Unsettled,
)
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.entity import Answer
from plantaingrade.schema import SchemaError, parse_object
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    Expected,
    Put,
    RangeRead,
    Row,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.interface import Store

# In seconds. Releasing keys waits for running requests, and the change of the
# map waits for the store.
MOVE_TIMEOUT_S = 5.0
# Pause in seconds before the next attempt to restore a desired state, if the
# store did not answer.
RESTORE_RETRY_S = 1.0

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
PATH_DESIRED_STATE = '/-/wish'
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
        '_on_desired_state',
        '_calls',
        '_clock',
        '_config',
        '_directory',
        '_applied',
        '_written_by_member',
        '_holds',
        '_get_incarnation',
        '_loads',
        '_maps',
        '_own',
        '_store',
    )

    def __init__(
        self,
        own: Member,
        directory: Directory,
        maps: KeyMaps,
        loads: PeerLoads,
        config: ConfigFollower,
        holds: HoldCoordinator,
        calls: PeerCalls,
        store: Store,
        clock: Clock,
    ) -> None:
        """Use the components of one process."""
        self._own = own
        self._directory = directory
        self._maps = maps
        self._loads = loads
        self._config = config
        self._holds = holds
        self._calls = calls
        self._store = store
        self._clock = clock
        self._on_desired_state: Callable[[DesiredState], None] | None = None
        self._applied = DEFAULT_DESIRED_STATE
        # Desired states written by this process, by the member concerned.
        self._written_by_member: dict[str, tuple[Member, DesiredState]] = {}
        self._get_incarnation: Callable[[], ServerIncarnation] | None = None

    def set_desired_state_callback(
        self, callback: Callable[[DesiredState], None]
    ) -> None:
        """Set the callback that receives the own server's desired state."""
        self._on_desired_state = callback

    def set_incarnation_source(
        self, source: Callable[[], ServerIncarnation]
    ) -> None:
        """Set the function that returns the own server's incarnation."""
        self._get_incarnation = source

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
            return _json_answer(STATUS_OK, self._answer_query(statement))
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
        desired = await self._async_find_desired_state(self._own)
        if desired is not None:
            self.apply_desired_state(desired)
        return _json_answer(STATUS_OK, {'read': desired is not None})

    def apply_desired_state(self, desired: DesiredState) -> None:
        """Apply a desired state, unless a later one is already applied."""
        if desired.is_older_than(self._applied):
            return
        self._applied = desired
        if self._on_desired_state is not None:
            self._on_desired_state(desired)

    async def async_restore_desired_states(self) -> None:
        """Rewrite desired states that a restored store no longer contains.

        A store restored from a backup lacks its last seconds of writes, but
        the operators were told that their commands were accepted.
        """
        written = dict(self._written_by_member)
        if self._applied.command_id:
            written[self._own.name] = (self._own, self._applied)
        for member, desired in written.values():
            if self._directory.find(member.name) is None:
                continue
            while not await self._async_restore(member, desired):
                await asyncio.sleep(RESTORE_RETRY_S)

    async def _async_restore(
        self, member: Member, desired: DesiredState
    ) -> bool:
        """Rewrite a lost desired state; return False if a retry is needed."""
        found = await self._async_find_desired_state(member)
        if found is None:
            return False
        if not found.is_older_than(desired):
            return True
        outcome = await self._async_put(member, found, desired)
        return isinstance(outcome, Committed)

    async def _async_put(
        self, member: Member, found: DesiredState, desired: DesiredState
    ) -> TransactionOutcome:
        """Replace the stored desired state by another."""
        name = desired_state_row(member.service, member.name)
        # A missing row has no version that names an epoch. It may be missing in
        # the newest epoch as well, so the write is made there.
        newest = self._store.epochs.newest
        epoch = found.row_epoch if found.version else newest
        return await self._store.async_commit(
            Transaction(
                (Expected(name, found.version),),
                (Put(name, encode_desired_state(desired)),),
                epoch=epoch,
            )
        )

    def _answer_query(self, query: Query) -> Any:
        match query:
            case OwnerOf(service=service, key=key):
                return self._explain_owner(service, key)
            case ShowServers(service=service):
                return [
                    self._describe_member(member)
                    for member in self._directory.members()
                    if service in {'', member.service}
                ]
            case ShowSlices(service=service):
                key_map = self._maps.find(service)
                return [
                    {
                        **asdict(each.keys),
                        'owner': each.owner,
                        'fence': each.fence,
                    }
                    for each in key_map.assignments
                ]
            case ShowConfig():
                config = self._config.config
                source = b'' if config is None else config.source
                return {
                    'version': self._config.version,
                    'text': source.decode(errors='replace'),
                }
        return {'error': 'not supported on this platform'}

    def _explain_owner(self, service: str, key: str) -> dict[str, Any]:
        if not key.isdigit() or int(key) >= KEY_COUNT:
            return {'error': f'{key!r} is not a key: 0 to {KEY_COUNT - 1}'}
        key_map = self._maps.find(service)
        assignment = key_map.find(int(key))
        if assignment is None:
            return {'error': f'no keys of {service!r} are known here'}
        member = self._directory.find(assignment.owner)
        return {
            'owner': assignment.owner,
            'address': '' if member is None else member.address,
            'first': assignment.keys.first,
            'last': assignment.keys.last,
            'fence': assignment.fence,
            'map_version': key_map.version,
            'why': 'assigned in the row of the store with this version',
            'known_by': self._own.name,
            **self._describe_incarnation(assignment.owner),
        }

    def _describe_member(self, member: Member) -> dict[str, Any]:
        now = self._clock.now()
        load = self._loads.find(member.name, now)
        owned = self._maps.find(member.service).owned_by(member.name)
        return {
            **asdict(member),
            'ranges': len(owned),
            'keys': sum(len(each.keys) for each in owned),
            'load': None if load is None else load.share,
            'suspect': self._directory.is_suspect(member.name, now),
            **self._describe_incarnation(member.name),
        }

    def _describe_incarnation(self, name: str) -> dict[str, Any]:
        """Return the incarnation of a server; only its process knows it."""
        if name != self._own.name or self._get_incarnation is None:
            return {}
        incarnation = self._get_incarnation()
        return {
            'instance': incarnation.instance,
            'born_ms': incarnation.born_ms,
        }

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
                desired = DesiredState(
                    TARGET_STATE_BY_COMMAND[type(command)],
                    command_id,
                    operator,
                    epoch=self._store.epochs.newest,
                )
                return await self._async_set_desired_state(
                    command.server, desired
                )
        return Refused(command_id, 'not supported on this platform')

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

    async def _async_set_desired_state(
        self, server: str, desired: DesiredState
    ) -> CommandOutcome:
        """Store a desired state, then notify the process concerned."""
        member = self._find_member(server)
        if member is None:
            return Refused(desired.command_id, f'no server {server!r}')
        known = await self._async_find_desired_state(member)
        if known is None:
            return Unsettled(desired.command_id)
        if known.command_id == desired.command_id:
            return AlreadyDone(desired.command_id, known.version)
        outcome = await self._async_put(member, known, desired)
        match outcome:
            case Committed(version=version):
                written = replace(desired, version=version)
                self._written_by_member[member.name] = (member, written)
                await self._async_notify(member)
                return Accepted(desired.command_id, version)
            case Conflict():
                winner = await self._async_find_desired_state(member)
                return Lost(
                    desired.command_id,
                    '' if winner is None else winner.command_id,
                )
        return Unsettled(desired.command_id)

    async def _async_notify(self, member: Member) -> None:
        if member.name == self._own.name:
            await self.async_read_desired_state()
        else:
            await self._calls.async_post(member, PATH_DESIRED_STATE, b'')

    async def _async_find_desired_state(
        self, member: Member
    ) -> DesiredState | None:
        """Return the desired state, or None if the store does not answer."""
        read = await self._store.async_read(TABLE, member.service)
        if not isinstance(read, RangeRead):
            return None
        name = desired_state_row(member.service, member.name)
        for row in read.rows:
            if row.name == name:
                return _decode_or_default(row)
        return DEFAULT_DESIRED_STATE

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


def _decode_or_default(row: Row) -> DesiredState:
    """Decode a row; an unreadable one gives the default of its version.

    A command can then replace it.
    """
    try:
        return decode_desired_state(row)
    except UnreadableDesiredStateError:
        return replace(DEFAULT_DESIRED_STATE, version=row.version)


def _json_answer(status: int, fields: Any) -> Answer:
    kind = ((b'content-type', b'application/json'),)
    return Answer(status, kind, json.dumps(fields).encode())


def _error_answer(status: int, text: str) -> Answer:
    return _json_answer(status, {'error': text})
