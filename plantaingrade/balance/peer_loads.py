"""Loads reported by other members."""

from plantaingrade.balance.const import MAX_LOAD_AGE_S
from plantaingrade.balance.entity import Load


class PeerLoads:
    """Latest reported load of each member; reports expire."""

    __slots__ = ('_load_by_member',)

    def __init__(self) -> None:
        """Create an empty table of loads."""
        self._load_by_member: dict[str, tuple[Load, float]] = {}

    def record(self, member: str, load: Load, now: float) -> None:
        """Record the load reported by a member."""
        self._load_by_member[member] = (load, now)

    def forget(self, member: str) -> None:
        """Remove a member."""
        self._load_by_member.pop(member, None)

    def find(self, member: str, now: float) -> Load | None:
        """Return the load of a member unless it has expired."""
        entry = self._load_by_member.get(member)
        if entry is None or now - entry[1] > MAX_LOAD_AGE_S:
            return None
        return entry[0]

    def recent(self, now: float) -> dict[str, Load]:
        """Return all loads that have not expired, by member."""
        return {
            member: load
            for member, (load, recorded_at) in self._load_by_member.items()
            if now - recorded_at <= MAX_LOAD_AGE_S
        }
