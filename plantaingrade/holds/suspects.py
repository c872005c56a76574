"""Find members without renewal whose leases have expired early.

Failure: an instance is lost. Its lease is long enough to outlast an outage of
the store; with the agreement of its witnesses its keys are taken over sooner.
"""

import asyncio

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.entity import ExpiryRequest
from plantaingrade.holds.lease import MemberRow
from plantaingrade.holds.plans import suspect_rows
from plantaingrade.holds.promises import is_majority
from plantaingrade.holds.registry import Registry
from plantaingrade.holds.witnesses import Witnesses, async_collect_agreed

# Members asked about at a time. Each costs some calls, and a transaction can
# remove this many rows.
MAX_SUSPECTS = 40
RowVersion = tuple[str, int]


class SuspectExpiry:
    """Asks the witnesses of members whose leases are past their base end."""

    __slots__ = ('_log', '_registry', '_witnesses')

    def __init__(
        self, registry: Registry, witnesses: Witnesses, log: EventLog
    ) -> None:
        """Ask on behalf of one member of a service."""
        self._registry = registry
        self._witnesses = witnesses
        self._log = log

    async def async_expired(self) -> frozenset[RowVersion]:
        """Return name and row version of members that may be replaced.

        Such a member holds no keys as long as its row has that version: it can
        get no promise for the write that the row holds.
        """
        rows = suspect_rows(self._registry)[:MAX_SUSPECTS]
        answers = await asyncio.gather(
            *(self._async_is_expired(row) for row in rows)
        )
        return frozenset(
            (row.member.name, row.version)
            for row, is_expired in zip(rows, answers, strict=True)
            if is_expired
        )

    async def _async_is_expired(self, row: MemberRow) -> bool:
        member = row.member
        request_by_witness = {
            witness: ExpiryRequest(
                member.name, member.boot, row.write_number, witness.boot
            )
            for witness in row.witnesses
        }
        agreed = await async_collect_agreed(self._witnesses, request_by_witness)
        is_expired = is_majority(agreed, row.witnesses)
        self._log.write(
            'member-given-up' if is_expired else 'member-in-doubt',
            member=member.name,
            boot=member.boot,
            write=row.write_id,
            version=row.version,
            agreed=len(agreed),
            asked=len(row.witnesses),
        )
        return is_expired
