"""What the stand-in for a backend server says of itself in its answers."""

from collections.abc import Sequence
from dataclasses import dataclass

from plantaingrade.platform.const import HEADER_LEAVING, HEADER_LIMIT
from plantaingrade.requests.entity import Headers

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

    def headers(self) -> Headers:
        """Return the headers that each answer carries."""
        headers: Headers = ()
        if self.limit:
            headers = (*headers, (HEADER_LIMIT, self.limit.encode()))
        if self.is_leaving:
            headers = (*headers, (HEADER_LEAVING, b'1'))
        return headers


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
