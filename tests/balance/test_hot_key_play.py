"""Simulation of one key that needs several times the slots of any server.

The key begins on the slowest server. Its callers get what the fastest server
can do, but for the time of the move.
"""

from pathlib import Path

import pytest

from lab.__main__ import simulate
from lab.policies import PRESENT

WORK_S = 0.32
SLOTS = 9
FASTEST = 1.6
HOT_PER_S = 75
# Part of the work of the fastest server that callers must get in time: the key
# is on the slowest at first, and unserved while it moves.
MIN_PART = 0.75
# Part of the other requests: all servers but one have room for them.
MIN_SERVED_BESIDE = 0.9
DEPLOYMENT = f"""
zones = ["a", "b", "c"]
length_s = 5.0
warm_s = 4.0

[[service]]
name = "statements"
servers = 15
slots = {SLOTS}
speeds = [{FASTEST}, 0.6, 1.0]
is_keyed = true

[[kind]]
name = "hot-view"
service = "statements"
per_s = {HOT_PER_S}
work_ms = {WORK_S * 1000}
objective_ms = 1084
deadline_ms = 6500
worth = 1
retries = 2

[[kind]]
name = "view"
service = "statements"
per_s = 75
work_ms = {WORK_S * 1000}
objective_ms = 1084
deadline_ms = 6500
worth = 1
retries = 2

[[hot]]
at_s = 4.0
for_s = 5.0
share = 1.0
keys = 1
kind = "hot-view"
"""


@pytest.fixture(scope='module', params=[1, 2])
def shares_by_kind(request, tmp_path_factory) -> dict[str, dict[str, float]]:
    """Return the results of each kind of requests, as shares."""
    path: Path = tmp_path_factory.mktemp('hot-key') / 'hot-key.toml'
    path.write_text(DEPLOYMENT, encoding='utf-8')
    return simulate(str(path), PRESENT, request.param)['kinds']


def test_callers_of_a_hot_key_get_what_the_fastest_server_can_do(
    shares_by_kind,
) -> None:
    possible = SLOTS * FASTEST / WORK_S / HOT_PER_S
    assert shares_by_kind['hot-view']['in-time'] >= MIN_PART * possible


def test_other_keys_are_served_beside_a_hot_one(shares_by_kind) -> None:
    assert shares_by_kind['view']['in-time'] >= MIN_SERVED_BESIDE
