"""The row of a member that holds no keys; it only makes the member known."""

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.lease import MemberRow, encode_member_row
from plantaingrade.holds.rows import member_row
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    Expected,
    Put,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.interface import Store


class OwnRow:
    """Write one member's row, and remove it when the member leaves."""

    __slots__ = ('_log', '_member', '_name', '_store', '_version')

    def __init__(self, member: Member, store: Store, log: EventLog) -> None:
        """Suppose that the row is not there yet."""
        self._member = member
        self._store = store
        self._log = log
        self._name = member_row(member.service, member.name)
        self._version = 0

    async def async_write(self) -> bool:
        """Write the row; tell whether that is done.

        The row of an earlier run is found by the conflict that it leads to, so
        that nothing has to be read first.
        """
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

        Others would send requests to an address where nobody answers.
        """
        if not self._version:
            return
        outcome = await self._store.async_commit(
            Transaction(
                (Expected(self._name, self._version),), deletes=(self._name,)
            )
        )
        self._version = 0
        self._log.write('row-removed', outcome=type(outcome).__name__)

    async def _async_put(self) -> TransactionOutcome:
        row = MemberRow(self._member, 0.0, self._member.boot)
        return await self._store.async_commit(
            Transaction(
                (Expected(self._name, self._version),),
                (Put(self._name, encode_member_row(row)),),
            )
        )

    def _found_version(self, conflict: Conflict) -> int:
        """Return the version of the row as it stands, 0 if there is none."""
        found = (row for row in conflict.rows if row.name == self._name)
        return next((row.version for row in found if not row.is_deleted), 0)
