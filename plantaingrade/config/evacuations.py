"""Availability zones that operators have asked to be evacuated. Pure."""

from collections.abc import Callable

from plantaingrade.store.entity import Row

Listener = Callable[[frozenset[str], bool], None]


class Evacuations:
    """Zones whose servers get nothing, by the rows of the operators' table.

    A row stands for each evacuation until it is taken back. What was learned
    from a whole read may be of any age, while a change is of just now; the
    listener is told which.
    """

    __slots__ = ('_listener', '_prefix', 'zones')

    def __init__(self, prefix: str) -> None:
        """Know of no evacuation; rows of evacuations begin with ``prefix``."""
        self._prefix = prefix
        self._listener: Listener | None = None
        self.zones: frozenset[str] = frozenset()

    def subscribe(self, listener: Listener) -> None:
        """Have a listener told of all zones, and whether that is news."""
        self._listener = listener

    def on_rows(
        self,
        rows: tuple[Row, ...],
        *,
        is_whole: bool,
        may_lack: bool = False,
    ) -> None:
        """Follow rows of the table: all that it has, or what has changed.

        An evacuation that the store ``may_lack`` goes on until it is known
        whether it was taken back.
        """
        is_replaced = is_whole and not may_lack
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
            self._listener(self.zones, not is_whole)
