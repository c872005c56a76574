"""Tests for the admission queue and the retry budget."""

import asyncio

from plantaingrade.admission.budget import RetryBudget
from plantaingrade.admission.const import (
    CLASS_AVAILABILITY,
    CLASS_DEFAULT,
    MAX_QUEUED_PER_SLOT,
    RETRY_TOKENS_MAX,
)
from plantaingrade.admission.queue import AdmissionQueue, NotAdmittedError
from plantaingrade.outcome import NotRunReason
from tests.routing.test_outcomes import run


def test_availability_check_precedes_a_burst_of_bookings() -> None:
    """An availability check waits behind a burst of bookings."""

    async def scenario() -> None:
        queue = AdmissionQueue(1)
        order: list[str] = []

        async def work(name: str, kind: str) -> None:
            async with queue.slot(kind):
                order.append(name)
                await asyncio.sleep(0)

        async with asyncio.TaskGroup() as group:
            group.create_task(work('running', CLASS_DEFAULT))
            group.create_task(work('booking', CLASS_DEFAULT))
            group.create_task(work('check', CLASS_AVAILABILITY))
        assert order == ['running', 'check', 'booking']

    run(scenario)


def test_full_queue_refuses_without_waiting() -> None:
    """Requests wait although the queue is full."""

    async def scenario() -> None:
        queue = AdmissionQueue(1)
        async with asyncio.TaskGroup() as group, queue.slot(CLASS_DEFAULT):
            for _ in range(MAX_QUEUED_PER_SLOT):
                group.create_task(_pass(queue))
            await asyncio.sleep(0)
            excess = asyncio.ensure_future(_pass(queue))
            await asyncio.sleep(0)
            refused = excess.done() and excess.exception()
            excess.cancel()
            assert isinstance(refused, NotAdmittedError)
            assert refused.outcome.reason is NotRunReason.QUEUE_FULL
            assert refused.outcome.retry_after_s >= 1
        assert queue.in_flight == 0

    run(scenario)


def test_slot_of_a_cancelled_request_is_not_lost() -> None:
    """A request is cancelled at the moment it gets a slot."""

    async def scenario() -> None:
        queue = AdmissionQueue(1)
        async with queue.slot(CLASS_DEFAULT):
            waiting = asyncio.ensure_future(_pass(queue))
            await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert queue.in_flight == 0

    run(scenario)


def test_retries_are_limited_by_first_attempts() -> None:
    """All requests fail, and their retries double the overload."""
    budget = RetryBudget()
    many = int(RETRY_TOKENS_MAX) * 2
    assert sum(budget.try_spend() for _ in range(many)) == RETRY_TOKENS_MAX
    for _ in range(100):
        budget.on_request()
    assert sum(budget.try_spend() for _ in range(many)) in {9, 10}


async def _pass(queue: AdmissionQueue) -> None:
    async with queue.slot(CLASS_DEFAULT):
        await asyncio.sleep(0)
