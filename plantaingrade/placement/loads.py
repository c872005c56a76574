"""Find the least loaded server efficiently."""

import heapq
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from plantaingrade.journal.entity import MemberRow

Entry = tuple[float, str]
LoadOf = Callable[[MemberRow], float]


class LoadHeaps:
    """Heaps of servers by load, one for each availability zone.

    A lookup takes logarithmic time in the number of servers: after the loss of
    a zone, it is needed for each of thousands of slices.
    """

    __slots__ = ('_heap_by_zone', '_load_of', '_row_by_member')

    def __init__(self, rows: Iterable[MemberRow], load_of: LoadOf) -> None:
        """Build the heaps from the current loads."""
        self._load_of = load_of
        self._row_by_member = {row.member: row for row in rows}
        self._heap_by_zone: dict[str, list[Entry]] = defaultdict(list)
        for row in self._row_by_member.values():
            self._heap_by_zone[row.zone].append((load_of(row), row.member))
        for heap in self._heap_by_zone.values():
            heapq.heapify(heap)

    def least(
        self,
        excluded: Collection[str | None] = (),
        avoided_zone: str = '',
    ) -> MemberRow | None:
        """Return the least loaded server, outside one zone if possible."""
        elsewhere = [
            zone for zone in self._heap_by_zone if zone != avoided_zone
        ]
        for zones in (elsewhere, [avoided_zone]):
            tops = [self._top(zone, excluded) for zone in zones]
            found = [top for top in tops if top is not None]
            if found:
                return self._row_by_member[min(found)[1]]
        return None

    def _top(self, zone: str, excluded: Collection[str | None]) -> Entry | None:
        heap = self._heap_by_zone.get(zone, [])
        skipped = []
        top = None
        while heap and top is None:
            load, member = heap[0]
            present = self._load_of(self._row_by_member[member])
            if present == load and member not in excluded:
                top = heap[0]
            elif present == load:
                skipped.append(heapq.heappop(heap))
            else:
                heapq.heapreplace(heap, (present, member))
        for entry in skipped:
            heapq.heappush(heap, entry)
        return top
