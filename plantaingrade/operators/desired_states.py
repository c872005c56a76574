"""Desired states of servers: written to the store, read back and applied."""

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from plantaingrade.holds.rows import TABLE
from plantaingrade.operators.desired_state import (
    DEFAULT_DESIRED_STATE,
    DesiredState,
    UnreadableDesiredStateError,
    decode_desired_state,
    desired_state_row,
    encode_desired_state,
)
from plantaingrade.operators.entity import (
    Accepted,
    AlreadyDone,
    CommandOutcome,
    Lost,
    Unsettled,
)
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
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

# Pause in seconds before the next attempt to restore a desired state, if the
# store did not answer.
RESTORE_RETRY_S = 1.0
PATH_DESIRED_STATE = '/-/wish'


class DesiredStates:
    """Keeps the desired states of servers in the store.

    A desired state is applied by the process beside the server concerned.
    """

    __slots__ = (
        '_applied',
        '_calls',
        '_directory',
        '_on_desired_state',
        '_own',
        '_store',
        '_written_by_member',
    )

    def __init__(
        self,
        own: Member,
        directory: Directory,
        calls: PeerCalls,
        store: Store,
        on_desired_state: Callable[[DesiredState], None],
    ) -> None:
        """Pass desired states of the own server to ``on_desired_state``."""
        self._own = own
        self._directory = directory
        self._calls = calls
        self._store = store
        self._on_desired_state = on_desired_state
        self._applied = DEFAULT_DESIRED_STATE
        # Desired states written by this process, by the member concerned.
        self._written_by_member: dict[str, tuple[Member, DesiredState]] = {}

    @property
    def epoch(self) -> int:
        """Return the newest known epoch of the store."""
        return self._store.epochs.newest

    async def async_read_own(self) -> bool:
        """Apply the own server's stored state; return whether it was read."""
        desired = await self._async_find(self._own)
        if desired is not None:
            self.apply(desired)
        return desired is not None

    def apply(self, desired: DesiredState) -> None:
        """Apply a desired state, unless a later one is already applied."""
        if desired.is_older_than(self._applied):
            return
        self._applied = desired
        self._on_desired_state(desired)

    async def async_restore_all(self) -> None:
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

    async def async_set(
        self, member: Member, desired: DesiredState
    ) -> CommandOutcome:
        """Store a desired state, then notify the process concerned."""
        known = await self._async_find(member)
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
                winner = await self._async_find(member)
                return Lost(
                    desired.command_id,
                    '' if winner is None else winner.command_id,
                )
        return Unsettled(desired.command_id)

    async def _async_restore(
        self, member: Member, desired: DesiredState
    ) -> bool:
        """Rewrite a lost desired state; return False if a retry is needed."""
        found = await self._async_find(member)
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

    async def _async_notify(self, member: Member) -> None:
        if member.name == self._own.name:
            await self.async_read_own()
        else:
            await self._calls.async_post(member, PATH_DESIRED_STATE, b'')

    async def _async_find(self, member: Member) -> DesiredState | None:
        """Return the desired state, or None if the store does not answer."""
        read = await self._store.async_read(TABLE, member.service)
        if not isinstance(read, RangeRead):
            return None
        name = desired_state_row(member.service, member.name)
        for row in read.rows:
            if row.name == name:
                return _decode_or_default(row)
        return DEFAULT_DESIRED_STATE


def _decode_or_default(row: Row) -> DesiredState:
    """Decode a row; an unreadable one gives the default of its version.

    A command can then replace it.
    """
    try:
        return decode_desired_state(row)
    except UnreadableDesiredStateError:
        return replace(DEFAULT_DESIRED_STATE, version=row.version)
