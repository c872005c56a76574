"""The holder's side of a lease."""

from plantaingrade.leases.const import EARLIEST, LEASE_S
from plantaingrade.leases.entity import (
    Renew,
    RenewAck,
    RenewRefused,
    majority,
)


class LeaseHolder:
    """Compute until when this process may act as an owner.

    The lease is counted from before its renewal was sent, so that it ends at
    the holder before it ends at any witness.
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

    def add_candidate(self, epoch: int, witnesses: tuple[str, ...]) -> None:
        """Renew at the witnesses of a new epoch without requiring them yet."""
        self._candidate = (epoch, witnesses)

    def is_candidate_held(self, now: float) -> bool:
        """Return whether a majority of the candidate witnesses has renewed."""
        if self._candidate is None:
            return False
        return self._expires_at(*self._candidate) > now

    def add_epoch(self, epoch: int, witnesses: tuple[str, ...]) -> None:
        """Require a majority of these witnesses for the lease from now on."""
        self._witnesses_by_epoch[epoch] = witnesses
        self._candidate = None

    def drop_epochs_before(self, epoch: int) -> None:
        """Stop requiring the witnesses of earlier epochs.

        Only safe once every successor accepts only testimony of ``epoch``.
        """
        for earlier in self.epochs:
            if earlier < epoch:
                self._witnesses_by_epoch.pop(earlier)

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
        """Record that a witness acknowledged a renewal."""
        if ack.member == self.member:
            key = (ack.epoch, ack.witness)
            earlier = self._acked_at.get(key, EARLIEST)
            self._acked_at[key] = max(earlier, ack.sent_at)

    def on_refused(self, refusal: RenewRefused) -> None:
        """Record a refusal; it is permanent."""
        if refusal.member == self.member:
            self._refused.add((refusal.epoch, refusal.witness))

    def expires_at(self) -> float:
        """Return the end of the lease, in seconds on this process's clock."""
        if not self._witnesses_by_epoch:
            return EARLIEST
        return min(
            self._expires_at(epoch, witnesses)
            for epoch, witnesses in self._witnesses_by_epoch.items()
        )

    def is_lost(self) -> bool:
        """Return whether refusals rule out a majority in some epoch."""
        return any(map(self._is_lost_in, self._witnesses_by_epoch))

    def last_ack(self, epoch: int, witness: str) -> float:
        """Return the send time of the newest renewal that a witness acked."""
        return self._acked_at.get((epoch, witness), EARLIEST)

    def _expires_at(self, epoch: int, witnesses: tuple[str, ...]) -> float:
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
