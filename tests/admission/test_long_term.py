"""Tests for durations of work averaged over seconds."""

import random

from plantaingrade.admission.estimate import WorkEstimate

WORK_S = 0.3
SLOTS = 9
# A fifth of the servers take three times as long, drawn anew each interval.
NOISY_SHARE = 0.2
NOISE = 3.0
INTERVAL_S = 0.4
MEAN_FACTOR = 1 + NOISY_SHARE * (NOISE - 1)
KIND = 'look-up'


def observe(
    estimate: WorkEstimate, factor: float, from_s: float, to_s: float
) -> None:
    """Add the work of a busy server between two times."""
    step_s = WORK_S / SLOTS
    now = from_s
    while now < to_s:
        estimate.observe(KIND, WORK_S * factor)
        estimate.long_term.observe(KIND, WORK_S * factor, now)
        now += step_s


def test_short_slowdown_changes_expected_but_not_long_term_duration() -> None:
    """Keys leave a server that is slowed by others for half a second."""
    estimate = WorkEstimate()
    rng = random.Random(1)
    momentary, long_term = [], []
    for interval in range(100):
        factor = NOISE if rng.random() < NOISY_SHARE else 1.0
        start = interval * INTERVAL_S
        observe(estimate, factor, start, start + INTERVAL_S)
        momentary.append(estimate.expected_s(KIND) / WORK_S)
        long_term.append(estimate.long_term_s(KIND) / WORK_S)
    settled = long_term[20:]
    assert max(momentary) > 0.8 * NOISE
    assert max(settled) < 0.8 * NOISE
    assert sum(settled) / len(settled) < 1.2 * MEAN_FACTOR


def test_server_that_stays_slow_is_known_within_two_seconds() -> None:
    estimate = WorkEstimate()
    observe(estimate, 1.0, 0.0, 10.0)
    observe(estimate, 4.0, 10.0, 12.0)
    assert estimate.long_term_s(KIND) > 1.5 * WORK_S


def test_duration_without_samples_is_the_momentary_one() -> None:
    estimate = WorkEstimate()
    estimate.observe(KIND, WORK_S)
    assert estimate.long_term_s(KIND) == WORK_S
    assert estimate.long_term_mean_s() == WORK_S
