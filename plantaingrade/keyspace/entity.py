"""Key ranges, and the map from key ranges to owners."""

from bisect import bisect_right

from msgspec import Struct

from plantaingrade.store.epochs import epoch_of

# Keys are integers from 0 to KEY_COUNT - 1, as on the platform.
KEY_COUNT = 65_536


class KeyRange(Struct, frozen=True, order=True):
    """Keys from ``first`` to ``last``, both included."""

    first: int
    last: int

    def __contains__(self, key: int) -> bool:
        """Return whether a key is in the range."""
        return self.first <= key <= self.last

    def __len__(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1

    def overlap(self, other: 'KeyRange') -> 'KeyRange | None':
        """Return the keys that both ranges contain, or None."""
        first = max(self.first, other.first)
        last = min(self.last, other.last)
        return KeyRange(first, last) if first <= last else None

    def without(self, other: 'KeyRange') -> tuple['KeyRange', ...]:
        """Return the parts of this range that are outside the other."""
        if self.overlap(other) is None:
            return (self,)
        rest = []
        if self.first < other.first:
            rest.append(KeyRange(self.first, other.first - 1))
        if self.last > other.last:
            rest.append(KeyRange(other.last + 1, self.last))
        return tuple(rest)


ALL_KEYS = KeyRange(0, KEY_COUNT - 1)


class Assignment(Struct, frozen=True):
    """Key range, the member that owns it, and the fence of its grants."""

    keys: KeyRange
    owner: str
    fence: int


class KeyMap:
    """Assignments of all keys of one service, in key order.

    ``version`` is the version of the store row that holds the map, or 0 if
    there is none. No fence ever used in the map is above ``fence``.
    """

    __slots__ = ('_firsts', 'assignments', 'fence', 'version')

    def __init__(
        self,
        assignments: tuple[Assignment, ...],
        fence: int,
        version: int = 0,
    ) -> None:
        """Index the assignments; they must be in order and without gaps."""
        self.assignments = assignments
        self.fence = fence
        self.version = version
        self._firsts = [each.keys.first for each in assignments]

    @property
    def epoch(self) -> int:
        """Return the store epoch of the row that holds the map."""
        return epoch_of(self.version)

    def find(self, key: int) -> Assignment | None:
        """Return the assignment of a key; None if the map is empty."""
        if not self.assignments:
            return None
        return self.assignments[bisect_right(self._firsts, key) - 1]

    def owned_by(self, owner: str) -> list[Assignment]:
        """Return the assignments of one member."""
        return [each for each in self.assignments if each.owner == owner]

    def owners(self) -> set[str]:
        """Return the names of all members that own keys."""
        return {each.owner for each in self.assignments}

    def at_version(self, version: int) -> 'KeyMap':
        """Return a copy of the map with the version of a store row."""
        return KeyMap(self.assignments, self.fence, version)


NO_MAP = KeyMap((), 0)
