"""Polls of witnesses about leases that may have ended."""

from msgspec import Struct, field

from plantaingrade.leases.const import (
    POLL_EXPIRES_AFTER_S,
    TESTIMONY_REQUEST_EVERY_S,
)
from plantaingrade.leases.entity import Testimony, TestimonyRequest, majority


class Poll(Struct):
    """Testimony collected about one lease; times in seconds."""

    member: str
    epoch: int
    witnesses: tuple[str, ...]
    opened_at: float
    expires_at: float
    next_request_at: float
    testified: set[str] = field(default_factory=set)
    proven_at: float | None = None


class PollTable:
    """Poll the witnesses of suspected members until a majority testifies."""

    __slots__ = ('_poll_by_member',)

    def __init__(self) -> None:
        """Start with no polls."""
        self._poll_by_member: dict[str, Poll] = {}

    def open(
        self,
        member: str,
        epoch: int,
        witnesses: tuple[str, ...],
        now: float,
    ) -> None:
        """Start or extend a poll; a newer epoch replaces an older one."""
        poll = self._poll_by_member.get(member)
        if poll is not None and poll.proven_at is not None:
            return
        if poll is None or poll.epoch < epoch:
            poll = Poll(member, epoch, witnesses, now, now, now)
            self._poll_by_member[member] = poll
        poll.expires_at = now + POLL_EXPIRES_AFTER_S

    def requests_due(self, now: float, reply_to: str) -> list[TestimonyRequest]:
        """Return the requests to send now; drop polls that have expired."""
        due: list[TestimonyRequest] = []
        for poll in list(self._poll_by_member.values()):
            if poll.proven_at is not None or poll.next_request_at > now:
                continue
            if poll.expires_at < now:
                self._poll_by_member.pop(poll.member)
                continue
            poll.next_request_at = now + TESTIMONY_REQUEST_EVERY_S
            due.extend(
                TestimonyRequest(poll.member, poll.epoch, witness, reply_to)
                for witness in poll.witnesses
                if witness not in poll.testified
            )
        return due

    def on_testimony(self, testimony: Testimony, now: float) -> bool:
        """Count testimony; return whether it completes the proof of the end."""
        poll = self._poll_by_member.get(testimony.member)
        if poll is None or poll.proven_at is not None or not testimony.over:
            return False
        # Only the incarnations that the journal names for this epoch count: a
        # restarted witness has no record of the lease.
        named = testimony.witness in poll.witnesses
        if not named or testimony.epoch != poll.epoch:
            return False
        poll.testified.add(testimony.witness)
        if len(poll.testified) < majority(len(poll.witnesses)):
            return False
        poll.proven_at = now
        return True

    def drop_outdated(self, member: str, epoch: int) -> None:
        """Drop the poll of an older epoch unless it has proven the end.

        Witnesses that a member has replaced get no renewals any more, and
        would testify to the end of a lease that is renewed elsewhere.
        """
        poll = self._poll_by_member.get(member)
        if poll is not None and poll.proven_at is None and poll.epoch < epoch:
            self._poll_by_member.pop(member)

    def accept_epoch(self, member: str, epoch: int) -> bool:
        """Return whether testimony of a new epoch alone may end a lease.

        Refused once the end is proven under an older epoch: the holder then
        still requires the old witnesses, which no longer renew its lease.
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
        """Return the epoch in which the end of a member's lease was proven."""
        poll = self._poll_by_member.get(member)
        if poll is None or poll.proven_at is None:
            return None
        return poll.epoch

    def forget(self, member: str) -> None:
        """Drop the poll about a member."""
        self._poll_by_member.pop(member, None)

    def members(self) -> list[str]:
        """Return the suspected members."""
        return list(self._poll_by_member)
