"""Many members change the map at the same moment.

Sixty members that restart together need new fences at once. If each change made
the others fail and they were retried at once, failing changes would fill the
store's part, and the last member would get its keys after 15 s.
"""

import asyncio
import random

from plantaingrade.holds.backoff import (
    MAX_WINDOW_S,
    MIN_WINDOW_S,
    ConflictBackoff,
)
from plantaingrade.keyspace.entity import KEY_COUNT
from tests.holds.fakes import FakeCluster
from tests.virtual import run

MEMBERS = 60
# The platform's store handles 150 transactions a second in one part.
TURN_S = 1 / 150
SETTLED_S = 15.0
MAX_RETURN_S = 7.0
# Two or three changes, renewals, and some that fail by conflicts.
MAX_COMMITS_EACH = 12
POLL_S = 0.1


def test_members_that_restart_together_hold_their_keys_soon() -> None:
    async def scenario() -> tuple[float, int]:
        cluster = FakeCluster()
        cluster.rows.turn_s = TURN_S
        for member in range(MEMBERS):
            cluster.add(f'm{member}')
        await asyncio.sleep(SETTLED_S)
        assert cluster.held_keys() == KEY_COUNT
        for member in list(cluster.members):
            cluster.kill(member)
            cluster.restart_server(member)
        for member in list(cluster.members):
            cluster.restart(member)
        before = sum(member.store.commits for member in cluster.members)
        started_at = asyncio.get_running_loop().time()
        while cluster.held_keys() < KEY_COUNT:
            await asyncio.sleep(POLL_S)
        response_s = asyncio.get_running_loop().time() - started_at
        commits = sum(member.store.commits for member in cluster.members)
        await cluster.async_stop()
        return response_s, commits - before

    response_s, commits = run(scenario())
    assert response_s < MAX_RETURN_S
    assert commits < MAX_COMMITS_EACH * MEMBERS


def test_pauses_grow_with_conflicts() -> None:
    backoff = ConflictBackoff(random.Random(1))
    pauses = [backoff.on_conflict(0.0) for _ in range(MEMBERS)]
    assert pauses[0] <= MIN_WINDOW_S
    assert MIN_WINDOW_S < max(pauses) <= MAX_WINDOW_S


def test_pauses_shrink_with_successes() -> None:
    backoff = ConflictBackoff(random.Random(1))
    for _ in range(MEMBERS):
        backoff.on_conflict(0.0)
    for _ in range(MEMBERS):
        backoff.on_success()
    assert backoff.on_conflict(0.0) <= MIN_WINDOW_S


def test_a_slow_response_widens_the_window_at_once() -> None:
    """Sixty changes wait for their turns, each for a quarter of a second.

    If the window only doubled from 20 ms, it would be wide enough only after
    four such responses.
    """
    backoff = ConflictBackoff(random.Random(1))
    pauses = [backoff.on_conflict(MAX_WINDOW_S) for _ in range(MEMBERS)]
    assert max(pauses[: MEMBERS // 10]) > MAX_WINDOW_S / 4
    backoff.on_success()
    assert backoff.deferral_s() <= MAX_WINDOW_S
