"""Discrete-event simulation of a load on an admission queue.

The network delay is 8 ms each way. Callers retry once after a refusal and stop
waiting at their deadline. Requests are counted by class.
"""

import heapq
import random
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from plantaingrade.admission.entity import Refuse, Start, Ticket, Wait
from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.slots import SlotQueue

NETWORK_DELAY_S = 0.008
NEVER = float('inf')


@dataclass(frozen=True)
class RequestClass:
    """A class of requests: arrival rate, work, objective and deadline."""

    name: str
    priority: int
    per_s: float
    work_s: float
    sigma: float
    due_s: float
    deadline_s: float
    worth: float
    late_worth: float


@dataclass
class ClassCounts:
    """Counts of the requests of one class, by how they ended."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    refused_twice: int = 0
    refusal_delay_s: float = 0.0

    def worth(self, request_class: RequestClass) -> float:
        """Return the earned share of the worth of all requests."""
        earned = (
            self.in_time * request_class.worth
            + self.late * request_class.late_worth
        )
        return earned / max(1e-9, self.requests * request_class.worth)


@dataclass
class Attempt:
    """One attempt of a caller."""

    request_class: RequestClass
    sent_at: float
    number: int
    arrived_at: float = 0.0
    ticket: Ticket | None = None


@dataclass
class Simulation:
    """One simulated load on a queue."""

    classes: tuple[RequestClass, ...]
    queue: SlotQueue
    duration_s: float
    speed: float = 1.0
    seed: int = 1
    counts: dict[str, ClassCounts] = field(default_factory=dict)
    slow_from: float = 1e9
    slowdown: float = 1.0

    def run(self) -> dict[str, ClassCounts]:
        """Run the simulation and return the counts by class."""
        self._random = random.Random(self.seed)
        self._events: list[Any] = []
        self._sequence = count()
        self._attempt_by_ticket: dict[Ticket, Attempt] = {}
        self._timeout_by_ticket: dict[Ticket, float] = {}
        self._fill_at = NEVER
        for request_class in self.classes:
            self.counts[request_class.name] = ClassCounts()
            self._next_arrival(request_class, 0.0)
        while self._events:
            now, _, callback, argument = heapq.heappop(self._events)
            callback(argument, now)
            self._schedule_fill(now)
        return self.counts

    def total_worth(self) -> float:
        """Return the earned share of the worth of all classes."""
        possible = sum(
            self.counts[request_class.name].requests * request_class.worth
            for request_class in self.classes
        )
        earned = sum(
            self.counts[request_class.name].in_time * request_class.worth
            + self.counts[request_class.name].late * request_class.late_worth
            for request_class in self.classes
        )
        return earned / possible

    def _schedule(self, when: float, callback: Any, argument: Any) -> None:
        heapq.heappush(
            self._events, (when, next(self._sequence), callback, argument)
        )

    def _schedule_fill(self, now: float) -> None:
        """Schedule a check for when a limited server may get more requests."""
        delay_s = self.queue.next_fill_s(now)
        if delay_s is not None and now + delay_s < self._fill_at:
            self._fill_at = now + delay_s
            self._schedule(self._fill_at, self._on_fill, None)

    def _on_fill(self, _: None, now: float) -> None:
        self._fill_at = NEVER
        for decision in self.queue.fill(now):
            self._apply(decision, now)

    def _next_arrival(self, request_class: RequestClass, now: float) -> None:
        when = now + self._random.expovariate(request_class.per_s)
        if when < self.duration_s:
            self._schedule(when, self._send_first, request_class)

    def _send_first(self, request_class: RequestClass, now: float) -> None:
        self.counts[request_class.name].requests += 1
        self._schedule(
            now + NETWORK_DELAY_S,
            self._on_arrival,
            Attempt(request_class, now, 1),
        )
        self._next_arrival(request_class, now)

    def _on_arrival(self, attempt: Attempt, now: float) -> None:
        request_class = attempt.request_class
        attempt.arrived_at = now
        attempt.ticket = Ticket(
            request_class.name,
            request_class.priority,
            attempt.sent_at + request_class.deadline_s,
            attempt.sent_at + request_class.due_s - NETWORK_DELAY_S,
        )
        self._attempt_by_ticket[attempt.ticket] = attempt
        self._apply(self.queue.offer(attempt.ticket, now), now)

    def _apply(self, decision: Any, now: float) -> None:
        attempt = self._attempt_by_ticket[decision.ticket]
        self._timeout_by_ticket.pop(decision.ticket, None)
        match decision:
            case Start():
                self._schedule(
                    now + self._work(attempt.request_class, now),
                    self._on_completion,
                    attempt,
                )
            case Wait(timeout_at=when):
                self._timeout_by_ticket[decision.ticket] = when
                self._schedule(
                    max(now, when), self._on_timeout, (attempt, when)
                )
            case Refuse(outcome=outcome):
                self._on_refusal(attempt, outcome.retry_after_s, now)

    def _work(self, request_class: RequestClass, now: float) -> float:
        factor = self._random.lognormvariate(
            -(request_class.sigma**2) / 2, request_class.sigma
        )
        slow = self.slowdown if now >= self.slow_from else 1.0
        return request_class.work_s * factor * slow / self.speed

    def _on_timeout(self, argument: Any, now: float) -> None:
        attempt, when = argument
        if self._timeout_by_ticket.get(attempt.ticket) == when:
            self._apply(self.queue.on_timeout(attempt.ticket, now), now)

    def _on_completion(self, attempt: Attempt, now: float) -> None:
        request_class = attempt.request_class
        counts = self.counts[request_class.name]
        self.queue.estimate.observe(
            request_class.name, now - attempt.ticket.started_at
        )
        received_at = now + NETWORK_DELAY_S
        if received_at <= attempt.sent_at + request_class.due_s:
            counts.in_time += 1
        elif received_at <= attempt.sent_at + request_class.deadline_s:
            counts.late += 1
        else:
            counts.unserved += 1
        for decision in self.queue.release(attempt.ticket, now):
            self._apply(decision, now)

    def _on_refusal(self, attempt: Attempt, after_s: float, now: float) -> None:
        counts = self.counts[attempt.request_class.name]
        counts.refusal_delay_s += now - attempt.arrived_at
        received_at = now + NETWORK_DELAY_S
        left_s = (
            attempt.sent_at + attempt.request_class.deadline_s - received_at
        )
        if attempt.number > 1 or left_s <= 0:
            counts.refused_twice += attempt.number > 1
            counts.unserved += 1
            return
        retried_at = received_at + min(after_s, left_s / 3) + NETWORK_DELAY_S
        self._schedule(
            retried_at,
            self._on_arrival,
            Attempt(attempt.request_class, attempt.sent_at, 2),
        )


def make_queue(slots: int) -> SlotQueue:
    """Return an empty queue."""
    return SlotQueue(slots, WorkEstimate())
