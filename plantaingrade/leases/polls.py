"""Collect testimony about leases that seem to have ended."""

from msgspec import Struct, field

from plantaingrade.leases.const import ASK_EVERY_S, POLL_KEPT_S
from plantaingrade.leases.entity import Ask, Testimony, majority


class Poll(Struct):
    """Testimony collected about one lease."""

    member: str
    epoch: int
    witnesses: tuple[str, ...]
    opened_at: float
    expires_at: float
    next_ask_at: float
    testified: set[str] = field(default_factory=set)
    proven_at: float | None = None


class PollTable:
    """Ask the witnesses of suspected leases until a majority has testified."""

    __slots__ = ('_poll_by_member',)

    def __init__(self) -> None:
        """Start without polls."""
        self._poll_by_member: dict[str, Poll] = {}

    def open(
        self,
        member: str,
        epoch: int,
        witnesses: tuple[str, ...],
        now: float,
    ) -> None:
        """Start or prolong a poll; a newer epoch replaces an older one."""
        poll = self._poll_by_member.get(member)
        if poll is not None and poll.proven_at is not None:
            return
        if poll is None or poll.epoch < epoch:
            poll = Poll(member, epoch, witnesses, now, now, now)
            self._poll_by_member[member] = poll
        poll.expires_at = now + POLL_KEPT_S

    def asks(self, now: float, reply_to: str) -> list[Ask]:
        """Return the questions to send now."""
        due: list[Ask] = []
        for poll in list(self._poll_by_member.values()):
            if poll.proven_at is not None or poll.next_ask_at > now:
                continue
            if poll.expires_at < now:
                self._poll_by_member.pop(poll.member)
                continue
            poll.next_ask_at = now + ASK_EVERY_S
            due.extend(
                Ask(poll.member, poll.epoch, witness, reply_to)
                for witness in poll.witnesses
                if witness not in poll.testified
            )
        return due

    def on_testimony(self, testimony: Testimony, now: float) -> bool:
        """Count testimony; return whether it has just proven the end."""
        poll = self._poll_by_member.get(testimony.member)
        if poll is None or poll.proven_at is not None or not testimony.over:
            return False
        # Only the incarnations that the journal names for this epoch count: a
        # witness that restarted knows nothing of the lease.
        named = testimony.witness in poll.witnesses
        if not named or testimony.epoch != poll.epoch:
            return False
        poll.testified.add(testimony.witness)
        if len(poll.testified) < majority(len(poll.witnesses)):
            return False
        poll.proven_at = now
        return True

    def outdate(self, member: str, epoch: int) -> None:
        """Drop what is not proven yet about an older epoch.

        Witnesses that a member has left see no renewals any more, and would
        testify to the end of a lease that is renewed elsewhere.
        """
        poll = self._poll_by_member.get(member)
        if poll is not None and poll.proven_at is None and poll.epoch < epoch:
            self._poll_by_member.pop(member)

    def accept_epoch(self, member: str, epoch: int) -> bool:
        """Tell whether a holder may be judged by a new epoch alone.

        Refused once its end is proven under an older epoch: the holder must
        then go on needing the old witnesses, which renew it no more.
        """
        poll = self._poll_by_member.get(member)
        if poll is None:
            return True
        if poll.proven_at is not None:
            return False
        if poll.epoch < epoch:
            self._poll_by_member.pop(member)
        return True

    def proven_epoch(self, member: str) -> int | None:
        """Return the epoch under which a member's end was proven."""
        poll = self._poll_by_member.get(member)
        if poll is None or poll.proven_at is None:
            return None
        return poll.epoch

    def forget(self, member: str) -> None:
        """Drop what was collected about a member."""
        self._poll_by_member.pop(member, None)

    def members(self) -> list[str]:
        """Return the members under suspicion."""
        return list(self._poll_by_member)
