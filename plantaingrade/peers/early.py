"""Changes of maps that came before those they were made from. Pure.

Load that answers: dozens of members change one map, and the datagrams that
tell of it come from different senders. Of two changes that were made within
some milliseconds the later one often arrives first. Asked for at once, the
whole map would be sent to nearly every member for nearly every change.
"""

from plantaingrade.peers.entity import MapChanged

# Changes that are kept of one service: those of some seconds.
MAX_EARLY = 64


class EarlyChanges:
    """What cannot be applied yet, by the version that it was made from."""

    __slots__ = ('_change_by_base_by_service',)

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._change_by_base_by_service: dict[str, dict[int, MapChanged]] = {}

    def keep(self, change: MapChanged) -> None:
        """Keep a change until the one before it is here."""
        changes = self._change_by_base_by_service.setdefault(change.service, {})
        changes[change.before] = change
        while len(changes) > MAX_EARLY:
            changes.pop(min(changes))

    def take(self, service: str, version: int) -> MapChanged | None:
        """Return the change that was made from a version; drop older ones."""
        changes = self._change_by_base_by_service.get(service, {})
        stale = [base for base in changes if base < version]
        for base in stale:
            changes.pop(base)
        return changes.pop(version, None)

    def newest(self, service: str) -> int:
        """Return the newest version that is spoken of, 0 if none is."""
        changes = self._change_by_base_by_service.get(service, {})
        return max((each.version for each in changes.values()), default=0)
