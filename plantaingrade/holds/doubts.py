"""Find out which members that have not renewed can be given up already."""

import asyncio

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.entity import ExpiryRequest
from plantaingrade.holds.lease import MemberRow
from plantaingrade.holds.plans import doubtful_rows
from plantaingrade.holds.promises import is_majority
from plantaingrade.holds.registry import Registry
from plantaingrade.holds.witnesses import Witnesses, async_agreed

# Members asked about at a time: each costs some calls, and a transaction has
# room for as many rows.
MAX_DOUBTS = 40
RowVersion = tuple[str, int]


class Doubts:
    """Ask the witnesses of members whose leases have passed the first end."""

    __slots__ = ('_log', '_registry', '_witnesses')

    def __init__(
        self, registry: Registry, witnesses: Witnesses, log: EventLog
    ) -> None:
        """Ask for one member of a service."""
        self._registry = registry
        self._witnesses = witnesses
        self._log = log

    async def async_given_up(self) -> frozenset[RowVersion]:
        """Return names and row versions of members that may be replaced.

        Whoever is among them holds nothing as long as its row has that
        version: it can get no promise for the write that stands there.
        """
        rows = doubtful_rows(self._registry)[:MAX_DOUBTS]
        answers = await asyncio.gather(
            *(self._async_is_given_up(row) for row in rows)
        )
        return frozenset(
            (row.member.name, row.version)
            for row, is_given_up in zip(rows, answers, strict=True)
            if is_given_up
        )

    async def _async_is_given_up(self, row: MemberRow) -> bool:
        member = row.member
        question_by_witness = {
            witness: ExpiryRequest(
                member.name, member.boot, row.write_number, witness.boot
            )
            for witness in row.witnesses
        }
        agreed = await async_agreed(self._witnesses, question_by_witness)
        is_given_up = is_majority(agreed, row.witnesses)
        self._log.write(
            'member-given-up' if is_given_up else 'member-in-doubt',
            member=member.name,
            boot=member.boot,
            write=row.write_id,
            version=row.version,
            agreed=len(agreed),
            asked=len(row.witnesses),
        )
        return is_given_up
