"""What is known of the loads of other servers."""

from plantaingrade.balance.const import LOAD_MAX_AGE_S
from plantaingrade.balance.entity import Load


class PeerLoads:
    """Newest load of each member, with its age."""

    __slots__ = ('_seen_by_member',)

    def __init__(self) -> None:
        """Know nothing."""
        self._seen_by_member: dict[str, tuple[Load, float]] = {}

    def record(self, member: str, load: Load, now: float) -> None:
        """Take what a member said of its load."""
        self._seen_by_member[member] = (load, now)

    def forget(self, member: str) -> None:
        """Drop a member."""
        self._seen_by_member.pop(member, None)

    def find(self, member: str, now: float) -> Load | None:
        """Return a member's load unless it is too old."""
        seen = self._seen_by_member.get(member)
        if seen is None or now - seen[1] > LOAD_MAX_AGE_S:
            return None
        return seen[0]

    def fresh(self, now: float) -> dict[str, Load]:
        """Return all loads that are not too old, by member."""
        return {
            member: load
            for member, (load, seen_at) in self._seen_by_member.items()
            if now - seen_at <= LOAD_MAX_AGE_S
        }
