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
from collections.abc import Sequence
from enum import IntEnum
from itertools import count, repeat

from msgspec import Struct

from plantaingrade.admission.cold import ColdAllowance
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
# Part of the longest kind of work up to which work counts as brief: on a server
# with nine slots it holds the others up by a thirtieth of that kind's time.
MAX_BRIEF_FRACTION = 0.3
# Shortest pause before waiting tickets are looked at again, in seconds: timers
# fire a millisecond late, and one that fires early would find nothing.
MIN_REFILL_S = 0.002
NEVER = float('inf')
# Rank of brief work; classes rank by their priorities, from 0 on.
BRIEF_RANK = -1


class Lane(IntEnum):
    """Order in which tickets get slots."""

    IN_TIME = 0
    LATE = 1


class Ticket(Struct, eq=False):
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


class Start(Struct, frozen=True):
    """The ticket has a slot from now on."""

    ticket: Ticket


class Wait(Struct, frozen=True):
    """The ticket waits; give it up at ``give_up_at`` if nothing came."""

    ticket: Ticket
    give_up_at: float


class Refuse(Struct, frozen=True):
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
        'cold',
        'estimate',
        'slots',
    )

    def __init__(self, slots: int, estimate: WorkEstimate) -> None:
        """Start empty."""
        self.slots = slots
        self.cold = ColdAllowance()
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
        if self._may_start(now) and not self.waiting:
            return self._start(ticket, now)
        wait_s = self._wait_in_time(ticket, now)
        is_brief = self._is_brief(ticket.kind)
        ends_by = ticket.until if is_brief else ticket.due
        if now + wait_s + work_s <= ends_by:
            return self._line_up(ticket, Lane.IN_TIME, ends_by - work_s)
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
        while self._may_start(now):
            ticket = self._next(now)
            if ticket is None:
                break
            verdicts.append(self._start(ticket, now))
        return verdicts

    def refill_s(self, now: float) -> float | None:
        """Return when ``fill`` is due again if no ticket ends before.

        Nothing is due where nobody waits, or where all slots are taken.
        """
        if self.running >= self.slots or not self.waiting:
            return None
        return max(MIN_REFILL_S, self.cold.wait_s(now))

    def expected_wait_s(self, kind: str, priority: int, now: float) -> float:
        """Return when a slot is probably free for one more ticket."""
        ahead_s = self._ahead_s(self._rank(kind, priority), NEVER)
        wait_s = first_free_s(self._rests_s(now), ahead_s, self.slots)
        return max(wait_s, self.cold.wait_s(now, len(ahead_s)))

    def usable_slots(self, now: float) -> float:
        """Return how many slots the server can keep busy now."""
        return self.cold.slots(self.slots, self.estimate.mean_s(), now)

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
        self.cold.spend(now)
        if ticket.lane is Lane.IN_TIME:
            work_s = self.estimate.expected_s(ticket.kind)
            self._rate.observe(work_s, now)
        return Start(ticket)

    def _may_start(self, now: float) -> bool:
        return self.running < self.slots and not self.cold.wait_s(now)

    def _line_up(self, ticket: Ticket, lane: Lane, give_up_at: float) -> Wait:
        ticket.lane = lane
        ticket.is_waiting = True
        ends = ticket.due if lane is Lane.IN_TIME else ticket.until
        rank = self._rank(ticket.kind, ticket.priority)
        place = (rank, ends, next(self._numbers), ticket)
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

    def _rank(self, kind: str, priority: int) -> int:
        """Return the rank of work of a kind; the lowest goes first.

        Brief work goes before all classes. Most of it are calls of other
        servers, which keep a slot taken while they wait for the answer.
        """
        return BRIEF_RANK if self._is_brief(kind) else priority

    def _is_brief(self, kind: str) -> bool:
        """Tell whether work of a kind holds others up for next to nothing.

        It keeps its place for as long as it may be answered.
        """
        work_s = self.estimate.expected_s(kind)
        return work_s <= MAX_BRIEF_FRACTION * self.estimate.longest_s()

    def _wait_in_time(self, ticket: Ticket, now: float) -> float:
        """Predict the wait behind what goes first.

        Brief work counts on the next free slot. Others count on an even share
        of all slots, which is half of a work's time more: counting on the next
        free slot holds callers up that are refused in the end.
        """
        rank = self._rank(ticket.kind, ticket.priority)
        ahead_s = self._ahead_s(rank, ticket.due)
        rests_s = self._rests_s(now)
        if self._is_brief(ticket.kind):
            wait_s = first_free_s(rests_s, ahead_s, self.slots)
        else:
            wait_s = self._even_share_s([*rests_s, *ahead_s])
        return max(wait_s, self.cold.wait_s(now, len(ahead_s)))

    def _ahead_s(self, rank: int, due: float) -> list[float]:
        """Return the work that waits and goes before such a ticket."""
        return [
            self.estimate.expected_s(ticket.kind)
            for *place, _, ticket in self._line_by_lane[Lane.IN_TIME]
            if ticket.is_waiting and place <= [rank, due]
        ]

    def _wait_late(self, ticket: Ticket, now: float) -> float:
        """Predict the wait for slots that requests in time leave."""
        ahead_s = [
            self.estimate.expected_s(place[-1].kind)
            for line in self._line_by_lane.values()
            for place in line
            if place[-1] is not ticket and place[-1].is_waiting
        ]
        wait_s = self._even_share_s([*self._rests_s(now), *ahead_s])
        wait_s /= self._share_left(now)
        return max(wait_s, self.cold.wait_s(now, len(ahead_s)))

    def _even_share_s(self, work_s: Sequence[float]) -> float:
        """Return how long work takes if all slots share it evenly."""
        return sum(work_s) / max(1, self.slots)

    def _rests_s(self, now: float) -> list[float]:
        """Return how long each piece of work that runs will still take."""
        rests_s = []
        for ticket in self._started:
            work_s = self.estimate.expected_s(ticket.kind)
            ran_s = now - ticket.started
            rests_s.append(max(work_s - ran_s, MIN_REST * work_s))
        return rests_s

    def _share_left(self, now: float) -> float:
        """Return the share of slots that requests in time leave."""
        taken = self._rate.total(now) / max(1, self.slots)
        return max(MIN_SHARE_LEFT, 1 - taken)


def first_free_s(
    rests_s: Sequence[float], ahead_s: Sequence[float], slots: int
) -> float:
    """Return when a slot is free for who comes after all that is ahead.

    ``rests_s`` is what is left of the work that runs, ``ahead_s`` the work
    that waits and goes first, in its order. Each piece takes the slot that is
    free first.

    Short calls between servers depend on it: with nine slots that run reads of
    360 ms one of them is free each 40 ms.
    """
    surplus = len(rests_s) - slots
    free_at = sorted(rests_s)[max(0, surplus) :]
    free_at.extend(repeat(0.0, max(0, -surplus)))
    if not free_at:
        return float('inf')
    heapq.heapify(free_at)
    for work_s in ahead_s:
        heapq.heapreplace(free_at, free_at[0] + work_s)
    return free_at[0]


def _refuse(ticket: Ticket, reason: NotRunReason, wait_s: float) -> Refuse:
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
    return Refuse(ticket, NotRun(reason, retry_after_s))
