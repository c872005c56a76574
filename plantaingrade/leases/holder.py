"""The holder's side of a lease."""

from plantaingrade.leases.const import EARLIEST, LEASE_S
from plantaingrade.leases.entity import (
    Renew,
    RenewAck,
    RenewRefused,
    majority,
)


class LeaseHolder:
    """Know until when this process may act as an owner.

    Time is counted from before a renewal was sent, so the holder always
    believes in an earlier end than any witness does.
    """

    __slots__ = (
        '_acked_at',
        '_candidate',
        '_refused',
        '_witnesses_by_epoch',
        'member',
    )

    def __init__(self, member: str) -> None:
        """Start without any lease."""
        self.member = member
        self._witnesses_by_epoch: dict[int, tuple[str, ...]] = {}
        self._acked_at: dict[tuple[int, str], float] = {}
        self._refused: set[tuple[int, str]] = set()
        self._candidate: tuple[int, tuple[str, ...]] | None = None

    @property
    def epochs(self) -> tuple[int, ...]:
        """Return the epochs that must all be renewed, oldest first."""
        return tuple(sorted(self._witnesses_by_epoch))

    def try_epoch(self, epoch: int, witnesses: tuple[str, ...]) -> None:
        """Renew at further witnesses without requiring them yet."""
        self._candidate = (epoch, witnesses)

    def holds_candidate(self, now: float) -> bool:
        """Tell whether a majority of the further witnesses renews by now."""
        if self._candidate is None:
            return False
        return self._until_at(*self._candidate) > now

    def add_epoch(self, epoch: int, witnesses: tuple[str, ...]) -> None:
        """Require a majority of these witnesses from now on."""
        self._witnesses_by_epoch[epoch] = witnesses
        self._candidate = None

    def drop_before(self, epoch: int) -> None:
        """Stop requiring the witnesses of earlier epochs.

        Only safe once every successor judges this holder by ``epoch``.
        """
        for old in self.epochs:
            if old < epoch:
                self._witnesses_by_epoch.pop(old)

    def renewals(self, now: float, reply_to: str) -> list[Renew]:
        """Return the renewals to send now."""
        renewed = dict(self._witnesses_by_epoch)
        if self._candidate is not None:
            renewed.update([self._candidate])
        return [
            Renew(self.member, epoch, witness, now, reply_to)
            for epoch, witnesses in renewed.items()
            for witness in witnesses
        ]

    def on_ack(self, ack: RenewAck) -> None:
        """Count an acknowledgement."""
        if ack.member == self.member:
            place = (ack.epoch, ack.witness)
            earlier = self._acked_at.get(place, EARLIEST)
            self._acked_at[place] = max(earlier, ack.sent_at)

    def on_refused(self, refusal: RenewRefused) -> None:
        """Count a refusal, which is for good."""
        if refusal.member == self.member:
            self._refused.add((refusal.epoch, refusal.witness))

    def expires_at(self) -> float:
        """Return the end of the lease on this process's clock."""
        if not self._witnesses_by_epoch:
            return EARLIEST
        return min(
            self._until_at(epoch, witnesses)
            for epoch, witnesses in self._witnesses_by_epoch.items()
        )

    def is_lost(self) -> bool:
        """Tell whether no majority can renew this lease ever again."""
        return any(map(self._is_lost_in, self._witnesses_by_epoch))

    def last_ack(self, epoch: int, witness: str) -> float:
        """Return when the renewal that a witness acked last was sent."""
        return self._acked_at.get((epoch, witness), EARLIEST)

    def _until_at(self, epoch: int, witnesses: tuple[str, ...]) -> float:
        acked = sorted(
            (self.last_ack(epoch, witness) for witness in witnesses),
            reverse=True,
        )
        return acked[majority(len(witnesses)) - 1] + LEASE_S

    def _is_lost_in(self, epoch: int) -> bool:
        witnesses = self._witnesses_by_epoch[epoch]
        refused = sum(
            (epoch, witness) in self._refused for witness in witnesses
        )
        return len(witnesses) - refused < majority(len(witnesses))
