"""Loads played against a cold server's bound."""

import asyncio
import random
from itertools import pairwise

import pytest

from plantaingrade.admission.cold import ColdAllowance, ColdLimit
from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.gate import Gate, RefusedError
from plantaingrade.admission.slots import SlotQueue, Start, Ticket, Wait
from tests.virtual import LoopClock, run

# What the platform counts in any second: 6 requests tolerated, half as many
# again, and 8 more.
TOLERATED = 6.0
OVERAGE = 1.5
SLACK = 8.0
BOUND = 17
SLOTS = 3
COLD_S = 3.0


def limit() -> ColdLimit:
    return ColdLimit.from_bounds(TOLERATED, OVERAGE, SLACK)


def most_in_a_second(times: list[float]) -> int:
    return max(
        (sum(begin <= each < begin + 1 for each in times) for begin in times),
        default=0,
    )


def play(seed: int, per_s: float, work_s: float, cold_from: float):
    """Return when requests were sent, and how many were refused."""
    chance = random.Random(seed)
    sent: list[float] = []
    refused = 0
    queue = SlotQueue(SLOTS, WorkEstimate())
    queue.cold.apply_limit(limit())
    clock = LoopClock()
    gate = Gate(queue, clock)

    async def ask(now: float) -> None:
        nonlocal refused
        ticket = Ticket('a', 1, now + 1.0, now + 0.5)
        try:
            async with gate.slot(ticket):
                sent.append(clock.now())
                await asyncio.sleep(work_s)
        except RefusedError:
            refused += 1

    async def story() -> None:
        began = clock.now()
        tasks = []
        while clock.now() < began + cold_from + COLD_S:
            await asyncio.sleep(chance.expovariate(per_s))
            if clock.now() >= began + cold_from:
                queue.cold.mark_cold_until(began + cold_from + COLD_S)
            tasks.append(asyncio.create_task(ask(clock.now())))
        await asyncio.gather(*tasks)
        nonlocal sent
        sent = [each - began for each in sent]

    run(story())
    return [each for each in sent if cold_from < each < cold_from + COLD_S]


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('per_s', [5.0, 25.0, 200.0])
def test_a_cold_server_never_gets_more_than_it_stands(seed, per_s) -> None:
    """A zone's servers come back together after a loss, and are cold.

    Their share of the load was sent to them at once, 20 requests in a second
    where 17 are the bound, and they crashed again.
    """
    sent = play(seed, per_s, 0.02, cold_from=0.0)
    assert most_in_a_second(sent) <= BOUND - SLACK / 2


@pytest.mark.parametrize('seed', range(5))
def test_a_cold_server_is_used_as_far_as_it_may(seed) -> None:
    """The bound is no reason to leave a cold server idle."""
    sent = play(seed, 200.0, 0.02, cold_from=0.0)
    assert len(sent) >= 0.9 * COLD_S * TOLERATED * OVERAGE


def test_what_was_sent_just_before_counts() -> None:
    """A server turns cold in the middle of its load.

    Counted from the moment at which it said so, it would get a burst on top
    of what it had within the same second.
    """
    allowance = ColdAllowance()
    allowance.apply_limit(limit())
    for step in range(20):
        allowance.spend(step / 20)
    allowance.mark_cold_until(4.0)
    assert allowance.wait_s(1.0) == pytest.approx(1 / 9, abs=0.12)


def test_a_warm_server_is_not_bound() -> None:
    allowance = ColdAllowance()
    allowance.apply_limit(limit())
    for _ in range(100):
        allowance.spend(1.0)
    assert allowance.wait_s(1.0) == 0
    assert allowance.slots(SLOTS, 0.02, 1.0) == SLOTS


def test_a_service_without_a_limit_is_not_bound() -> None:
    allowance = ColdAllowance()
    allowance.mark_cold_until(100.0)
    assert allowance.wait_s(1.0) == 0


def test_a_server_that_takes_nothing_while_cold_gets_nothing() -> None:
    allowance = ColdAllowance()
    allowance.apply_limit(ColdLimit(0.0, 0.0))
    allowance.mark_cold_until(5.0)
    assert allowance.wait_s(2.0) == pytest.approx(3.0)


def test_who_cannot_be_served_by_a_cold_server_is_refused_at_once() -> None:
    """Ten requests come at once, and the ninth would wait beyond its end."""
    queue = SlotQueue(100, WorkEstimate())
    queue.cold.apply_limit(limit())
    queue.cold.mark_cold_until(100.0)
    tickets = [Ticket('a', 1, 10.5, 10.3) for _ in range(20)]
    verdicts = [queue.offer(each, 10.0) for each in tickets]
    started = sum(isinstance(each, Start) for each in verdicts)
    waiting = sum(isinstance(each, Wait) for each in verdicts)
    assert started == SLACK / 2
    assert 0 < waiting <= 0.5 * TOLERATED * OVERAGE


def test_a_cold_server_says_that_it_has_less_room() -> None:
    """Others weigh what to send by the slots that it can keep busy."""
    queue = SlotQueue(12, WorkEstimate())
    queue.estimate.observe('a', 0.1)
    queue.cold.apply_limit(limit())
    queue.cold.mark_cold_until(5.0)
    assert queue.usable_slots(1.0) == pytest.approx(0.9)
    assert queue.usable_slots(6.0) == 12


def test_waits_grow_with_those_ahead() -> None:
    allowance = ColdAllowance()
    allowance.apply_limit(limit())
    allowance.mark_cold_until(100.0)
    allowance.spend(1.0)
    waits = [allowance.wait_s(1.0, ahead) for ahead in range(12)]
    assert all(first <= second for first, second in pairwise(waits))
    assert waits[-1] == pytest.approx((12 - 3) / 9)
