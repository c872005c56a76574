"""Tests for how soon a change of the load shows in the measured demand."""

from pytest import approx

from plantaingrade.balance.const import RECENT_S
from plantaingrade.balance.meter import LoadMeter

WORK_S = 0.3
CALM_PER_S = 15
HOT_PER_S = 200
START_S = 10.0


def send(meter: LoadMeter, per_s: int, from_s: float, to_s: float) -> None:
    """Add requests at an even rate, checked as often as by the balancing."""
    for index in range(round((to_s - from_s) * per_s)):
        now = from_s + index / per_s
        meter.observe(index % 60, WORK_S, now)
        if index % 5 == 0:
            meter.adapt(now)
    meter.adapt(to_s)


def test_group_that_turns_hot_is_measured_within_half_a_second() -> None:
    """Averaged with the calm before it, a hot group appears a third as hot."""
    meter = LoadMeter()
    send(meter, CALM_PER_S, 0.0, START_S)
    send(meter, HOT_PER_S, START_S, START_S + 0.5)
    assert meter.demand(START_S + 0.5) >= 0.8 * HOT_PER_S * WORK_S


def test_group_that_has_cooled_moves_no_more_keys() -> None:
    meter = LoadMeter()
    send(meter, HOT_PER_S, 0.0, START_S)
    send(meter, CALM_PER_S, START_S, START_S + 0.6)
    assert meter.demand(START_S + 0.6) <= 0.2 * HOT_PER_S * WORK_S


def test_even_load_keeps_the_whole_window() -> None:
    """Fewer samples of an even rate would only be less exact."""
    meter = LoadMeter()
    send(meter, CALM_PER_S, 0.0, START_S)
    assert len(meter.by_key(START_S)) > 2 * RECENT_S * CALM_PER_S
    assert meter.demand(START_S) == approx(CALM_PER_S * WORK_S, rel=0.1)
