"""Zones that operators want evacuated; performs no I/O."""

from collections.abc import Callable

from plantaingrade.store.entity import Row

Listener = Callable[[frozenset[str], bool], None]


class Evacuations:
    """Zones whose servers get no requests, from the operators' table.

    Each evacuation has a row, deleted when it is revoked. Rows of a full read
    may be of any age, while changed rows are recent; the listener is passed
    which of the two applies.
    """

    __slots__ = ('_listener', '_prefix', 'zones')

    def __init__(self, prefix: str) -> None:
        """Start without evacuations; their rows have keys with ``prefix``."""
        self._prefix = prefix
        self._listener: Listener | None = None
        self.zones: frozenset[str] = frozenset()

    def subscribe(self, listener: Listener) -> None:
        """Set the callback for all evacuated zones and whether it is recent."""
        self._listener = listener

    def on_rows(
        self,
        rows: tuple[Row, ...],
        *,
        is_full_read: bool,
        may_lack_rows: bool = False,
    ) -> None:
        """Apply all rows of the table, or the changed ones.

        With ``may_lack_rows``, known evacuations stay until it is known whether
        they were revoked.
        """
        is_replaced = is_full_read and not may_lack_rows
        zones = set() if is_replaced else set(self.zones)
        for row in rows:
            if not row.name.key.startswith(self._prefix):
                continue
            zone = row.name.key.removeprefix(self._prefix)
            if row.is_deleted:
                zones.discard(zone)
            else:
                zones.add(zone)
        if zones == self.zones:
            return
        self.zones = frozenset(zones)
        if self._listener is not None:
            self._listener(self.zones, not is_full_read)
