"""The witness's side of leases."""

from msgspec import Struct

from plantaingrade.leases.const import (
    LAPSE_NOTICE_EVERY_S,
    LAPSE_NOTICE_FOR_S,
    LEASE_S,
    MAX_CLOCK_DRIFT,
)
from plantaingrade.leases.entity import (
    Ask,
    Lapsed,
    Renew,
    RenewAck,
    RenewRefused,
    Testimony,
)


class Grant(Struct):
    """One lease as a witness sees it."""

    ends_at: float
    next_notice_at: float = 0.0


class WitnessTable:
    """Renew leases, and testify when their time has run out.

    A witness keeps nothing but times and promises. A restarted process has
    another member name, so nobody counts its testimony for the old one.
    """

    __slots__ = ('_ended', '_grant_by_lease', 'member')

    def __init__(self, member: str) -> None:
        """Start without grants."""
        self.member = member
        self._grant_by_lease: dict[tuple[str, int], Grant] = {}
        self._ended: set[tuple[str, int]] = set()

    def __len__(self) -> int:
        """Return how many leases this witness renews."""
        return len(self._grant_by_lease)

    def on_renew(self, renew: Renew, now: float) -> RenewAck | RenewRefused:
        """Renew a lease unless its end has been promised."""
        lease = (renew.member, renew.epoch)
        # The promise made to the successor is kept for the life of this
        # incarnation: a holder that was paused may renew after it.
        if lease in self._ended:
            return RenewRefused(renew.member, renew.epoch, self.member)
        self._grant_by_lease[lease] = Grant(
            now + LEASE_S * (1 + MAX_CLOCK_DRIFT)
        )
        return RenewAck(renew.member, renew.epoch, self.member, renew.sent_at)

    def on_ask(self, ask: Ask, now: float) -> Testimony:
        """Promise that a lease has ended, if its time has run out."""
        lease = (ask.member, ask.epoch)
        grant = self._grant_by_lease.get(lease)
        over = lease in self._ended or grant is None or grant.ends_at <= now
        if over:
            # The one who asked may be lost before it writes the end down, so
            # the witness goes on telling until the journal shows it.
            self._ended.add(lease)
            self._grant_by_lease.setdefault(lease, Grant(now))
        return Testimony(ask.member, ask.epoch, self.member, over)

    def lapsed(self, now: float) -> list[Lapsed]:
        """Return a notice for each lease that has run out of time."""
        notices = []
        for (member, epoch), grant in list(self._grant_by_lease.items()):
            if grant.ends_at + LAPSE_NOTICE_FOR_S < now:
                self.forget(member, epoch)
            elif grant.ends_at <= now and grant.next_notice_at <= now:
                grant.next_notice_at = now + LAPSE_NOTICE_EVERY_S
                notices.append(Lapsed(member, epoch, self.member))
        return notices

    def forget(self, member: str, epoch: int) -> None:
        """Stop watching a lease; never renew it again."""
        if self._grant_by_lease.pop((member, epoch), None) is not None:
            self._ended.add((member, epoch))

    def leases(self) -> list[tuple[str, int]]:
        """Return the member and epoch of each lease under watch."""
        return list(self._grant_by_lease)
