"""Read members, maps and desired states of all services."""

from collections.abc import Callable, Iterable

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.lease import UnreadableLeaseError, decode_member_row
from plantaingrade.holds.rows import KEY_MAP, KEY_MEMBER, TABLE, part_of
from plantaingrade.keyspace.codec import UnreadableMapError, decode_map
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.operators.desired_state import (
    DesiredState,
    UnreadableDesiredStateError,
    decode_desired_state,
    desired_state_row,
)
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import RangeRead, ReadOutcome, Row
from plantaingrade.store.interface import Store
from plantaingrade.store.unreadable import UnreadableRows

UNREADABLE_ERRORS = (
    UnreadableLeaseError,
    UnreadableMapError,
    UnreadableDesiredStateError,
)


class ServiceRows:
    """Reader of the rows of all services, for one member."""

    __slots__ = (
        '_log',
        '_maps',
        '_on_member',
        '_on_desired_state',
        '_own',
        '_services',
        '_store',
        '_unreadable',
    )

    def __init__(
        self,
        own: Member,
        store: Store,
        maps: KeyMaps,
        services: Callable[[], Iterable[str]],
        on_member: Callable[[Member], None],
        on_desired_state: Callable[[DesiredState], None],
        log: EventLog,
    ) -> None:
        """Pass members and the own desired state to the callbacks."""
        self._own = own
        self._store = store
        self._maps = maps
        self._services = services
        self._on_member = on_member
        self._on_desired_state = on_desired_state
        self._log = log
        self._unreadable = UnreadableRows(log)

    async def async_read(self) -> bool:
        """Read the rows of all services; return whether that succeeded."""
        for service in self._services():
            outcome = await self._async_read_service(service)
            if not isinstance(outcome, RangeRead):
                self._log.write('members-not-read', why=outcome.failure)
                return False
            for row in outcome.rows:
                self._process_row(service, row)
        return await self._async_read_desired_state()

    async def _async_read_service(self, service: str) -> ReadOutcome:
        """Read the rows of a service in the newest epoch of the store."""
        epoch = self._store.epochs.newest
        outcome = await self._store.async_read(TABLE, part_of(service, epoch))
        if isinstance(outcome, RangeRead) and outcome.epoch != epoch:
            part = part_of(service, outcome.epoch)
            return await self._store.async_read(TABLE, part)
        return outcome

    async def _async_read_desired_state(self) -> bool:
        """Read the own desired state, if stored apart from the rows.

        Desired states remain valid across epochs of the store, so once the
        store has epochs they are in the part named after the service alone.
        """
        service = self._own.service
        if not self._store.epochs.newest:
            return True
        outcome = await self._store.async_read(TABLE, service)
        if not isinstance(outcome, RangeRead):
            return False
        for row in outcome.rows:
            if row.name == desired_state_row(service, self._own.name):
                self._process_row(service, row)
        return True

    def _process_row(self, service: str, row: Row) -> None:
        try:
            self._apply_row(service, row)
        except UNREADABLE_ERRORS as error:
            self._unreadable.log_once(row, str(error))
        except Exception as error:
            self._unreadable.log_failure_once(row, error)

    def _apply_row(self, service: str, row: Row) -> None:
        if row.name.key == KEY_MAP:
            if row.version > self._maps.find(service).version:
                self._maps.update_if_newer(
                    service, decode_map(row.body, row.version)
                )
            return
        if row.name == desired_state_row(self._own.service, self._own.name):
            self._on_desired_state(decode_desired_state(row))
        if not row.name.key.startswith(KEY_MEMBER):
            return
        name = row.name.key.removeprefix(KEY_MEMBER)
        if name == self._own.name:
            return
        member = decode_member_row(name, row.body, row.version).member
        if member.service != service:
            raise UnreadableLeaseError('The row names another service.')
        self._on_member(member)
