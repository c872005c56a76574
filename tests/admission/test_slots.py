"""Loads played against admission, beside a naive queue."""

import pytest

from plantaingrade.admission.slots import (
    Lane,
    Refuse,
    SlotQueue,
    Start,
    Ticket,
    Verdict,
    Wait,
)
from plantaingrade.requests.entity import NotRun, NotRunReason
from tests.admission.replay import Class, Play, make_queue

SLOTS = 6
SECONDS = 40.0
# Part of all worth by which admission must beat the naive queue.
GAIN = 0.15
NEARLY_ALL = 0.95
LOOKUP = Class('lookup', 2, 48.0, 0.085, 0.8, 0.2, 0.5, 1, 0.1)
LODGE = Class('lodge', 1, 21.0, 0.078, 0.3, 0.25, 0.6, 2, 0.2)


class NaiveQueue(SlotQueue):
    """Slots in the order of coming; refuses when the deadline has passed."""

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Start, or wait until the deadline."""
        if self.running < self.slots and not self.waiting:
            return self._start(ticket, now)
        ticket.priority = 0
        ticket.due = now
        wait = self._line_up(ticket, Lane.IN_TIME, ticket.until)
        return wait

    def give_up(self, ticket: Ticket, now: float) -> Verdict:
        """Refuse."""
        self.withdraw(ticket)
        return Refuse(ticket, NotRun(NotRunReason.EXPIRED, 0.05))


def scaled(kind: Class, times: float) -> Class:
    return Class(
        kind.name,
        kind.priority,
        kind.per_s * times,
        kind.work_s,
        kind.spread,
        kind.due_s,
        kind.until_s,
        kind.worth,
        kind.late_worth,
    )


def play(times: float, queue: SlotQueue, seed: int = 1, **more) -> Play:
    classes = (scaled(LOOKUP, times), scaled(LODGE, times))
    game = Play(classes, queue, SECONDS, seed=seed, **more)
    game.run()
    return game


def naive() -> NaiveQueue:
    return NaiveQueue(SLOTS, make_queue(SLOTS).estimate)


@pytest.mark.parametrize('times', [1.0, 1.2, 1.5])
def test_overload_is_answered_within_the_objective(times) -> None:
    """More requests come than the slots can serve, for 40 s.

    The naive queue serves nearly everybody late. Here most of what fits is
    served within its objective, and the urgent class nearly as if alone.
    """
    ours = play(times, make_queue(SLOTS))
    theirs = play(times, naive())
    assert ours.total_worth() > theirs.total_worth() + GAIN
    assert ours.told['lodge'].worth(LODGE) > NEARLY_ALL
    lookups = ours.told['lookup']
    assert lookups.in_time > lookups.late * 3


def test_who_is_refused_is_told_at_once() -> None:
    """A refusal that comes late has cost its caller the time to go elsewhere.

    An eighth of the objective is the most that a caller does not feel.
    """
    told = play(1.5, make_queue(SLOTS)).told['lookup']
    refusals = told.lost + told.refused_twice
    assert told.held_s / refusals < LOOKUP.due_s / 8


def test_a_calm_day_refuses_nobody() -> None:
    told = play(0.5, make_queue(SLOTS)).told
    assert told['lodge'].lost == 0
    assert told['lookup'].lost * 50 <= told['lookup'].asked


def test_a_server_that_turns_slow_is_followed() -> None:
    """After ten seconds each piece of work takes three times as long.

    The estimate follows, so that refusals stay quick and what is admitted is
    mostly in time; the naive queue has nearly nothing in time from then on.
    """
    slow = {'slow_from': 10.0, 'slow_x': 3.0}
    ours = play(0.8, make_queue(SLOTS), **slow)
    theirs = play(0.8, naive(), **slow)
    assert ours.total_worth() > theirs.total_worth() + 0.05
    told = ours.told['lookup']
    assert told.held_s / max(1, told.lost) < LOOKUP.due_s / 4


def test_an_urgent_class_goes_first_and_early_deadlines_within_it() -> None:
    queue = make_queue(1)
    first = Ticket('k', 2, 99.0, 99.0)
    assert isinstance(queue.offer(first, 0.0), Start)
    order = [
        Ticket('k', 2, 90.0, 80.0),
        Ticket('k', 2, 90.0, 70.0),
        Ticket('k', 0, 90.0, 85.0),
    ]
    for ticket in order:
        assert isinstance(queue.offer(ticket, 0.0), Wait)
    served = []
    running = first
    while queue.running:
        verdicts = queue.release(running, 1.0)
        if verdicts:
            running = verdicts[0].ticket
            served.append(order.index(running))
    assert served == [2, 1, 0]


def test_requests_in_time_go_before_late_ones() -> None:
    queue = make_queue(1)
    queue.estimate.observe('k', 0.1)
    first = Ticket('k', 1, 9.0, 9.0)
    queue.offer(first, 0.0)
    late = Ticket('k', 0, 9.0, 0.05)
    in_time = Ticket('k', 2, 9.0, 5.0)
    assert isinstance(queue.offer(late, 0.0), Wait)
    assert late.lane is Lane.LATE
    assert isinstance(queue.offer(in_time, 0.0), Wait)
    assert queue.release(first, 0.1)[0].ticket is in_time


def test_a_refusal_tells_when_there_will_be_room() -> None:
    queue = make_queue(1)
    queue.estimate.observe('k', 0.2)
    queue.offer(Ticket('k', 1, 9.0, 9.0), 0.0)
    refused = queue.offer(Ticket('k', 1, 0.3, 0.3), 0.0)
    assert isinstance(refused, Refuse)
    assert refused.outcome.retry_after_s == pytest.approx(0.2, abs=0.02)


def test_no_slot_is_kept_for_urgent_requests_that_may_come() -> None:
    """Less urgent requests were refused for those that took slots before."""
    queue = make_queue(2)
    for kind in ('urgent', 'other'):
        queue.estimate.observe(kind, 0.1)
    now = 0.0
    for _ in range(10):
        urgent = [Ticket('urgent', 0, now + 1, now + 0.3) for _ in range(2)]
        for ticket in urgent:
            assert isinstance(queue.offer(ticket, now), Start)
        now += 0.1
        for ticket in urgent:
            queue.release(ticket, now)
    for _ in range(2):
        queue.offer(Ticket('urgent', 0, now + 1, now + 0.3), now)
    other = Ticket('other', 1, now + 1, now + 0.25)
    assert isinstance(queue.offer(other, now), Wait)
    assert other.lane is Lane.IN_TIME
