"""Loads on a server that names a limit, and what its callers get."""

import random
from collections import Counter
from itertools import pairwise

import pytest

from plantaingrade.admission.entity import Refuse, Start, Ticket
from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.named import MAX_UNANSWERED, UNANSWERED_STEP_S
from plantaingrade.admission.rate_limit import RateLimit
from plantaingrade.admission.server_limits import ServerLimits
from plantaingrade.admission.slots import SlotQueue
from plantaingrade.backends.report import NamedLimit, NoLimit
from plantaingrade.requests.entity import NotRunReason
from standins.notices import WINDOW_S, max_in_window, tolerated
from tests.admission.simulation import (
    ClassCounts,
    RequestClass,
    Simulation,
    make_queue,
)

SLOTS = 6
SEEDS = range(6)
SECONDS = 30.0
# Time for which a server that got too much answers nothing in time.
FAILING_S = 1.0
LIMIT_PER_S = 12.0
CALL = RequestClass('call', 2, 3.0, 0.01, 0.3, 0.06, 0.2, 1, 0.3)
LOOKUP = RequestClass('lookup', 2, 24.0, 0.085, 0.8, 0.2, 0.5, 1, 0.1)
LODGE = RequestClass('lodge', 1, 8.0, 0.078, 0.3, 0.25, 0.6, 2, 0.2)
CLASSES = (CALL, LOOKUP, LODGE)
# Of the calls, which come first, and of the most urgent class, whose requests
# fit into the limit beside them.
MOST = 0.9
MANY = 0.85


class FragileServer(Simulation):
    """Simulation of a server that fails well above the limit that it names."""

    def run(self):
        """Run with no request started yet."""
        self.started: list[float] = []
        self.failing_until = 0.0
        return super().run()

    def _work(self, request_class: RequestClass, now: float) -> float:
        self.started.append(now)
        recent = sum(now - each < WINDOW_S for each in self.started[-100:])
        if recent > tolerated(LIMIT_PER_S):
            self.failing_until = now + FAILING_S
        if now < self.failing_until:
            return FAILING_S
        return super()._work(request_class, now)


def limited_queue(per_s: float = LIMIT_PER_S) -> SlotQueue:
    queue = make_queue(SLOTS)
    queue.limits.named.on_response(NamedLimit(per_s), 0, 0)
    return queue


def simulate(queue: SlotQueue, seed: int) -> FragileServer:
    for request_class in CLASSES:
        queue.estimate.observe(request_class.name, request_class.work_s)
    simulation = FragileServer(CLASSES, queue, SECONDS, seed=seed)
    simulation.run()
    return simulation


def served_share(counts: ClassCounts) -> float:
    return (counts.in_time + counts.late) / counts.requests


def test_callers_get_more_from_a_server_whose_limit_is_kept() -> None:
    """A server in need fails under its usual load."""
    kept = [simulate(limited_queue(), seed).total_worth() for seed in SEEDS]
    ignored = [
        simulate(make_queue(SLOTS), seed).total_worth() for seed in SEEDS
    ]
    assert sum(kept) > sum(ignored)


@pytest.mark.parametrize('seed', SEEDS)
def test_limit_is_used_by_class_and_calls_come_first(seed) -> None:
    """Whoever comes first takes the limit from calls and urgent requests."""
    simulation = simulate(limited_queue(), seed)
    call, lookup, lodge = (simulation.counts[each.name] for each in CLASSES)
    assert call.in_time > MOST * call.requests
    assert lodge.in_time + lodge.late > MANY * lodge.requests
    assert served_share(lodge) > served_share(lookup)
    burst = RateLimit.from_named(LIMIT_PER_S).burst
    assert max_in_window(simulation.started) <= LIMIT_PER_S * WINDOW_S + burst


@pytest.mark.parametrize('seed', range(20))
def test_no_window_holds_more_than_the_limit_tolerates(seed) -> None:
    """Limits fall, rise and end while requests come in bursts."""
    rng = random.Random(seed)
    limits = ServerLimits()
    now = 100.0
    sent: list[float] = []
    highest = 0.0
    for _ in range(4000):
        now += rng.expovariate(rng.choice((5, 50, 500)))
        if not rng.randrange(50):
            per_s = rng.choice((0, 0.3, 1, 7.5, 40))
            limits.named.on_response(NamedLimit(per_s), now, now)
            highest = max(highest, per_s)
        if limits.named.per_s is not None and limits.admits(0, now):
            limits.spend(now)
            sent.append(now)
    assert max_in_window(sent) <= tolerated(highest)


def test_restarted_process_keeps_the_limit_with_its_predecessor() -> None:
    """Requests of both processes count, and the second knows no limit."""
    sent: list[float] = []
    first, second = ServerLimits(), ServerLimits()
    first.named.on_response(NamedLimit(LIMIT_PER_S), 0, 0)
    second.named.on_new_incarnation()
    unanswered = 0
    for step in range(1000):
        now = step / 100
        limits = first if step < 300 else second
        running = unanswered if limits is second else 0
        if limits.admits(running, now):
            limits.spend(now)
            sent.append(now)
            unanswered += limits is second
        if step > 330:
            second.named.on_response(NamedLimit(LIMIT_PER_S), 3.0, now)
    assert unanswered > MAX_UNANSWERED
    assert max_in_window(sent) <= tolerated(LIMIT_PER_S)


def test_unanswered_server_gets_few_requests_until_it_answers() -> None:
    """A process that has just started sends as if no limit were named."""
    queue = make_queue(SLOTS)
    queue.limits.named.on_new_incarnation()
    tickets = [Ticket('a', 1, 10.0, 9.0) for _ in range(SLOTS)]
    decisions = [queue.offer(ticket, 1.0) for ticket in tickets]
    started = [each for each in decisions if isinstance(each, Start)]
    assert len(started) == MAX_UNANSWERED
    assert queue.next_fill_s(1.0) == pytest.approx(UNANSWERED_STEP_S)
    # The first ones may wait for calls of their own that need this server.
    assert len(queue.fill(1.0 + UNANSWERED_STEP_S)) == 1
    assert not queue.fill(1.0 + UNANSWERED_STEP_S)
    queue.limits.named.on_response(NoLimit(), 1.0, 1.3)
    assert len(queue.release(started[0].ticket, 1.3)) == SLOTS - 3


def test_new_server_beside_a_running_process_gets_all_its_slots() -> None:
    """A server that has started again is limited as if it had named a limit."""
    queue = make_queue(SLOTS)
    named = queue.limits.named
    named.on_new_incarnation()
    named.on_response(NoLimit(), 0.5, 0.6)
    named.on_new_incarnation()
    tickets = [Ticket('a', 1, 10.0, 9.0) for _ in range(SLOTS)]
    decisions = [queue.offer(ticket, 1.0) for ticket in tickets]
    assert all(isinstance(each, Start) for each in decisions)


def test_refused_callers_are_told_to_return_in_turn() -> None:
    """Callers refused at one moment all return at the same time."""
    limits = ServerLimits()
    limits.named.on_response(NamedLimit(4), 0, 0)
    wait_s = limits.wait_s(0.1, 2)
    turns = [limits.take_turn_s(0.1, wait_s, 9.0) for _ in range(5)]
    assert turns[0] == pytest.approx(0.65)
    assert all(
        later - earlier == pytest.approx(0.25)
        for earlier, later in pairwise(turns)
    )
    # A caller that could not be served in time takes no turn.
    late = [limits.take_turn_s(0.1, wait_s, 1.0) for _ in range(2)]
    assert late[0] == late[1]


def test_refusal_for_the_limit_has_a_reason_of_its_own() -> None:
    queue = limited_queue(4)
    queue.estimate.observe('a', 0.05)
    outcomes = [queue.offer(Ticket('a', 1, 3.0, 2.2), 2.0) for _ in range(9)]
    refusals = [each for each in outcomes if isinstance(each, Refuse)]
    assert refusals
    assert all(
        each.outcome.reason is NotRunReason.RATE_LIMITED for each in refusals
    )
    work_s = queue.estimate.expected_s('a')
    assert all(each.outcome.retry_after_s > 1 - work_s for each in refusals)


def test_limit_of_zero_lets_few_requests_through() -> None:
    """Without any response, the end of a limit would never be learned."""
    limits = ServerLimits()
    limits.named.on_response(NamedLimit(0), 0, 0)
    sent = []
    for step in range(1200):
        if limits.admits(0, step / 100):
            limits.spend(step / 100)
            sent.append(step / 100)
    assert 1 <= len(sent) <= 3
    assert max_in_window(sent) <= tolerated(0)


def test_limited_and_cold_server_gets_the_lower_rate() -> None:
    limits = ServerLimits()
    limits.cold.apply_limit(RateLimit(2.0, 1.0))
    limits.cold.mark_cold_until(100.0)
    limits.named.on_response(NamedLimit(20), 1.0, 1.0)
    assert limits.wait_s(50.0, 4) == pytest.approx(2.0)
    assert limits.usable_slots(SLOTS, 0.1, 50.0) == pytest.approx(0.2)


def test_raised_limit_is_used_at_once() -> None:
    limits = ServerLimits()
    limits.named.on_response(NamedLimit(0), 1, 2)
    assert limits.wait_s(3.0) > 2
    limits.named.on_response(NamedLimit(50), 3, 4)
    assert not limits.wait_s(4.1)
    limits.named.on_response(NoLimit(), 5, 6)
    assert limits.usable_slots(SLOTS, 0.1, 6.0) == SLOTS


def test_work_that_is_waiting_starts_by_class_within_the_limit() -> None:
    queue = SlotQueue(SLOTS, WorkEstimate())
    queue.limits.named.on_response(NamedLimit(4), 0, 0)
    queue.estimate.observe('slow', 0.1)
    queue.estimate.observe('brief', 0.01)
    order = ('slow', 'slow', 'brief')
    for number, kind in enumerate(order):
        queue.offer(Ticket(kind, number, 9.0, 9.0), 0.0)
    started: list[str] = []
    for step in range(300):
        started.extend(each.ticket.kind for each in queue.fill(step / 100))
    assert started[0] == 'brief'
    assert Counter(started) == Counter(order)
