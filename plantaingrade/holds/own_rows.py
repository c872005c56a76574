"""Create the rows by which a member renews its lease. Pure."""

from collections.abc import Callable
from itertools import count

from plantaingrade.holds.entity import Witness
from plantaingrade.holds.lease import (
    MemberRow,
    UnreadableLeaseError,
    decode_member_row,
)
from plantaingrade.holds.times import LeaseTimes
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import Row


class OwnRowFactory:
    """Creates the rows of one run of a member, each with its own number."""

    __slots__ = ('_choose_witnesses', '_member', '_witnesses', '_write_numbers')

    def __init__(
        self,
        member: Member,
        choose_witnesses: Callable[[], tuple[Witness, ...]],
    ) -> None:
        """Start the numbers at 1."""
        self._member = member
        self._choose_witnesses = choose_witnesses
        self._witnesses: tuple[Witness, ...] = ()
        self._write_numbers = count(1)

    def make(
        self,
        now_s: float,
        times: LeaseTimes,
        *,
        accepts_keys: bool,
        has_pending: bool,
    ) -> MemberRow:
        """Return the next row, made at a time of the store's clock.

        While an unanswered write may still be applied, the witnesses stay the
        same: otherwise promises of two sets of witnesses would be needed.
        """
        if not has_pending:
            self._witnesses = self._choose_witnesses()
        base_s = times.base_s if self._witnesses else times.full_s
        return MemberRow(
            self._member,
            now_s + times.full_s,
            f'{self._member.boot}.{next(self._write_numbers)}',
            accepts_keys,
            base_until_s=now_s + base_s,
            witnesses=self._witnesses,
        )


def decode_own_row(row: Row, name: str) -> MemberRow | None:
    """Return a member's own row as stored; None if it is unreadable."""
    try:
        return decode_member_row(name, row.body, row.version)
    except UnreadableLeaseError:
        return None
