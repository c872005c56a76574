"""Tell from its deadline how long a caller has been waiting already."""

from plantaingrade.const import MS_PER_S

# Requests after which older ones count half.
HALVE_AFTER = 256
# Deadlines shorter than usual by less than this were shortened by nothing but
# the caller's own delays, in seconds.
MIN_WAITED_S = 0.02


class Patience:
    """The usual deadline of each route.

    A caller that comes back after a refusal waits only for what is left of
    its first deadline, so its objective ends sooner than that of a caller
    that has just begun. Most callers have just begun, all with the same
    deadline; the most frequent one is that of a first attempt.
    """

    __slots__ = ('_count_by_deadline_by_route', '_seen', '_usual_by_route')

    def __init__(self) -> None:
        """Know no deadlines."""
        self._count_by_deadline_by_route: dict[str, dict[int, float]] = {}
        self._usual_by_route: dict[str, int] = {}
        self._seen = 0

    def waited_s(self, route: str, deadline_ms: int) -> float:
        """Count a request and return how long its caller has waited."""
        self._age()
        counts = self._count_by_deadline_by_route.setdefault(route, {})
        count = counts.get(deadline_ms, 0) + 1
        counts[deadline_ms] = count
        # Only a deadline that has become as frequent as the usual one can take
        # its place, so the others need not be looked through.
        usual_ms = self._usual_by_route.get(route)
        if usual_ms is None or count >= counts[usual_ms]:
            usual_ms = max(counts, key=counts.__getitem__)
            self._usual_by_route[route] = usual_ms
        waited_s = (usual_ms - deadline_ms) / MS_PER_S
        return waited_s if waited_s >= MIN_WAITED_S else 0.0

    def _age(self) -> None:
        self._seen += 1
        if self._seen % HALVE_AFTER:
            return
        self._usual_by_route.clear()
        for route, counts in self._count_by_deadline_by_route.items():
            self._count_by_deadline_by_route[route] = {
                deadline: count / 2
                for deadline, count in counts.items()
                if count > 1
            }
