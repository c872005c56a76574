"""Tests of the generator of random days."""

import tomllib

from tools.random_days import FAULTS, FIRST_S, LAST_S, RandomDay

SEEDS = range(300)


def test_seed_draws_the_same_day_again() -> None:
    assert RandomDay.from_seed(5) == RandomDay.from_seed(5)
    assert RandomDay.from_seed(5) != RandomDay.from_seed(6)


def test_days_are_readable_and_all_their_entries_have_a_time() -> None:
    for seed in SEEDS:
        days = tomllib.loads(RandomDay.from_seed(seed).to_toml())['day']
        assert len(days) == 1
        for entry in days[0]['plan'] + days[0]['faults']:
            assert FIRST_S <= entry['at'] <= LAST_S


def test_all_kinds_of_faults_and_changes_are_drawn() -> None:
    days = [RandomDay.from_seed(seed) for seed in SEEDS]
    faults = {entry['kind'] for day in days for entry in day.faults}
    planned = {entry['kind'] for day in days for entry in day.plan}
    assert len(faults) >= len(set(FAULTS))
    assert planned == {
        'big_config',
        'config_change',
        'config_storm',
        'roll_term',
    }
