"""What the stand-in for a backend server says of itself in its answers."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from plantaingrade.platform.const import HEADER_LEAVING, HEADER_LIMIT
from plantaingrade.requests.entity import Headers
from standins.incarnation import Incarnation

# The platform tolerates one and a half times the limit, and some requests more,
# in any span of this length.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5


@dataclass(slots=True)
class Notices:
    """State that a server names; ``limit`` is the text of its header."""

    limit: str = ''
    is_leaving: bool = False
    _named: tuple[str, bool] = ('', False)

    def take_change(self) -> bool:
        """Return whether the state differs from the last time."""
        named = (self.limit, self.is_leaving)
        is_changed = named != self._named
        self._named = named
        return is_changed

    def to_told(self, incarnation: Incarnation, now: float) -> 'Told':
        """Return the state as an incarnation names it now."""
        return Told(
            incarnation.instance,
            incarnation.started_at_ms,
            self.limit,
            self.is_leaving,
            now,
        )

    def update(self, fields: dict[str, Any]) -> None:
        """Apply a command; fields that it lacks stay."""
        self.limit = fields.get('limit', self.limit)
        self.is_leaving = fields.get('leaving', self.is_leaving)

    def headers(self) -> Headers:
        """Return the headers that each answer carries."""
        headers: Headers = ()
        if self.limit:
            headers = (*headers, (HEADER_LIMIT, self.limit.encode()))
        if self.is_leaving:
            headers = (*headers, (HEADER_LEAVING, b'1'))
        return headers


@dataclass(slots=True, frozen=True)
class Told:
    """State that an incarnation named in an answer at a point in time."""

    instance: str
    born_ms: int
    limit: str
    is_leaving: bool
    at: float


def tolerated(per_s: float) -> float:
    """Return how many requests a limited server may get in any window."""
    return OVERAGE * per_s * WINDOW_S + SLACK


def max_in_window(times: Sequence[float], window_s: float = WINDOW_S) -> int:
    """Return the largest number of times in any window."""
    ordered = sorted(times)
    most = 0
    first = 0
    for last, time in enumerate(ordered):
        while time - ordered[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
