"""Buffer of map changes that arrived out of order. Pure.

Handles this load: dozens of members change the same map and each sends its own
datagrams. Of two changes made within milliseconds, the later one often arrives
first. Fetching the whole map at once would send it to nearly every member for
nearly every change.
"""

from plantaingrade.peers.entity import MapChanged

# Buffered changes for each service: enough for several seconds.
MAX_PENDING = 64


class OutOfOrderChanges:
    """Changes that cannot be applied yet, by their base version."""

    __slots__ = ('_change_by_base_by_service',)

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._change_by_base_by_service: dict[str, dict[int, MapChanged]] = {}

    def add(self, change: MapChanged) -> None:
        """Buffer a change until its base version is known."""
        changes = self._change_by_base_by_service.setdefault(change.service, {})
        changes[change.before] = change
        while len(changes) > MAX_PENDING:
            changes.pop(min(changes))

    def pop_next(self, service: str, version: int) -> MapChanged | None:
        """Remove and return the change based on a version; drop older ones."""
        changes = self._change_by_base_by_service.get(service, {})
        stale = [base for base in changes if base < version]
        for base in stale:
            changes.pop(base)
        return changes.pop(version, None)

    def newest_version(self, service: str) -> int:
        """Return the newest version among the changes, 0 without any."""
        changes = self._change_by_base_by_service.get(service, {})
        return max((each.version for each in changes.values()), default=0)
