"""Estimate from its deadline how long a caller has already been waiting."""

from plantaingrade.const import MS_PER_S

# Requests after which the weight of earlier ones is halved.
HALVE_AFTER = 256
# A deadline shorter than usual by less than this is due to the caller's own
# delays only, in seconds.
MIN_WAITED_S = 0.02


class UsualDeadlines:
    """Tracks the usual deadline of each route.

    A caller that retries after a refusal sends what is left of its first
    deadline, so its latency objective ends sooner than that of a first
    attempt. Most requests are first attempts, all with the same deadline, so
    the most frequent deadline is that of a first attempt.
    """

    __slots__ = ('_count_by_deadline_by_route', '_seen', '_usual_by_route')

    def __init__(self) -> None:
        """Start without any deadlines."""
        self._count_by_deadline_by_route: dict[str, dict[int, float]] = {}
        self._usual_by_route: dict[str, int] = {}
        self._seen = 0

    def waited_s(self, route: str, deadline_ms: int) -> float:
        """Record a deadline; return how long the caller has waited already."""
        self._decay()
        counts = self._count_by_deadline_by_route.setdefault(route, {})
        count = counts.get(deadline_ms, 0) + 1
        counts[deadline_ms] = count
        # Only a deadline that has become as frequent as the usual one can
        # replace it, so a full search is needed in that case only.
        usual_ms = self._usual_by_route.get(route)
        if usual_ms is None or count >= counts[usual_ms]:
            usual_ms = max(counts, key=counts.__getitem__)
            self._usual_by_route[route] = usual_ms
        waited_s = (usual_ms - deadline_ms) / MS_PER_S
        return waited_s if waited_s >= MIN_WAITED_S else 0.0

    def _decay(self) -> None:
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
