"""How long a caller has been waiting, by its deadline."""

import random

import pytest

from plantaingrade.requests.usual_deadlines import (
    HALVE_AFTER,
    MIN_WAITED_S,
    Patience,
)


class SlowPatience:
    """The same, looking through every deadline each time."""

    def __init__(self) -> None:
        """Know no deadlines."""
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


def test_a_caller_that_came_back_has_waited() -> None:
    patience = Patience()
    for _ in range(10):
        assert not patience.waited_s('a', 1500)
    assert patience.waited_s('a', 1100) == pytest.approx(0.4)
    assert not patience.waited_s('a', 1495)
    assert not patience.waited_s('a', 2000)


def test_a_new_usual_deadline_takes_the_place_of_the_old_one() -> None:
    patience = Patience()
    for _ in range(HALVE_AFTER):
        patience.waited_s('a', 1500)
    for _ in range(HALVE_AFTER * 2):
        patience.waited_s('a', 900)
    assert patience.waited_s('a', 700) == pytest.approx(0.2)


def test_any_run_of_deadlines_is_judged_as_by_looking_through_all() -> None:
    for seed in range(40):
        draw = random.Random(seed)
        patience, slow = Patience(), SlowPatience()
        spread = draw.choice((2, 5, 40, 400))
        for _ in range(HALVE_AFTER * 5):
            route = draw.choice('ab')
            deadline = 1500 - draw.randrange(spread) * draw.choice((1, 30))
            waited_s = patience.waited_s(route, deadline)
            assert waited_s == slow.waited_s(route, deadline)
