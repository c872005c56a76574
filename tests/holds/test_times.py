"""Lease timing by the size of a service."""

import pytest

from plantaingrade.holds.const import (
    BASE_LEASE_S,
    ESTIMATE_SLACK_S,
    HOLD_S,
    LEASE_S,
    MAX_LEASE_LEFT_S,
    RENEW_S,
)
from plantaingrade.holds.times import lease_times

# Transactions per second in one part of the platform's store.
TURNS_PER_S = 150


@pytest.mark.parametrize('members', [0, 1, 7, 67, 75])
def test_small_services_use_the_shortest_period(members) -> None:
    times = lease_times(members)
    assert times.renew_s == RENEW_S
    assert times.base_s == BASE_LEASE_S
    assert times.full_s == LEASE_S


@pytest.mark.parametrize('members', [148, 400, 600])
def test_half_of_the_transactions_are_left_for_changes(members) -> None:
    times = lease_times(members)
    assert members / times.renew_s <= TURNS_PER_S / 2


@pytest.mark.parametrize('members', [1, 148, 400, 1000])
def test_each_lease_end_leaves_its_margin(members) -> None:
    """A hold remains when a renewal is due, and the longest store outage."""
    times = lease_times(members)
    assert times.base_s - times.renew_s >= HOLD_S
    assert times.full_s - times.renew_s >= 10
    assert times.full_s + ESTIMATE_SLACK_S <= MAX_LEASE_LEFT_S
