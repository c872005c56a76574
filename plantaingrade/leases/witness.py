"""The witness's side of leases."""

from msgspec import Struct

from plantaingrade.leases.const import (
    LAPSE_NOTICE_EVERY_S,
    LAPSE_NOTICE_FOR_S,
    LEASE_S,
    MAX_CLOCK_DRIFT,
)
from plantaingrade.leases.entity import (
    Lapsed,
    Renew,
    RenewAck,
    RenewRefused,
    Testimony,
    TestimonyRequest,
)


class Grant(Struct):
    """Time until which a witness has granted one lease."""

    ends_at: float
    next_notice_at: float = 0.0


class WitnessTable:
    """Renew leases, and testify to their end once they have expired.

    Times and promises are kept in memory only. A restarted process has a new
    member name, so its testimony does not count as that of the old member.
    """

    __slots__ = ('_ended', '_grant_by_lease', 'member')

    def __init__(self, member: str) -> None:
        """Start without grants."""
        self.member = member
        self._grant_by_lease: dict[tuple[str, int], Grant] = {}
        self._ended: set[tuple[str, int]] = set()

    def __len__(self) -> int:
        """Return the number of leases that this witness renews."""
        return len(self._grant_by_lease)

    def on_renew(self, renew: Renew, now: float) -> RenewAck | RenewRefused:
        """Renew a lease unless this witness has promised its end."""
        lease = (renew.member, renew.epoch)
        # The promise to the successor is kept as long as this incarnation
        # runs: a holder that was paused may send a renewal after it.
        if lease in self._ended:
            return RenewRefused(renew.member, renew.epoch, self.member)
        self._grant_by_lease[lease] = Grant(
            now + LEASE_S * (1 + MAX_CLOCK_DRIFT)
        )
        return RenewAck(renew.member, renew.epoch, self.member, renew.sent_at)

    def on_request(self, request: TestimonyRequest, now: float) -> Testimony:
        """Promise that a lease has ended, if it has expired."""
        lease = (request.member, request.epoch)
        grant = self._grant_by_lease.get(lease)
        over = lease in self._ended or grant is None or grant.ends_at <= now
        if over:
            # The member that asked may fail before it records the end, so the
            # witness sends notices until the journal shows the end.
            self._ended.add(lease)
            self._grant_by_lease.setdefault(lease, Grant(now))
        return Testimony(request.member, request.epoch, self.member, over)

    def notices_due(self, now: float) -> list[Lapsed]:
        """Return the notices to send now, one for each expired lease."""
        notices = []
        for (member, epoch), grant in list(self._grant_by_lease.items()):
            if grant.ends_at + LAPSE_NOTICE_FOR_S < now:
                self.forget(member, epoch)
            elif grant.ends_at <= now and grant.next_notice_at <= now:
                grant.next_notice_at = now + LAPSE_NOTICE_EVERY_S
                notices.append(Lapsed(member, epoch, self.member))
        return notices

    def forget(self, member: str, epoch: int) -> None:
        """Stop tracking a lease; never renew it again."""
        if self._grant_by_lease.pop((member, epoch), None) is not None:
            self._ended.add((member, epoch))

    def leases(self) -> list[tuple[str, int]]:
        """Return the member and epoch of each tracked lease."""
        return list(self._grant_by_lease)
