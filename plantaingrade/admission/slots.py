"""Admission control for the slots of the local backend server.

Performs no I/O: the caller passes the current time and applies the returned
decisions. This process is its server's only client, so it knows all work that
runs there, and the server's own queue stays empty.

Handles overload, from one-second bursts to a whole day: more requests arrive
than the slots can serve. Served in deadline order, nearly all of them would
miss their latency objective. A request is therefore admitted if it is expected
to complete within its objective. Requests that can only meet their deadline use
the remaining slots. All others are refused immediately, while the caller still
has time to go elsewhere.
"""

import heapq
from itertools import count

from plantaingrade.admission.entity import (
    Decision,
    Refuse,
    Start,
    Ticket,
    Wait,
    WaitingQueue,
)
from plantaingrade.admission.estimate import WorkEstimate, WorkRate
from plantaingrade.admission.priorities import RecentPriorities, rank
from plantaingrade.admission.server_limits import ServerLimits
from plantaingrade.admission.probes import Probes
from plantaingrade.admission.waits import predict_wait_s, spread_s
from plantaingrade.requests.entity import NotRun, NotRunReason

# Minimum retry delay sent to callers, in seconds; shorter ones are no use.
MIN_RETRY_AFTER_S = 0.05
# Minimum share of the slots assumed to be available to late requests, whatever
# the requests in time use. It bounds the predicted wait.
MIN_UNUSED_SHARE = 0.05
# Remaining time assumed for work that has run for its expected duration or
# longer, as a fraction of that duration: the durations have a long tail.
MIN_REMAINING_FRACTION = 0.15
# Work counts as brief up to this fraction of the duration of the longest class.
# On a server with nine slots it delays others by a thirtieth of that duration.
MAX_BRIEF_FRACTION = 0.3
# Minimum delay before the queues are checked again, in seconds. Timers fire a
# millisecond late, and one that fires early would find no free slot.
MIN_FILL_DELAY_S = 0.002
NEVER = float('inf')
# Priority of brief work, ahead of all classes, whose priorities start at 0.
BRIEF_PRIORITY = -1


QueueEntry = tuple[int, float, int, Ticket]


class SlotQueue:
    """Slots of one server and the tickets that wait for them.

    Each queue is ordered by priority, then by the end of the latency objective,
    or by the deadline for requests that are late.
    """

    __slots__ = (
        '_heap_by_queue',
        '_priorities',
        '_probes',
        '_sequence',
        '_rate',
        '_running_tickets',
        'estimate',
        'limits',
        'slots',
    )

    def __init__(self, slots: int, estimate: WorkEstimate) -> None:
        """Create empty queues with all slots free."""
        self.slots = slots
        self.estimate = estimate
        self.limits = ServerLimits()
        self._rate = WorkRate()
        self._priorities = RecentPriorities()
        self._probes = Probes()
        self._sequence = count()
        self._running_tickets: dict[Ticket, None] = {}
        self._heap_by_queue: dict[WaitingQueue, list[QueueEntry]] = {
            queue: [] for queue in WaitingQueue
        }

    @property
    def running(self) -> int:
        """Return the number of tickets that have slots."""
        return len(self._running_tickets)

    @property
    def waiting(self) -> int:
        """Return the number of waiting tickets."""
        return sum(
            entry[-1].is_waiting
            for heap in self._heap_by_queue.values()
            for entry in heap
        )

    def offer(self, ticket: Ticket, now: float) -> Decision:
        """Start, queue or refuse a new ticket."""
        work_s = self.estimate.expected_s(ticket.kind)
        if now + work_s > ticket.deadline:
            long_term = self.estimate.long_term
            ticket.is_probe = self._probes.take(ticket.kind, long_term, now)
            if not ticket.is_probe:
                return _refuse(ticket, NotRunReason.TOO_LATE, work_s)
        if ticket.is_probe and self._may_start(ticket, now):
            return self._start(ticket, now)
        self._priorities.observe(ticket.kind, ticket.priority, now)
        if self._may_start(ticket, now) and not self.waiting:
            return self._start(ticket, now)
        wait_s = self._in_time_wait_s(ticket, now)
        is_brief = self._is_brief(ticket.kind)
        must_end_by = ticket.deadline if is_brief else ticket.due
        if now + wait_s + work_s <= must_end_by:
            return self._enqueue(
                ticket, WaitingQueue.IN_TIME, must_end_by - work_s
            )
        late_wait_s = self._late_wait_s(ticket, now)
        if now + late_wait_s + work_s <= ticket.deadline:
            return self._enqueue(
                ticket, WaitingQueue.LATE, ticket.deadline - work_s
            )
        return self._refuse_full(ticket, NotRunReason.QUEUE_FULL, wait_s, now)

    def release(self, ticket: Ticket, now: float) -> list[Decision]:
        """Free the slot of a ticket; return decisions on waiting tickets."""
        if ticket in self._running_tickets:
            self._running_tickets.pop(ticket)
            self.limits.memory.remove(ticket.size)
        return self.fill(now)

    def fill(self, now: float) -> list[Decision]:
        """Assign free slots to waiting tickets."""
        decisions: list[Decision] = []
        ticket = self._find_next(now)
        while ticket is not None and self._may_start(ticket, now):
            decisions.append(self._start(ticket, now))
            ticket = self._find_next(now)
        return decisions

    def next_fill_s(self, now: float) -> float | None:
        """Return the delay until ``fill`` must run if no slot is released.

        Returns None if no ticket waits, all slots are in use or the server has
        no memory for the next one.
        """
        ticket = self._find_next(now)
        if ticket is None or self.running >= self.slots:
            return None
        return max(
            MIN_FILL_DELAY_S,
            self.limits.named.response_wait_s(self.running, now),
            self._limit_wait_s(ticket.kind, ticket.priority, 0, now),
        )

    def expected_wait_s(self, kind: str, priority: int, now: float) -> float:
        """Return the expected wait for a slot of a further ticket."""
        work_ahead_s = self._work_ahead_s(
            self._queue_priority(kind, priority), NEVER
        )
        wait_s = predict_wait_s(
            self._remaining_s(now), work_ahead_s, self.slots
        )
        limit_wait_s = self._limit_wait_s(
            kind, priority, len(work_ahead_s), now
        )
        return max(wait_s, limit_wait_s)

    def usable_slots(self, now: float) -> float:
        """Return the number of slots that the server can currently use."""
        mean_s = self.estimate.mean_s()
        return self.limits.usable_slots(self.slots, mean_s, now)

    def on_timeout(self, ticket: Ticket, now: float) -> Decision:
        """Requeue or refuse a ticket whose wait limit has passed.

        A ticket that can no longer meet its objective may still be served
        before its deadline.
        """
        work_s = self.estimate.expected_s(ticket.kind)
        is_late = ticket.queue is WaitingQueue.LATE
        late_wait_s = self._late_wait_s(ticket, now)
        if is_late or now + late_wait_s + work_s > ticket.deadline:
            self.remove(ticket)
            return self._refuse_full(
                ticket, NotRunReason.TOO_LATE, late_wait_s, now
            )
        self.remove(ticket)
        return self._enqueue(
            ticket, WaitingQueue.LATE, ticket.deadline - work_s
        )

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket from its queue."""
        ticket.is_waiting = False
        heap = [
            entry
            for entry in self._heap_by_queue[ticket.queue]
            if entry[-1] is not ticket
        ]
        heapq.heapify(heap)
        self._heap_by_queue[ticket.queue] = heap

    def _refuse_full(
        self, ticket: Ticket, reason: NotRunReason, wait_s: float, now: float
    ) -> Refuse:
        """Refuse a ticket that slots or limits have no room for in time."""
        limit_wait_s = self._limit_wait_s(
            ticket.kind, ticket.priority, self.waiting, now
        )
        if not limit_wait_s or limit_wait_s < wait_s:
            return _refuse(ticket, reason, wait_s)
        work_s = self.estimate.expected_s(ticket.kind)
        turn_s = self.limits.take_turn_s(
            now, limit_wait_s, ticket.deadline - work_s
        )
        return _refuse(ticket, NotRunReason.RATE_LIMITED, turn_s)

    def _start(self, ticket: Ticket, now: float) -> Start:
        ticket.is_waiting = False
        ticket.started_at = now
        self._running_tickets[ticket] = None
        self.limits.spend(now)
        self.limits.memory.add(ticket.size)
        if ticket.queue is WaitingQueue.IN_TIME:
            work_s = self.estimate.expected_s(ticket.kind)
            self._rate.observe(work_s, now)
        return Start(ticket)

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        if self.running >= self.slots:
            return False
        if not self.limits.memory.admits(ticket.size, now):
            return False
        if not self.limits.are_in_force(now):
            return not self.limits.named.response_wait_s(self.running, now)
        share = self._reserve_share(ticket.kind, ticket.priority, now)
        return self.limits.admits(self.running, now, reserve_share=share)

    def _reserve_share(self, kind: str, priority: int, now: float) -> float:
        """Return the share of the reserve that is left to other requests."""
        others = {
            self._queue_priority(*each)
            for each in self._priorities.find_recent(now)
        }
        return rank(self._queue_priority(kind, priority), others)

    def _limit_wait_s(
        self, kind: str, priority: int, ahead: int, now: float
    ) -> float:
        """Return the wait for the rate limits behind ``ahead`` requests."""
        if not self.limits.are_in_force(now):
            return 0.0
        share = self._reserve_share(kind, priority, now)
        return self.limits.wait_s(now, ahead, reserve_share=share)

    def _enqueue(
        self, ticket: Ticket, queue: WaitingQueue, timeout_at: float
    ) -> Wait:
        ticket.queue = queue
        ticket.is_waiting = True
        target_at = (
            ticket.due if queue is WaitingQueue.IN_TIME else ticket.deadline
        )
        queue_priority = self._queue_priority(ticket.kind, ticket.priority)
        entry = (queue_priority, target_at, next(self._sequence), ticket)
        heapq.heappush(self._heap_by_queue[queue], entry)
        return Wait(ticket, timeout_at)

    def _find_next(self, now: float) -> Ticket | None:
        """Return the ticket that gets the next slot, if any waits.

        Tickets that the server has no memory for hold up no others.
        """
        admits = self.limits.memory.admits
        for heap in self._heap_by_queue.values():
            while heap and not heap[0][-1].is_waiting:
                heapq.heappop(heap)
            if heap and admits(heap[0][-1].size, now):
                return heap[0][-1]
            admitted = [
                entry
                for entry in heap
                if entry[-1].is_waiting and admits(entry[-1].size, now)
            ]
            if admitted:
                return min(admitted)[-1]
        return None

    def _queue_priority(self, kind: str, priority: int) -> int:
        """Return the priority used for queueing; the lowest goes first.

        Brief work precedes all classes. Most of it consists of calls from other
        servers, which occupy a slot while they wait for the response.
        """
        return BRIEF_PRIORITY if self._is_brief(kind) else priority

    def _is_brief(self, kind: str) -> bool:
        """Return whether work of a class hardly delays other work.

        Brief work stays queued until its deadline instead of its objective.
        """
        work_s = self.estimate.expected_s(kind)
        return work_s <= MAX_BRIEF_FRACTION * self.estimate.longest_s()

    def _in_time_wait_s(self, ticket: Ticket, now: float) -> float:
        """Predict the wait behind running work and tickets ahead.

        The prediction for brief work uses the next free slot. For other work it
        spreads the load evenly over all slots, which adds half the duration of
        a piece of work: with the next free slot, callers would wait and be
        refused in the end.
        """
        queue_priority = self._queue_priority(ticket.kind, ticket.priority)
        work_ahead_s = self._work_ahead_s(queue_priority, ticket.due)
        remaining_s = self._remaining_s(now)
        if self._is_brief(ticket.kind):
            wait_s = predict_wait_s(remaining_s, work_ahead_s, self.slots)
        else:
            wait_s = spread_s([*remaining_s, *work_ahead_s], self.slots)
        limit_wait_s = self._limit_wait_s(
            ticket.kind, ticket.priority, len(work_ahead_s), now
        )
        return max(wait_s, limit_wait_s)

    def _work_ahead_s(self, queue_priority: int, due: float) -> list[float]:
        """Return the durations of queued work that precedes such a ticket."""
        return [
            self.estimate.expected_s(ticket.kind)
            for *position, _, ticket in self._heap_by_queue[
                WaitingQueue.IN_TIME
            ]
            if ticket.is_waiting and position <= [queue_priority, due]
        ]

    def _late_wait_s(self, ticket: Ticket, now: float) -> float:
        """Predict the wait for slots not used by requests in time."""
        work_ahead_s = [
            self.estimate.expected_s(entry[-1].kind)
            for heap in self._heap_by_queue.values()
            for entry in heap
            if entry[-1] is not ticket and entry[-1].is_waiting
        ]
        wait_s = spread_s([*self._remaining_s(now), *work_ahead_s], self.slots)
        wait_s /= self._unused_share(now)
        limit_wait_s = self._limit_wait_s(
            ticket.kind, ticket.priority, len(work_ahead_s), now
        )
        return max(wait_s, limit_wait_s)

    def _remaining_s(self, now: float) -> list[float]:
        """Return the expected remaining time of each running ticket."""
        remaining_s = []
        for ticket in self._running_tickets:
            work_s = self.estimate.expected_s(ticket.kind)
            elapsed_s = now - ticket.started_at
            remaining_s.append(
                max(work_s - elapsed_s, MIN_REMAINING_FRACTION * work_s)
            )
        return remaining_s

    def _unused_share(self, now: float) -> float:
        """Return the share of slots that requests in time do not use."""
        taken = self._rate.busy_slots(now) / max(1, self.slots)
        return max(MIN_UNUSED_SHARE, 1 - taken)


def _refuse(ticket: Ticket, reason: NotRunReason, wait_s: float) -> Refuse:
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
    return Refuse(ticket, NotRun(reason, retry_after_s))
