"""How soon a hot spot is passed on."""

import asyncio
import os
import random
from types import SimpleNamespace

import pytest

from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.slots import SlotQueue
from plantaingrade.backends.life import BackendLife
from plantaingrade.balance.book import LoadBook
from plantaingrade.balance.const import LOOK_S, SETTLE_S
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.balance.entity import Load
from plantaingrade.balance.others import LEAVING_SHARE
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.backoff import ConflictBackoff
from plantaingrade.keyspace.entity import Assignment, KeyRange
from plantaingrade.peers.entity import Member, Offer, OfferReply
from tests.virtual import LoopClock, run

OWN = Member('s@1', 's', 'a', '1', 'b1')
WORK_S = 0.06
SLOTS = 6
IDLE = Load(0.1, WORK_S, SLOTS)
# Where virtual time starts, and the pause between requests of a calm time.
START_S = 1000.0
CALM_PAUSE_S = 0.1
HOT_KEYS = range(20_200, 20_300)


class FakeHolds:
    """One range at first; what is given away is gone."""

    def __init__(self) -> None:
        self.ranges = [KeyRange(0, 65_535)]
        self.given_at: list[float] = []
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
        self.given_at.append(asyncio.get_running_loop().time())
        for given in keys:
            self.ranges = [
                rest for each in self.ranges for rest in each.without(given)
            ]
        return True


class FakeOthers:
    """Three idle members that accept whatever is offered."""

    def __init__(self) -> None:
        self.book = LoadBook()
        self.load_by_name = {f's@{place}': IDLE for place in '234'}

    def names(self) -> list[str]:
        return list(self.load_by_name)

    def must_yield(self, _: float) -> bool:
        return False

    def listeners(self, _: random.Random) -> list[str]:
        return list(self.load_by_name)

    def takers(self, _: float) -> dict[str, Load]:
        return self.load_by_name

    async def async_offer(self, target: str, _: Offer) -> OfferReply:
        return OfferReply(True, 0.1, WORK_S, SLOTS)

    def tell_load(self, *_: object) -> None:
        """Reach nobody."""


def make(holds: FakeHolds, life: BackendLife) -> BalanceCoordinator:
    clock = LoopClock()
    others = FakeOthers()
    return BalanceCoordinator(
        OWN,
        holds,
        life,
        SlotQueue(SLOTS, WorkEstimate()),
        others,
        others,
        others,
        clock,
        EventLog('t', clock, os.open(os.devnull, os.O_WRONLY)),
    )


def play(
    seconds_idle: float,
    seconds_hot: float,
    turns: ConflictBackoff | None = None,
    calm_share: float = 0.0,
) -> list[float]:
    """Return when ranges were given away, counted from the hot spot's start."""
    holds = FakeHolds()
    holds.registry.backoff = turns or holds.registry.backoff

    async def story() -> float:
        clock = LoopClock()
        balance = make(holds, BackendLife())
        task = asyncio.create_task(balance.async_run())
        while clock.now() < START_S + seconds_idle:
            if calm_share:
                work_s = calm_share * SLOTS * CALM_PAUSE_S
                balance.observe(HOT_KEYS[0], work_s)
            await asyncio.sleep(CALM_PAUSE_S)
        began = clock.now()
        while clock.now() < began + seconds_hot:
            for key in HOT_KEYS:
                if any(key in keys for keys in holds.ranges):
                    balance.observe(key, WORK_S)
            await asyncio.sleep(0.1)
        task.cancel()
        return began

    began = run(story())
    return [at - began for at in holds.given_at]


def test_a_hot_spot_is_passed_on_at_the_first_look() -> None:
    """Many users come at once after a calm time.

    The keys have been here for long, so nothing is to be waited for; earlier
    the time that keys must have been here began with the hot spot.
    """
    given_at = play(seconds_idle=5.0, seconds_hot=1.0)
    assert given_at[0] <= LOOK_S + 0.1


def test_what_is_left_of_a_cut_range_may_be_passed_on_next() -> None:
    """One round of moves was not enough; the next does not wait anew."""
    given_at = play(seconds_idle=5.0, seconds_hot=2.0)
    rounds = sorted(set(given_at))
    assert len(rounds) > 1
    assert rounds[1] - rounds[0] < SETTLE_S


def test_keys_that_have_just_come_are_measured_first() -> None:
    given_at = play(seconds_idle=0.0, seconds_hot=SETTLE_S * 2)
    assert given_at[0] >= SETTLE_S


def test_a_crowded_map_delays_no_first_move() -> None:
    """Changes of the map came too late some time ago.

    Until one is done the member rests after each round, but a look at which
    nothing is moved is no round: what comes after it is moved at once.
    """
    turns = ConflictBackoff(random.Random(1))
    for _ in range(10):
        turns.on_conflict(1.0)
    given_at = play(5.0, 1.0, turns, calm_share=0.5)
    assert given_at[0] <= LOOK_S + 0.1


@pytest.mark.parametrize('is_waiting', [False, True])
def test_a_run_that_waits_to_join_is_given_no_keys(is_waiting) -> None:
    """Nobody would serve them until leases of an earlier epoch are over."""
    holds = FakeHolds()
    holds.registry.is_waiting = is_waiting

    async def story() -> tuple[bool, bool]:
        life = BackendLife()
        life.on_named('i-1', START_S)
        balance = make(holds, life)
        offer = Offer('s@2', OWN.service, 2 * LEAVING_SHARE, 1.0, WORK_S)
        is_accepted = balance.on_offer(offer).is_accepted
        return is_accepted, balance.load().share < LEAVING_SHARE

    assert run(story()) == (not is_waiting, not is_waiting)
