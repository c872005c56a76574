"""Play a load against an admission policy, in simulated time.

Callers wait 8 ms from the server each way, come back once after a refusal, and
stop waiting at their deadline. What they got is counted by class.
"""

import heapq
import random
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.slots import (
    Refuse,
    SlotQueue,
    Start,
    Ticket,
    Wait,
)

NET_S = 0.008


@dataclass(frozen=True)
class Class:
    """One class of requests: rate a second, work, objective, deadline."""

    name: str
    priority: int
    per_s: float
    work_s: float
    spread: float
    due_s: float
    until_s: float
    worth: float
    late_worth: float


@dataclass
class Told:
    """What the callers of one class got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    lost: int = 0
    refused_twice: int = 0
    held_s: float = 0.0

    def worth(self, kind: Class) -> float:
        """Return the part of the worth that was earned."""
        earned = self.in_time * kind.worth + self.late * kind.late_worth
        return earned / max(1e-9, self.asked * kind.worth)


@dataclass
class Ask:
    """One attempt of a caller."""

    kind: Class
    began: float
    attempt: int
    arrived: float = 0.0
    ticket: Ticket | None = None


@dataclass
class Play:
    """One run of a load against a queue."""

    classes: tuple[Class, ...]
    queue: SlotQueue
    seconds: float
    speed: float = 1.0
    seed: int = 1
    told: dict[str, Told] = field(default_factory=dict)
    slow_from: float = 1e9
    slow_x: float = 1.0

    def run(self) -> dict[str, Told]:
        """Play the load to its end."""
        self._random = random.Random(self.seed)
        self._events: list[Any] = []
        self._numbers = count()
        self._ask_by_ticket: dict[Ticket, Ask] = {}
        self._timer_by_ticket: dict[Ticket, float] = {}
        for kind in self.classes:
            self.told[kind.name] = Told()
            self._next_arrival(kind, 0.0)
        while self._events:
            now, _, act, what = heapq.heappop(self._events)
            act(what, now)
        return self.told

    def total_worth(self) -> float:
        """Return the part of all worth that was earned."""
        owed = sum(
            self.told[kind.name].asked * kind.worth for kind in self.classes
        )
        earned = sum(
            self.told[kind.name].in_time * kind.worth
            + self.told[kind.name].late * kind.late_worth
            for kind in self.classes
        )
        return earned / owed

    def _at(self, when: float, act: Any, what: Any) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act, what))

    def _next_arrival(self, kind: Class, now: float) -> None:
        when = now + self._random.expovariate(kind.per_s)
        if when < self.seconds:
            self._at(when, self._ask_first, kind)

    def _ask_first(self, kind: Class, now: float) -> None:
        self.told[kind.name].asked += 1
        self._at(now + NET_S, self._arrive, Ask(kind, now, 1))
        self._next_arrival(kind, now)

    def _arrive(self, ask: Ask, now: float) -> None:
        kind = ask.kind
        ask.arrived = now
        ask.ticket = Ticket(
            kind.name,
            kind.priority,
            ask.began + kind.until_s,
            ask.began + kind.due_s - NET_S,
        )
        self._ask_by_ticket[ask.ticket] = ask
        self._act(self.queue.offer(ask.ticket, now), now)

    def _act(self, verdict: Any, now: float) -> None:
        ask = self._ask_by_ticket[verdict.ticket]
        self._timer_by_ticket.pop(verdict.ticket, None)
        match verdict:
            case Start():
                self._at(now + self._work(ask.kind, now), self._end, ask)
            case Wait(give_up_at=when):
                self._timer_by_ticket[verdict.ticket] = when
                self._at(max(now, when), self._give_up, (ask, when))
            case Refuse(outcome=outcome):
                self._refused(ask, outcome.retry_after_s, now)

    def _work(self, kind: Class, now: float) -> float:
        scale = self._random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        slow = self.slow_x if now >= self.slow_from else 1.0
        return kind.work_s * scale * slow / self.speed

    def _give_up(self, what: Any, now: float) -> None:
        ask, when = what
        if self._timer_by_ticket.get(ask.ticket) == when:
            self._act(self.queue.give_up(ask.ticket, now), now)

    def _end(self, ask: Ask, now: float) -> None:
        kind = ask.kind
        told = self.told[kind.name]
        self.queue.estimate.observe(kind.name, now - ask.ticket.started)
        done = now + NET_S
        if done <= ask.began + kind.due_s:
            told.in_time += 1
        elif done <= ask.began + kind.until_s:
            told.late += 1
        else:
            told.lost += 1
        for verdict in self.queue.release(ask.ticket, now):
            self._act(verdict, now)

    def _refused(self, ask: Ask, after_s: float, now: float) -> None:
        told = self.told[ask.kind.name]
        told.held_s += now - ask.arrived
        heard = now + NET_S
        left_s = ask.began + ask.kind.until_s - heard
        if ask.attempt > 1 or left_s <= 0:
            told.refused_twice += ask.attempt > 1
            told.lost += 1
            return
        back = heard + min(after_s, left_s / 3) + NET_S
        self._at(back, self._arrive, Ask(ask.kind, ask.began, 2))


def make_queue(slots: int) -> SlotQueue:
    """Return an empty queue."""
    return SlotQueue(slots, WorkEstimate())
