"""Choose the member that calls the store for its availability zone. Pure.

Load: what all members ask for at about the same time, one of them can ask for
all. The members of a zone know nearly the same others, and so choose the same
one without messages. Failure: the chosen one is lost, paused or cut off from
the store; those that notice choose another one for a while.
"""

import zlib
from collections.abc import Callable, Iterable

from plantaingrade.peers.entity import Member
from plantaingrade.peers.failure_pauses import FailurePauses


class Delegates:
    """Members that may make one kind of call on behalf of others."""

    __slots__ = ('_kind', '_members', '_own', 'failures')

    def __init__(
        self,
        own: Member,
        kind: str,
        members: Callable[[float], Iterable[Member]],
    ) -> None:
        """Choose for one member among those that are usable at a time.

        Each ``kind`` of call has a delegate of its own.
        """
        self._own = own
        self._kind = kind
        self._members = members
        self.failures = FailurePauses()

    def choose(self, now: float) -> Member | None:
        """Return the delegate, or None if no other member shares one."""
        usable = [
            member
            for member in self._members(now)
            if member.zone == self._own.zone
            and not self.failures.is_paused(member.name, now)
        ]
        if all(member.name == self._own.name for member in usable):
            return None
        return min(usable, key=self._rank)

    def _rank(self, member: Member) -> tuple[int, str]:
        text = f'{self._kind}/{member.name}'
        return zlib.crc32(text.encode()), member.name
