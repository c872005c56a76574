"""Make the rows by which a member renews its lease. Pure."""

from collections.abc import Callable
from itertools import count

from plantaingrade.holds.entity import Witness
from plantaingrade.holds.lease import MemberRow
from plantaingrade.holds.times import LeaseTimes
from plantaingrade.peers.entity import Member


class OwnRows:
    """Rows of one run of a member, each with a number of its own."""

    __slots__ = ('_choose_witnesses', '_member', '_named', '_numbers')

    def __init__(
        self,
        member: Member,
        choose_witnesses: Callable[[], tuple[Witness, ...]],
    ) -> None:
        """Begin to count."""
        self._member = member
        self._choose_witnesses = choose_witnesses
        self._named: tuple[Witness, ...] = ()
        self._numbers = count(1)

    def make(
        self,
        now_s: float,
        times: LeaseTimes,
        *,
        accepts_keys: bool,
        has_open: bool,
    ) -> MemberRow:
        """Return the next row, made at a time of the store's clock.

        While a write may stand that is not known to, the witnesses stay: else
        the promises of two sets would be needed.
        """
        if not has_open:
            self._named = self._choose_witnesses()
        base_s = times.base_s if self._named else times.full_s
        return MemberRow(
            self._member,
            now_s + times.full_s,
            f'{self._member.boot}.{next(self._numbers)}',
            accepts_keys,
            base_until_s=now_s + base_s,
            witnesses=self._named,
        )
