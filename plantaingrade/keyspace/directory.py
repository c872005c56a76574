"""Key maps of all keyed services, as known to this process."""

from collections.abc import Callable

from plantaingrade.keyspace.assign import is_complete, merge, overlay
from plantaingrade.keyspace.entity import NO_MAP, Assignment, KeyMap
from plantaingrade.listeners import notify_all

MapListener = Callable[[str, KeyMap], None]


class KeyMaps:
    """Newest known map of each service.

    After the store has been restored from a backup, its map may lack changes
    that are known here. They are kept until the map in the store contains them
    or later changes of the same keys.
    """

    __slots__ = ('_listeners', '_map_by_service', '_stored_by_service')

    def __init__(self) -> None:
        """Start with no maps."""
        self._map_by_service: dict[str, KeyMap] = {}
        # Maps as stored, of services for which changes are known here that
        # the store lacks.
        self._stored_by_service: dict[str, KeyMap] = {}
        self._listeners: list[MapListener] = []

    def listen(self, listener: MapListener) -> None:
        """Call the listener after each change of a map."""
        self._listeners.append(listener)

    def find(self, service: str) -> KeyMap:
        """Return the map of a service; an empty one if none is known."""
        return self._map_by_service.get(service, NO_MAP)

    def find_stored(self, service: str) -> KeyMap:
        """Return the map of a service as stored under its version."""
        return self._stored_by_service.get(service) or self.find(service)

    def update_if_newer(self, service: str, key_map: KeyMap) -> bool:
        """Use a map if it is newer than the known one; return whether it is."""
        known = self.find(service)
        if key_map.version <= known.version:
            return False
        matches_store = service not in self._stored_by_service
        if matches_store and key_map.epoch == known.epoch:
            self._set(service, key_map)
        else:
            self._set_merged(service, merge(key_map, known), key_map)
        return True

    def apply_unconfirmed(
        self, service: str, changes: tuple[Assignment, ...], fence: int
    ) -> None:
        """Apply changes that may have been committed in an ended epoch.

        The store has lost them, and possibly no other member knows of them.
        """
        stored = self.find_stored(service)
        changed = overlay(self.find(service), changes, fence)
        self._set_merged(service, changed, stored)

    def _set_merged(self, service: str, merged: KeyMap, stored: KeyMap) -> None:
        if merged.assignments == stored.assignments:
            self._stored_by_service.pop(service, None)
        else:
            self._stored_by_service[service] = stored
        self._set(service, merged)

    def _set(self, service: str, key_map: KeyMap) -> None:
        self._map_by_service[service] = key_map
        notify_all(self._listeners, service, key_map)

    def apply(
        self,
        service: str,
        before: int,
        version: int,
        fence: int,
        changes: tuple[Assignment, ...],
    ) -> bool:
        """Apply a change; return whether the map has its version or a newer.

        A change to any other version than the known one cannot be applied. The
        whole map must then be requested.
        """
        known = self.find(service)
        if known.version >= version:
            return True
        if known.version != before:
            return False
        key_map = overlay(known, changes, fence).at_version(version)
        if not is_complete(key_map):
            return False
        return self.update_if_newer(service, key_map)


def differences(before: KeyMap, after: KeyMap) -> tuple[Assignment, ...]:
    """Return the assignments of a map that differ from an earlier one."""
    return tuple(
        each
        for each in after.assignments
        if before.find(each.keys.first) != each
    )
