"""Key ranges, and the map from keys to owners."""

from bisect import bisect_right

from msgspec import Struct

from plantaingrade.store.epochs import epoch_of

# Keys are whole numbers from 0 to KEY_COUNT - 1, as the platform numbers them.
KEY_COUNT = 65_536


class KeyRange(Struct, frozen=True, order=True):
    """Keys from ``first`` to ``last``, both included."""

    first: int
    last: int

    def __contains__(self, key: int) -> bool:
        """Tell whether a key lies in the range."""
        return self.first <= key <= self.last

    def __len__(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1

    def overlap(self, other: 'KeyRange') -> 'KeyRange | None':
        """Return the keys that both ranges hold."""
        first = max(self.first, other.first)
        last = min(self.last, other.last)
        return KeyRange(first, last) if first <= last else None

    def without(self, other: 'KeyRange') -> tuple['KeyRange', ...]:
        """Return what is left of this range when the other is taken out."""
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
    """A range, the member that owns it, and the fence of its grants."""

    keys: KeyRange
    owner: str
    fence: int


class KeyMap:
    """All assignments of one service, in order, covering every key.

    ``version`` is the version of the store's row that holds the map, 0 while
    there is none; ``fence`` is above every fence ever used in it.
    """

    __slots__ = ('_firsts', 'assignments', 'fence', 'version')

    def __init__(
        self,
        assignments: tuple[Assignment, ...],
        fence: int,
        version: int = 0,
    ) -> None:
        """Index assignments that are in order and leave no gap."""
        self.assignments = assignments
        self.fence = fence
        self.version = version
        self._firsts = [each.keys.first for each in assignments]

    @property
    def epoch(self) -> int:
        """Return the epoch of the store whose row holds the map."""
        return epoch_of(self.version)

    def find(self, key: int) -> Assignment | None:
        """Return the assignment of a key."""
        if not self.assignments:
            return None
        return self.assignments[bisect_right(self._firsts, key) - 1]

    def owned_by(self, owner: str) -> list[Assignment]:
        """Return the assignments of one member."""
        return [each for each in self.assignments if each.owner == owner]

    def owners(self) -> set[str]:
        """Return every member that owns keys."""
        return {each.owner for each in self.assignments}

    def at_version(self, version: int) -> 'KeyMap':
        """Return the same map as the store's row of a version."""
        return KeyMap(self.assignments, self.fence, version)


NO_MAP = KeyMap((), 0)
