"""Maps of all keyed services as this process knows them."""

from collections.abc import Callable

from plantaingrade.keyspace.assign import is_complete, overlay
from plantaingrade.keyspace.entity import NO_MAP, Assignment, KeyMap

MapListener = Callable[[str, KeyMap], None]


class KeyMaps:
    """Newest known map of each service."""

    __slots__ = ('_listeners', '_map_by_service')

    def __init__(self) -> None:
        """Know no map."""
        self._map_by_service: dict[str, KeyMap] = {}
        self._listeners: list[MapListener] = []

    def listen(self, listener: MapListener) -> None:
        """Call back after each change."""
        self._listeners.append(listener)

    def find(self, service: str) -> KeyMap:
        """Return the map of a service, empty while none is known."""
        return self._map_by_service.get(service, NO_MAP)

    def offer(self, service: str, key_map: KeyMap) -> bool:
        """Take a map if it is newer than the one known."""
        if key_map.version <= self.find(service).version:
            return False
        self._map_by_service[service] = key_map
        for listener in self._listeners:
            listener(service, key_map)
        return True

    def apply(
        self,
        service: str,
        before: int,
        version: int,
        fence: int,
        changes: tuple[Assignment, ...],
    ) -> bool:
        """Take a change; tell whether the map is now of its version or newer.

        A change of a version that is not known here cannot be applied; the
        whole map must then be asked for.
        """
        known = self.find(service)
        if known.version >= version:
            return True
        if known.version != before:
            return False
        key_map = overlay(known, changes, fence).at_version(version)
        if not is_complete(key_map):
            return False
        return self.offer(service, key_map)


def differences(before: KeyMap, after: KeyMap) -> tuple[Assignment, ...]:
    """Return the assignments of a map that an earlier one lacks."""
    return tuple(
        each
        for each in after.assignments
        if before.find(each.keys.first) != each
    )
