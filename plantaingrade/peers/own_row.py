"""Store row that registers a member without keys."""

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.lease import MemberRow, encode_member_row
from plantaingrade.holds.rows import member_row
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    EpochEnded,
    Expected,
    Put,
    RowName,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.interface import Store


class OwnRow:
    """Write one member's row, and remove it when the member leaves."""

    __slots__ = ('_epoch', '_log', '_member', '_store', '_version')

    def __init__(self, member: Member, store: Store, log: EventLog) -> None:
        """Assume that the row does not exist yet."""
        self._member = member
        self._store = store
        self._log = log
        self._epoch = 0
        self._version = 0

    @property
    def is_written(self) -> bool:
        """Return whether the row is in the newest epoch of the store."""
        return bool(self._version) and self._is_of_newest_epoch()

    async def async_write(self) -> bool:
        """Write the row; return whether it was written.

        A row of an earlier run causes a conflict, which returns its version,
        so no read is needed first. Each epoch of the store has its own rows.
        """
        outcome = await self._async_put()
        if isinstance(outcome, EpochEnded):
            outcome = await self._async_put()
        if isinstance(outcome, Conflict):
            self._version = self._found_version(outcome)
            outcome = await self._async_put()
        if not isinstance(outcome, Committed):
            return False
        self._version = outcome.version
        return True

    async def async_remove(self) -> None:
        """Remove the row, if it was written.

        Otherwise peers would send requests to an address without a process.
        """
        if not self.is_written:
            return
        name = self._name()
        outcome = await self._store.async_commit(
            Transaction(
                (Expected(name, self._version),),
                deletes=(name,),
                epoch=self._epoch,
            )
        )
        self._version = 0
        self._log.write('row-removed', outcome=type(outcome).__name__)

    async def _async_put(self) -> TransactionOutcome:
        if not self._is_of_newest_epoch():
            self._epoch = self._store.epochs.newest
            self._version = 0
        name = self._name()
        row = MemberRow(self._member, 0.0, self._member.boot)
        return await self._store.async_commit(
            Transaction(
                (Expected(name, self._version),),
                (Put(name, encode_member_row(row)),),
                epoch=self._epoch,
            )
        )

    def _is_of_newest_epoch(self) -> bool:
        return self._epoch == self._store.epochs.newest

    def _name(self) -> RowName:
        member = self._member
        return member_row(member.service, member.name, self._epoch)

    def _found_version(self, conflict: Conflict) -> int:
        """Return the current version of the row, 0 if it does not exist."""
        name = self._name()
        found = (row for row in conflict.rows if row.name == name)
        return next((row.version for row in found if not row.is_deleted), 0)
