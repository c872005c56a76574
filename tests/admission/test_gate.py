"""Tests for waiting for slots, with requests cancelled at any time."""

import asyncio
from itertools import repeat

import pytest

from plantaingrade.admission.entity import Ticket
from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.gate import Gate, RefusedError
from plantaingrade.admission.slots import SlotQueue
from plantaingrade.requests.entity import NotRun, NotRunReason
from tests.virtual import LoopClock, run

WORK_S = 0.1


def make_gate(slots: int = 1) -> Gate:
    estimate = WorkEstimate()
    estimate.observe('k', WORK_S)
    return Gate(SlotQueue(slots, estimate), LoopClock())


def ticket(due_s: float, deadline_s: float, priority: int = 1) -> Ticket:
    now = asyncio.get_running_loop().time()
    return Ticket('k', priority, now + deadline_s, now + due_s)


async def work(gate: Gate, wanted: Ticket, seconds: float = WORK_S) -> str:
    try:
        async with gate.slot(wanted):
            await asyncio.sleep(seconds)
            return 'served'
    except RefusedError as error:
        return error.outcome.reason.value


def test_slots_limit_concurrency() -> None:
    async def scenario() -> None:
        gate = make_gate(2)
        tasks = [
            asyncio.create_task(work(gate, ticket(5, 9))) for _ in range(6)
        ]
        await asyncio.sleep(WORK_S / 2)
        assert gate.queue.running == 2
        assert gate.queue.waiting == 4
        assert await asyncio.gather(*tasks) == list(repeat('served', 6))
        assert gate.queue.running == 0

    run(scenario())


@pytest.mark.parametrize('after_s', [0.01, 0.1, 0.15, 0.2, 0.25, 0.3])
def test_cancelled_requests_free_their_slot_or_queue_entry(after_s) -> None:
    """A slot stays occupied forever after its request was cancelled.

    Requests are cancelled while they wait, while they run, and at the moment
    they get a slot.
    """

    async def scenario() -> None:
        gate = make_gate(1)
        tasks = [
            asyncio.create_task(work(gate, ticket(5, 9))) for _ in range(4)
        ]
        await asyncio.sleep(after_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert gate.queue.running == 0
        assert gate.queue.waiting == 0
        assert await work(gate, ticket(5, 9)) == 'served'

    run(scenario())


def test_request_that_cannot_be_in_time_is_refused_at_once() -> None:
    async def scenario() -> None:
        gate = make_gate(1)
        tasks = [
            asyncio.create_task(work(gate, ticket(5, 9))) for _ in range(3)
        ]
        await asyncio.sleep(0)
        before = asyncio.get_running_loop().time()
        assert await work(gate, ticket(0.15, 0.2)) == 'queue-full'
        assert asyncio.get_running_loop().time() == before
        await asyncio.gather(*tasks)

    run(scenario())


def test_wrong_prediction_is_refused_before_the_deadline() -> None:
    """Work takes ten times as long as before.

    A request behind it must be refused as soon as its deadline cannot be met,
    not at the deadline.
    """

    async def scenario() -> None:
        gate = make_gate(1)
        slow = asyncio.create_task(work(gate, ticket(5, 9), WORK_S * 10))
        await asyncio.sleep(0)
        waiting = ticket(0.3, 0.6)
        assert await work(gate, waiting) == 'cannot-finish-in-time'
        assert (
            waiting.deadline - asyncio.get_running_loop().time() >= WORK_S / 2
        )
        await slow

    run(scenario())


def test_additional_slots_are_used_immediately() -> None:
    async def scenario() -> None:
        gate = make_gate(1)
        tasks = [
            asyncio.create_task(work(gate, ticket(5, 9))) for _ in range(3)
        ]
        await asyncio.sleep(WORK_S / 2)
        gate.resize(3)
        await asyncio.sleep(WORK_S / 4)
        assert gate.queue.running == 3
        await asyncio.gather(*tasks)

    run(scenario())


def test_waiting_requests_are_refused_but_for_those_bound_to_the_server() -> (
    None
):
    async def scenario() -> None:
        gate = make_gate()
        tasks = [
            asyncio.create_task(work(gate, ticket(5, 9))) for _ in range(3)
        ]
        bound = ticket(5, 9)
        bound.is_bound = True
        tasks.append(asyncio.create_task(work(gate, bound)))
        await asyncio.sleep(WORK_S / 2)
        assert gate.refuse_waiting(NotRun(NotRunReason.SERVER_DOWN)) == 2
        down = NotRunReason.SERVER_DOWN.value
        outcomes = await asyncio.gather(*tasks)
        assert outcomes == ['served', down, down, 'served']
        assert gate.queue.running == 0
        assert gate.queue.waiting == 0

    run(scenario())


def test_waiting_requests_are_refused_by_a_condition() -> None:
    """Guards against a request that waits where it can't end in time."""

    async def scenario() -> None:
        gate = make_gate()
        tickets = [ticket(5, limit_s) for limit_s in (5, 9, 5, 9)]
        tasks = [asyncio.create_task(work(gate, each)) for each in tickets]
        await asyncio.sleep(WORK_S / 2)
        leaving = NotRun(NotRunReason.LEAVING)
        ends_at = asyncio.get_running_loop().time() + 7
        refused = gate.refuse_by(
            lambda each: leaving if each.deadline > ends_at else None
        )
        assert refused == 2
        left = leaving.reason.value
        outcomes = await asyncio.gather(*tasks)
        assert outcomes == ['served', left, 'served', left]
        assert gate.queue.running == 0

    run(scenario())
