"""Maps of all keyed services as this process knows them."""

from collections.abc import Callable

from plantaingrade.keyspace.assign import is_complete, merge, overlay
from plantaingrade.keyspace.entity import NO_MAP, Assignment, KeyMap

MapListener = Callable[[str, KeyMap], None]


class KeyMaps:
    """Newest known map of each service.

    After the store has come back from a copy its map may lack what is known
    here. That is kept until the store's map holds it too, or later changes.
    """

    __slots__ = ('_listeners', '_map_by_service', '_stored_by_service')

    def __init__(self) -> None:
        """Know no map."""
        self._map_by_service: dict[str, KeyMap] = {}
        # Maps as they stand in the store, where more is known here.
        self._stored_by_service: dict[str, KeyMap] = {}
        self._listeners: list[MapListener] = []

    def listen(self, listener: MapListener) -> None:
        """Call back after each change."""
        self._listeners.append(listener)

    def find(self, service: str) -> KeyMap:
        """Return the map of a service, empty while none is known."""
        return self._map_by_service.get(service, NO_MAP)

    def find_stored(self, service: str) -> KeyMap:
        """Return the map as the store's row of its version holds it."""
        return self._stored_by_service.get(service) or self.find(service)

    def update_if_newer(self, service: str, key_map: KeyMap) -> bool:
        """Take a map if it is newer than the one known."""
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
        """Go by changes that may have been made in an epoch that is over.

        Nobody else may know of them, and the store doesn't any more.
        """
        stored = self.find_stored(service)
        supposed = overlay(self.find(service), changes, fence)
        self._set_merged(service, supposed, stored)

    def _set_merged(self, service: str, merged: KeyMap, stored: KeyMap) -> None:
        if merged.assignments == stored.assignments:
            self._stored_by_service.pop(service, None)
        else:
            self._stored_by_service[service] = stored
        self._set(service, merged)

    def _set(self, service: str, key_map: KeyMap) -> None:
        self._map_by_service[service] = key_map
        for listener in self._listeners:
            listener(service, key_map)

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
        return self.update_if_newer(service, key_map)


def differences(before: KeyMap, after: KeyMap) -> tuple[Assignment, ...]:
    """Return the assignments of a map that an earlier one lacks."""
    return tuple(
        each
        for each in after.assignments
        if before.find(each.keys.first) != each
    )
