"""Tests of the estimate of how long a caller has been waiting."""

import random

import pytest

from plantaingrade.requests.usual_deadlines import (
    HALVE_AFTER,
    MIN_WAITED_S,
    UsualDeadlines,
)


class NaiveUsualDeadlines:
    """Reference implementation that searches all deadlines each time."""

    def __init__(self) -> None:
        """Start without any deadlines."""
        self.counts: dict[str, dict[int, float]] = {}
        self.seen = 0

    def waited_s(self, route: str, deadline_ms: int) -> float:
        self.seen += 1
        if self.seen % HALVE_AFTER == 0:
            self.counts = {
                name: {ms: count / 2 for ms, count in each.items() if count > 1}
                for name, each in self.counts.items()
            }
        counts = self.counts.setdefault(route, {})
        counts[deadline_ms] = counts.get(deadline_ms, 0) + 1
        usual_ms = max(counts, key=counts.__getitem__)
        waited_s = (usual_ms - deadline_ms) / 1000
        return waited_s if waited_s >= MIN_WAITED_S else 0.0


def test_shortened_deadline_counts_as_waiting() -> None:
    usual = UsualDeadlines()
    for _ in range(10):
        assert not usual.waited_s('a', 1500)
    assert usual.waited_s('a', 1100) == pytest.approx(0.4)
    assert not usual.waited_s('a', 1495)
    assert not usual.waited_s('a', 2000)


def test_new_usual_deadline_replaces_the_old_one() -> None:
    usual = UsualDeadlines()
    for _ in range(HALVE_AFTER):
        usual.waited_s('a', 1500)
    for _ in range(HALVE_AFTER * 2):
        usual.waited_s('a', 900)
    assert usual.waited_s('a', 700) == pytest.approx(0.2)


def test_results_match_a_search_over_all_deadlines() -> None:
    for seed in range(40):
        draw = random.Random(seed)
        usual, naive = UsualDeadlines(), NaiveUsualDeadlines()
        spread = draw.choice((2, 5, 40, 400))
        for _ in range(HALVE_AFTER * 5):
            route = draw.choice('ab')
            deadline = 1500 - draw.randrange(spread) * draw.choice((1, 30))
            waited_s = usual.waited_s(route, deadline)
            assert waited_s == naive.waited_s(route, deadline)
