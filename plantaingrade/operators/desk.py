"""Answer operators at any process on the platform."""

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
from plantaingrade.operators.wishes import (
    NO_WISH,
    UnreadableWishError,
    Wish,
    WishedState,
    decode_wish,
    encode_wish,
    wish_row,
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

# A release waits for running work, and the change for the store, in seconds.
MOVE_TIMEOUT_S = 5.0
# Pause before a lost wish is written again, where the store did not answer.
KEEP_RETRY_S = 1.0

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
PATH_WISH = '/-/wish'
STATE_BY_COMMAND = {
    Drain: WishedState.DRAIN,
    Resume: WishedState.SERVE,
    Retire: WishedState.RETIRE,
}


class OperatorDesk:
    """Queries from what this process knows; commands where they belong."""

    __slots__ = (
        '_apply',
        '_calls',
        '_clock',
        '_config',
        '_directory',
        '_followed',
        '_given_by_member',
        '_holds',
        '_life',
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
        """Use the parts of one process."""
        self._own = own
        self._directory = directory
        self._maps = maps
        self._loads = loads
        self._config = config
        self._holds = holds
        self._calls = calls
        self._store = store
        self._clock = clock
        self._apply: Callable[[Wish], None] | None = None
        self._followed = NO_WISH
        # Wishes that this process has written, by the member they are for.
        self._given_by_member: dict[str, tuple[Member, Wish]] = {}
        self._life: Callable[[], ServerIncarnation] | None = None

    def apply_by(self, apply: Callable[[Wish], None]) -> None:
        """Call back with the wish for this process's own server."""
        self._apply = apply

    def show_life_by(self, life: Callable[[], ServerIncarnation]) -> None:
        """Ask for the present life of this process's own server."""
        self._life = life

    async def async_statement(self, raw: Request, body: bytes) -> Answer:
        """Answer one statement."""
        # The parser is loaded only where an operator uses it.
        from plantaingrade.operators import grammar  # noqa: WPS433

        if len(body) > MAX_COMMAND_BYTES:
            return _error(STATUS_TOO_LARGE, 'statement too long')
        try:
            statement = grammar.parse_statement(body.decode(errors='replace'))
        except StatementError as error:
            return _error(STATUS_BAD_REQUEST, str(error))
        if isinstance(statement, Query):
            return _json(STATUS_OK, self._answer(statement))
        headers = dict(raw.headers)
        command_id = headers.get(HEADER_COMMAND_ID, b'').decode()
        if not command_id:
            return _error(STATUS_BAD_REQUEST, 'x-command-id is missing')
        operator = headers.get(HEADER_OPERATOR, b'unnamed').decode()
        outcome = await self._async_command(statement, command_id, operator)
        fields = {'outcome': type(outcome).__name__.lower(), **asdict(outcome)}
        return _json(STATUS_BY_OUTCOME[type(outcome)], fields)

    async def async_move(self, body: bytes) -> Answer:
        """Give keys of the own server away, as another process asks.

        It asks at an address, which may have passed to an instance of another
        service; the member that is to get the keys tells of which they are.
        """
        try:
            keys, target = _read_move(body)
        except SchemaError as error:
            return _error(STATUS_BAD_REQUEST, str(error))
        member = self._directory.find(target)
        if member is None or member.service != self._own.service:
            return _error(STATUS_BAD_REQUEST, 'no member of this service')
        given = await self._holds.async_transfer([keys], target)
        return _json(STATUS_OK, {'given': given})

    async def async_read_wish(self) -> Answer:
        """Read and follow the wish for the own server."""
        wish = await self._async_find_wish(self._own)
        if wish is not None:
            self.follow(wish)
        return _json(STATUS_OK, {'read': wish is not None})

    def follow(self, wish: Wish) -> None:
        """Follow a wish for the own server, unless a later one is followed."""
        if wish.is_older_than(self._followed):
            return
        self._followed = wish
        if self._apply is not None:
            self._apply(wish)

    async def async_keep_wishes(self) -> None:
        """Write wishes again that the store has lost with its last seconds.

        Whoever gave one was told that it stands.
        """
        kept = dict(self._given_by_member)
        if self._followed.command_id:
            kept[self._own.name] = (self._own, self._followed)
        for member, wish in kept.values():
            if self._directory.find(member.name) is None:
                continue
            while not await self._async_keep(member, wish):
                await asyncio.sleep(KEEP_RETRY_S)

    async def _async_keep(self, member: Member, wish: Wish) -> bool:
        """Write a wish again if it is lost; tell whether that is done."""
        found = await self._async_find_wish(member)
        if found is None:
            return False
        if not found.is_older_than(wish):
            return True
        outcome = await self._async_put(member, found, wish)
        return isinstance(outcome, Committed)

    async def _async_put(
        self, member: Member, found: Wish, wish: Wish
    ) -> TransactionOutcome:
        """Write a wish in place of the one found."""
        name = wish_row(member.service, member.name)
        # A row that is not there has no version, and may be absent anew.
        newest = self._store.epochs.newest
        epoch = found.row_epoch if found.version else newest
        return await self._store.async_commit(
            Transaction(
                (Expected(name, found.version),),
                (Put(name, encode_wish(wish)),),
                epoch=epoch,
            )
        )

    def _answer(self, query: Query) -> Any:
        match query:
            case OwnerOf(service=service, key=key):
                return self._explain_owner(service, key)
            case ShowServers(service=service):
                return [
                    self._describe(member)
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
        return {'error': 'not known on this platform'}

    def _explain_owner(self, service: str, key: str) -> dict[str, Any]:
        if not key.isdigit() or int(key) >= KEY_COUNT:
            return {'error': f'{key!r} is no key: 0 to {KEY_COUNT - 1}'}
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
            **self._describe_life(assignment.owner),
        }

    def _describe(self, member: Member) -> dict[str, Any]:
        now = self._clock.now()
        load = self._loads.find(member.name, now)
        owned = self._maps.find(member.service).owned_by(member.name)
        return {
            **asdict(member),
            'ranges': len(owned),
            'keys': sum(len(each.keys) for each in owned),
            'load': None if load is None else load.share,
            'suspect': self._directory.is_suspect(member.name, now),
            **self._describe_life(member.name),
        }

    def _describe_life(self, name: str) -> dict[str, Any]:
        """Return the life of a server; only its own process knows it."""
        if name != self._own.name or self._life is None:
            return {}
        life = self._life()
        return {'instance': life.instance, 'born_ms': life.born_ms}

    async def _async_command(
        self, command: Command, command_id: str, operator: str
    ) -> CommandOutcome:
        match command:
            case MoveKey(service=service, key=key, server=server):
                if not key.isdigit():
                    return Refused(command_id, f'{key!r} is no key')
                keys = KeyRange(int(key), int(key))
                return await self._async_move(command_id, service, keys, server)
            case MoveKeys(service=service, server=server):
                keys = KeyRange(command.first, command.last)
                return await self._async_move(command_id, service, keys, server)
            case Drain() | Resume() | Retire():
                wish = Wish(
                    STATE_BY_COMMAND[type(command)],
                    command_id,
                    operator,
                    epoch=self._store.epochs.newest,
                )
                return await self._async_wish(command.server, wish)
        return Refused(command_id, 'not known on this platform')

    async def _async_move(
        self, command_id: str, service: str, keys: KeyRange, server: str
    ) -> CommandOutcome:
        """Have each owner of the keys give them to one server."""
        target = self._find_member(server)
        key_map = self._maps.find(service)
        if target is None or target.service != service:
            return Refused(command_id, f'no server {server!r} of {service!r}')
        is_range = keys.first <= keys.last < KEY_COUNT
        if not is_range or not key_map.version:
            return Refused(command_id, 'no such keys')
        for assignment in key_map.assignments:
            part = assignment.keys.overlap(keys)
            if part is None or assignment.owner == target.name:
                continue
            if not await self._async_give(assignment.owner, part, target):
                return Unsettled(command_id)
        return Accepted(command_id, self._maps.find(service).version)

    async def _async_give(
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
        return reply is not None and _read_given(reply)

    async def _async_wish(self, server: str, wish: Wish) -> CommandOutcome:
        """Write a wish down, then tell the process that it concerns."""
        member = self._find_member(server)
        if member is None:
            return Refused(wish.command_id, f'no server {server!r}')
        known = await self._async_find_wish(member)
        if known is None:
            return Unsettled(wish.command_id)
        if known.command_id == wish.command_id:
            return AlreadyDone(wish.command_id, known.version)
        outcome = await self._async_put(member, known, wish)
        match outcome:
            case Committed(version=version):
                given = replace(wish, version=version)
                self._given_by_member[member.name] = (member, given)
                await self._async_tell(member)
                return Accepted(wish.command_id, version)
            case Conflict():
                winner = await self._async_find_wish(member)
                return Lost(
                    wish.command_id,
                    '' if winner is None else winner.command_id,
                )
        return Unsettled(wish.command_id)

    async def _async_tell(self, member: Member) -> None:
        if member.name == self._own.name:
            await self.async_read_wish()
        else:
            await self._calls.async_post(member, PATH_WISH, b'')

    async def _async_find_wish(self, member: Member) -> Wish | None:
        """Return the wish for a member; nothing if the store is away."""
        read = await self._store.async_read(TABLE, member.service)
        if not isinstance(read, RangeRead):
            return None
        name = wish_row(member.service, member.name)
        for row in read.rows:
            if row.name == name:
                return _readable(row)
        return NO_WISH

    def _find_member(self, server: str) -> Member | None:
        """Return a member by its name or its IP address."""
        for member in self._directory.members():
            host = member.address.rpartition(':')[0]
            if server in {member.name, host}:
                return member
        return None


def _read_move(body: bytes) -> tuple[KeyRange, str]:
    """Return which keys are to be given to which member.

    Raises:
        SchemaError: the bytes tell neither.
    """
    fields = parse_object(body)
    first = fields.whole('first', 0, KEY_COUNT - 1)
    last = fields.whole('last', first, KEY_COUNT - 1)
    return KeyRange(first, last), fields.text('to')


def _read_given(reply: bytes) -> bool:
    """Tell whether a process says that it gave keys away."""
    try:
        return parse_object(reply).flag('given')
    except SchemaError:
        return False


def _readable(row: Row) -> Wish:
    """Return the wish in a row; one that cannot be read can be replaced."""
    try:
        return decode_wish(row)
    except UnreadableWishError:
        return replace(NO_WISH, version=row.version)


def _json(status: int, fields: Any) -> Answer:
    kind = ((b'content-type', b'application/json'),)
    return Answer(status, kind, json.dumps(fields).encode())


def _error(status: int, text: str) -> Answer:
    return _json(status, {'error': text})
