"""Choose the member that calls the store for its availability zone. Pure.

Load: what all members ask for at about the same time, one of them can ask for
all. The members of a zone know nearly the same others, and so choose the same
one without messages. Failure: the chosen one is lost, paused or cut off from
the store; those that notice choose another one for a while.
"""

import zlib
from collections.abc import Callable, Iterable

from plantaingrade.peers.entity import Member

# A member that failed is not chosen for this long: faults that cut off an
# instance last for seconds.
FAILURE_PAUSE_S = 10.0


class Delegates:
    """Members that may make one kind of call on behalf of others."""

    __slots__ = ('_failed_until', '_kind', '_members', '_own')

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
        self._failed_until: dict[str, float] = {}

    def choose(self, now: float) -> Member | None:
        """Return the delegate, or None if no other member shares one."""
        usable = [
            member
            for member in self._members(now)
            if member.zone == self._own.zone
            and self._failed_until.get(member.name, 0.0) <= now
        ]
        if all(member.name == self._own.name for member in usable):
            return None
        return min(usable, key=self._rank)

    def on_failure(self, member: Member, now: float) -> None:
        """Choose another member for a while."""
        self._failed_until[member.name] = now + FAILURE_PAUSE_S

    def _rank(self, member: Member) -> tuple[int, str]:
        text = f'{self._kind}/{member.name}'
        return zlib.crc32(text.encode()), member.name
