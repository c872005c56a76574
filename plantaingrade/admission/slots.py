"""Admit requests to the slots of the backend server beside this process.

Pure decisions: the caller passes the time in and acts on what is returned.
This process is its server's only caller, so what runs there is known here and
the server's own queue stays empty.

Load that answers: more requests than the slots can serve, in bursts of a
second or for a whole day. Served in the order of their deadlines, nearly all
of them then end after their latency objective. So a request is admitted if it
will probably end within its objective, and is refused at once if not, while
its caller can still use the time. What cannot be in time, but within its
deadline, gets the slots that the others leave.
"""

import heapq
from dataclasses import dataclass
from enum import IntEnum
from itertools import count

from plantaingrade.admission.estimate import WorkEstimate, WorkRate
from plantaingrade.requests.entity import NotRun, NotRunReason

# Waits shorter than this are not worth a caller's while to come back after.
MIN_RETRY_AFTER_S = 0.05
# Share of the slots that a class is assumed to get at least, however much the
# classes before it take; it bounds the predicted wait.
MIN_SHARE_LEFT = 0.05
# Part of the expected work that work which has run longer still needs: the
# durations have a long tail.
MIN_REST = 0.15


class Lane(IntEnum):
    """Order in which tickets get slots."""

    IN_TIME = 0
    LATE = 1


@dataclass(slots=True, eq=False)
class Ticket:
    """One request that wants a slot.

    ``kind`` is its class of work, ``until`` when it must be answered, and
    ``due`` the end of its latency objective.
    """

    kind: str
    priority: int
    until: float
    due: float
    lane: Lane = Lane.IN_TIME
    is_waiting: bool = False
    started: float = 0.0


@dataclass(slots=True, frozen=True)
class Start:
    """The ticket has a slot from now on."""

    ticket: Ticket


@dataclass(slots=True, frozen=True)
class Wait:
    """The ticket waits; give it up at ``give_up_at`` if nothing came."""

    ticket: Ticket
    give_up_at: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """The ticket cannot be served in time."""

    ticket: Ticket
    outcome: NotRun


Verdict = Start | Wait | Refuse
Place = tuple[int, float, int, Ticket]


class SlotQueue:
    """Slots of one server and the tickets that wait for them.

    In each lane the most urgent class goes first, and within it the earliest
    deadline.
    """

    __slots__ = (
        '_line_by_lane',
        '_numbers',
        '_rate',
        '_started',
        'estimate',
        'slots',
    )

    def __init__(self, slots: int, estimate: WorkEstimate) -> None:
        """Start empty."""
        self.slots = slots
        self.estimate = estimate
        self._rate = WorkRate()
        self._numbers = count()
        self._started: dict[Ticket, None] = {}
        self._line_by_lane: dict[Lane, list[Place]] = {
            lane: [] for lane in Lane
        }

    @property
    def running(self) -> int:
        """Return how many tickets have slots."""
        return len(self._started)

    @property
    def waiting(self) -> int:
        """Return how many tickets wait."""
        return sum(
            place[-1].is_waiting
            for line in self._line_by_lane.values()
            for place in line
        )

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Decide on a new ticket."""
        work_s = self.estimate.expected_s(ticket.kind)
        if now + work_s > ticket.until:
            return _refuse(ticket, NotRunReason.TOO_LATE, work_s)
        if self.running < self.slots and not self.waiting:
            return self._start(ticket, now)
        wait_s = self._wait_in_time(ticket, now)
        if now + wait_s + work_s <= ticket.due:
            return self._line_up(ticket, Lane.IN_TIME, ticket.due - work_s)
        late_wait_s = self._wait_late(ticket, now)
        if now + late_wait_s + work_s <= ticket.until:
            return self._line_up(ticket, Lane.LATE, ticket.until - work_s)
        return _refuse(ticket, NotRunReason.QUEUE_FULL, wait_s)

    def release(self, ticket: Ticket, now: float) -> list[Verdict]:
        """Free a slot; return what is to be done with waiting tickets."""
        self._started.pop(ticket, None)
        return self.fill(now)

    def fill(self, now: float) -> list[Verdict]:
        """Give free slots to waiting tickets."""
        verdicts: list[Verdict] = []
        while self.running < self.slots:
            ticket = self._next(now)
            if ticket is None:
                break
            verdicts.append(self._start(ticket, now))
        return verdicts

    def give_up(self, ticket: Ticket, now: float) -> Verdict:
        """Decide on a ticket whose time to wait has passed.

        One that can no longer be in time may still be served late.
        """
        work_s = self.estimate.expected_s(ticket.kind)
        is_late = ticket.lane is Lane.LATE
        late_wait_s = self._wait_late(ticket, now)
        if is_late or now + late_wait_s + work_s > ticket.until:
            self.withdraw(ticket)
            return _refuse(ticket, NotRunReason.TOO_LATE, late_wait_s)
        self.withdraw(ticket)
        return self._line_up(ticket, Lane.LATE, ticket.until - work_s)

    def withdraw(self, ticket: Ticket) -> None:
        """Take a waiting ticket out."""
        ticket.is_waiting = False
        line = [
            place
            for place in self._line_by_lane[ticket.lane]
            if place[-1] is not ticket
        ]
        heapq.heapify(line)
        self._line_by_lane[ticket.lane] = line

    def _start(self, ticket: Ticket, now: float) -> Start:
        ticket.is_waiting = False
        ticket.started = now
        self._started[ticket] = None
        if ticket.lane is Lane.IN_TIME:
            work_s = self.estimate.expected_s(ticket.kind)
            self._rate.observe(ticket.priority, work_s, now)
        return Start(ticket)

    def _line_up(self, ticket: Ticket, lane: Lane, give_up_at: float) -> Wait:
        ticket.lane = lane
        ticket.is_waiting = True
        ends = ticket.due if lane is Lane.IN_TIME else ticket.until
        place = (ticket.priority, ends, next(self._numbers), ticket)
        heapq.heappush(self._line_by_lane[lane], place)
        return Wait(ticket, give_up_at)

    def _next(self, now: float) -> Ticket | None:
        """Take the ticket out that gets the next slot."""
        for line in self._line_by_lane.values():
            while line:
                ticket = heapq.heappop(line)[-1]
                if ticket.is_waiting:
                    return ticket
        return None

    def _wait_in_time(self, ticket: Ticket, now: float) -> float:
        """Predict the wait behind what goes first, and what still comes."""
        ahead_s = self._rest_s(now)
        mine = (ticket.priority, ticket.due)
        for place in self._line_by_lane[Lane.IN_TIME]:
            waiting = place[-1]
            if waiting.is_waiting and (waiting.priority, waiting.due) <= mine:
                ahead_s += self.estimate.expected_s(waiting.kind)
        return ahead_s / self._slots_left(ticket.priority, now)

    def _wait_late(self, ticket: Ticket, now: float) -> float:
        """Predict the wait for slots that requests in time leave."""
        ahead_s = self._rest_s(now)
        for line in self._line_by_lane.values():
            for place in line:
                waiting = place[-1]
                if waiting is not ticket and waiting.is_waiting:
                    ahead_s += self.estimate.expected_s(waiting.kind)
        return ahead_s / self._slots_left(None, now)

    def _rest_s(self, now: float) -> float:
        """Return the work that is left of what runs, above a free slot."""
        rest_s = 0.0
        for ticket in self._started:
            work_s = self.estimate.expected_s(ticket.kind)
            ran_s = now - ticket.started
            rest_s += max(work_s - ran_s, MIN_REST * work_s)
        return rest_s

    def _slots_left(self, priority: int | None, now: float) -> float:
        """Return the slots that more urgent requests leave to a class."""
        slots = max(1, self.slots)
        taken = self._rate.above(priority, now) / slots
        return slots * max(MIN_SHARE_LEFT, 1 - taken)


def _refuse(ticket: Ticket, reason: NotRunReason, wait_s: float) -> Refuse:
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
    return Refuse(ticket, NotRun(reason, retry_after_s))
