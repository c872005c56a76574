"""Tests for how soon a hot range is moved."""

import asyncio
import os
import random
from types import SimpleNamespace

import pytest

from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.slots import SlotQueue
from plantaingrade.backends.incarnation import IncarnationTracker
from plantaingrade.balance.const import (
    MAX_MOVES,
    MIN_OWNED_S,
    POLL_INTERVAL_S,
)
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.balance.service_peers import LEAVING_SHARE
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.backoff import ConflictBackoff
from plantaingrade.keyspace.entity import Assignment, KeyRange
from plantaingrade.peers.entity import Member, Offer, OfferReply
from tests.virtual import LoopClock, run

OWN = Member('s@1', 's', 'a', '1', 'b1')
WORK_S = 0.06
SLOTS = 6
IDLE = Load(0.1, WORK_S, SLOTS)
# Start of virtual time, and interval between requests under calm load.
START_S = 1000.0
CALM_PAUSE_S = 0.1
HOT_KEYS = range(20_200, 20_300)


class FakeHolds:
    """Fake holds with one range at first; transferred keys are removed.

    The first transfer lasts for ``first_release_s`` seconds.
    """

    def __init__(self, first_release_s: float = 0.0) -> None:
        self.first_release_s = first_release_s
        self.ranges = [KeyRange(0, 65_535)]
        self.moved_at: list[float] = []
        self.registry = SimpleNamespace(
            is_joined=True,
            accepts_keys=True,
            is_waiting=False,
            key_map=self,
            backoff=ConflictBackoff(random.Random(1)),
        )

    def owned_by(self, name: str) -> list[Assignment]:
        return [Assignment(keys, name, 1) for keys in self.ranges]

    async def async_is_store_available(self) -> bool:
        return True

    async def async_transfer(self, keys: list[KeyRange], _: str) -> bool:
        self.moved_at.append(asyncio.get_running_loop().time())
        if len(self.moved_at) == 1:
            await asyncio.sleep(self.first_release_s)
        for moved in keys:
            self.ranges = [
                rest for each in self.ranges for rest in each.without(moved)
            ]
        return True


class FakePeers:
    """Fake peers: three idle members that accept all offers."""

    def __init__(self) -> None:
        self.loads = PeerLoads()
        self.load_by_name = {f's@{index}': IDLE for index in '234'}

    def names(self) -> list[str]:
        return list(self.load_by_name)

    def must_yield(self, _: float) -> bool:
        return False

    def publish_targets(self, _: random.Random) -> list[str]:
        return list(self.load_by_name)

    def receivers(self, _: float) -> dict[str, Load]:
        return self.load_by_name

    async def async_offer(self, target: str, _: Offer) -> OfferReply:
        return OfferReply(True, 0.1, WORK_S, SLOTS)

    def tell_load(self, *_: object) -> None:
        """Send nothing."""


def make_coordinator(
    holds: FakeHolds, life: IncarnationTracker
) -> BalanceCoordinator:
    clock = LoopClock()
    peers = FakePeers()
    return BalanceCoordinator(
        OWN,
        holds,
        life,
        SlotQueue(SLOTS, WorkEstimate()),
        peers,
        peers,
        peers,
        clock,
        EventLog('t', clock, os.open(os.devnull, os.O_WRONLY)),
    )


def simulate(
    calm_s: float,
    hot_s: float,
    turns: ConflictBackoff | None = None,
    calm_load: float = 0.0,
    first_release_s: float = 0.0,
) -> list[float]:
    """Return when ranges were moved, in seconds since the hot range began."""
    holds = FakeHolds(first_release_s)
    holds.registry.backoff = turns or holds.registry.backoff

    async def scenario() -> float:
        clock = LoopClock()
        balance = make_coordinator(holds, IncarnationTracker())
        task = asyncio.create_task(balance.async_run())
        while clock.now() < START_S + calm_s:
            if calm_load:
                work_s = calm_load * SLOTS * CALM_PAUSE_S
                balance.observe(HOT_KEYS[0], work_s)
            await asyncio.sleep(CALM_PAUSE_S)
        started_at = clock.now()
        while clock.now() < started_at + hot_s:
            for key in HOT_KEYS:
                if any(key in keys for keys in holds.ranges):
                    balance.observe(key, WORK_S)
            await asyncio.sleep(0.1)
        task.cancel()
        return started_at

    started_at = run(scenario())
    return [time - started_at for time in holds.moved_at]


def test_hot_range_is_moved_at_the_first_poll() -> None:
    """Keys owned for long become hot, but are moved only after a delay.

    This happens if the minimum time of ownership is counted from the start of
    the load instead of the acquisition of the keys.
    """
    moved_at = simulate(calm_s=5.0, hot_s=1.0)
    assert moved_at[0] <= POLL_INTERVAL_S + 0.1


def test_remainder_of_a_split_range_is_moved_without_delay() -> None:
    """The remainder of a split range counts as newly acquired."""
    moved_at = simulate(calm_s=5.0, hot_s=2.0)
    rounds = sorted(set(moved_at))
    assert len(rounds) > 1
    assert rounds[1] - rounds[0] < MIN_OWNED_S


def test_acquired_keys_are_measured_before_a_move() -> None:
    moved_at = simulate(calm_s=0.0, hot_s=MIN_OWNED_S * 2)
    assert moved_at[0] >= MIN_OWNED_S


def test_late_map_changes_do_not_delay_the_first_move() -> None:
    """Changes of the map came too late some time ago.

    Until a change succeeds, the member pauses after each round of moves. A poll
    without moves must not start a pause, which would delay the next move.
    """
    turns = ConflictBackoff(random.Random(1))
    for _ in range(10):
        turns.on_conflict(1.0)
    moved_at = simulate(5.0, 1.0, turns, calm_load=0.5)
    assert moved_at[0] <= POLL_INTERVAL_S + 0.1


def test_long_release_does_not_delay_other_moves() -> None:
    """A server stays overloaded until its longest request has ended."""
    moved_at = simulate(calm_s=5.0, hot_s=1.0, first_release_s=3.0)
    assert sum(time < 1 for time in moved_at) > MAX_MOVES


def test_moves_wait_for_others_while_map_changes_conflict() -> None:
    """Moves that start at the same time make each other's map change fail."""
    turns = ConflictBackoff(random.Random(1))
    turns.on_conflict(1.0)
    moved_at = simulate(5.0, 0.5, turns, first_release_s=3.0)
    assert len(set(moved_at)) == 1


@pytest.mark.parametrize('is_waiting', [False, True])
def test_process_waiting_to_join_receives_no_keys(is_waiting) -> None:
    """Keys are unserved until leases of an earlier epoch have ended."""
    holds = FakeHolds()
    holds.registry.is_waiting = is_waiting

    async def scenario() -> tuple[bool, bool]:
        life = IncarnationTracker()
        life.on_identified('i-1', START_S)
        balance = make_coordinator(holds, life)
        offer = Offer('s@2', OWN.service, 2 * LEAVING_SHARE, 1.0, WORK_S)
        is_accepted = balance.on_offer(offer).is_accepted
        return is_accepted, balance.load().share < LEAVING_SHARE

    assert run(scenario()) == (not is_waiting, not is_waiting)
