"""Tests for the rate limit of cold servers."""

import asyncio
import random
from itertools import pairwise

import pytest

from plantaingrade.admission.cold import ColdAllowance
from plantaingrade.admission.entity import Start, Ticket, Wait
from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.gate import Gate, RefusedError
from plantaingrade.admission.rate_limit import RateLimit
from plantaingrade.admission.slots import SlotQueue
from tests.virtual import LoopClock, run

# The platform allows 6 * 1.5 + 8 = 17 requests in any second.
TOLERATED = 6.0
OVERAGE = 1.5
SLACK = 8.0
BOUND = 17
SLOTS = 3
COLD_S = 3.0


def make_limit() -> RateLimit:
    return RateLimit.from_cold_bounds(TOLERATED, OVERAGE, SLACK)


def max_per_second(times: list[float]) -> int:
    return max(
        (sum(begin <= each < begin + 1 for each in times) for begin in times),
        default=0,
    )


def send_requests(seed: int, per_s: float, work_s: float, cold_from: float):
    """Send random requests; return the times of those sent while cold."""
    rng = random.Random(seed)
    sent: list[float] = []
    refused = 0
    queue = SlotQueue(SLOTS, WorkEstimate())
    queue.limits.cold.apply_limit(make_limit())
    clock = LoopClock()
    gate = Gate(queue, clock)

    async def send(now: float) -> None:
        nonlocal refused
        ticket = Ticket('a', 1, now + 1.0, now + 0.5)
        try:
            async with gate.slot(ticket):
                sent.append(clock.now())
                await asyncio.sleep(work_s)
        except RefusedError:
            refused += 1

    async def scenario() -> None:
        started_at = clock.now()
        tasks = []
        while clock.now() < started_at + cold_from + COLD_S:
            await asyncio.sleep(rng.expovariate(per_s))
            if clock.now() >= started_at + cold_from:
                queue.limits.cold.mark_cold_until(
                    started_at + cold_from + COLD_S
                )
            tasks.append(asyncio.create_task(send(clock.now())))
        await asyncio.gather(*tasks)
        nonlocal sent
        sent = [each - started_at for each in sent]

    run(scenario())
    return [each for each in sent if cold_from < each < cold_from + COLD_S]


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('per_s', [5.0, 25.0, 200.0])
def test_cold_server_never_gets_more_than_its_limit(seed, per_s) -> None:
    """All servers of a zone restart together and are cold.

    Given their full share of the load, 20 requests per second with a limit of
    17, they crash again.
    """
    sent = send_requests(seed, per_s, 0.02, cold_from=0.0)
    assert max_per_second(sent) <= BOUND - SLACK / 2


@pytest.mark.parametrize('seed', range(5))
def test_cold_server_is_used_up_to_its_limit(seed) -> None:
    """The limit leaves a cold server idle."""
    sent = send_requests(seed, 200.0, 0.02, cold_from=0.0)
    assert len(sent) >= 0.9 * COLD_S * TOLERATED * OVERAGE


def test_requests_sent_just_before_count() -> None:
    """A server turns cold under load.

    If requests are only counted from then on, it gets a full burst in addition
    to the requests it received within the same second.
    """
    allowance = ColdAllowance()
    allowance.apply_limit(make_limit())
    for step in range(20):
        allowance.spend(step / 20)
    allowance.mark_cold_until(4.0)
    assert allowance.wait_s(1.0) == pytest.approx(1 / 9, abs=0.12)


def test_warm_server_is_not_limited() -> None:
    allowance = ColdAllowance()
    allowance.apply_limit(make_limit())
    for _ in range(100):
        allowance.spend(1.0)
    assert allowance.wait_s(1.0) == 0
    assert allowance.usable_slots(SLOTS, 0.02, 1.0) == SLOTS


def test_service_without_a_limit_is_not_limited() -> None:
    allowance = ColdAllowance()
    allowance.mark_cold_until(100.0)
    assert allowance.wait_s(1.0) == 0


def test_cold_server_with_a_zero_limit_gets_nothing() -> None:
    allowance = ColdAllowance()
    allowance.apply_limit(RateLimit(0.0, 0.0))
    allowance.mark_cold_until(5.0)
    assert allowance.wait_s(2.0) == pytest.approx(3.0)


def test_requests_beyond_the_cold_limit_are_refused_at_once() -> None:
    """Requests wait for a cold server beyond their deadline."""
    queue = SlotQueue(100, WorkEstimate())
    queue.limits.cold.apply_limit(make_limit())
    queue.limits.cold.mark_cold_until(100.0)
    tickets = [Ticket('a', 1, 10.5, 10.3) for _ in range(20)]
    decisions = [queue.offer(each, 10.0) for each in tickets]
    started = sum(isinstance(each, Start) for each in decisions)
    waiting = sum(isinstance(each, Wait) for each in decisions)
    assert started == SLACK / 2
    assert 0 < waiting <= 0.5 * TOLERATED * OVERAGE


def test_cold_server_reports_fewer_usable_slots() -> None:
    """Peers send a cold server as much as a warm one."""
    queue = SlotQueue(12, WorkEstimate())
    queue.estimate.observe('a', 0.1)
    queue.limits.cold.apply_limit(make_limit())
    queue.limits.cold.mark_cold_until(5.0)
    assert queue.usable_slots(1.0) == pytest.approx(0.9)
    assert queue.usable_slots(6.0) == 12


def test_wait_grows_with_the_requests_ahead() -> None:
    allowance = ColdAllowance()
    allowance.apply_limit(make_limit())
    allowance.mark_cold_until(100.0)
    allowance.spend(1.0)
    waits = [allowance.wait_s(1.0, ahead) for ahead in range(12)]
    assert all(first <= second for first, second in pairwise(waits))
    assert waits[-1] == pytest.approx((12 - 3) / 9)
