"""Admit requests to the slots of the backend server beside this process.

Pure decisions: the caller passes the time in and acts on what is returned.
This process is its server's only caller, so what runs there is known here and
the server's own queue stays empty.
"""

import heapq
from dataclasses import dataclass, field
from itertools import count

from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.requests.entity import NotRun, NotRunReason

# Waits shorter than this are not worth a caller's while to come back after.
MIN_RETRY_AFTER_S = 0.05


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
    is_waiting: bool = field(default=False)


@dataclass(slots=True, frozen=True)
class Start:
    """The ticket has a slot from now on."""

    ticket: Ticket


@dataclass(slots=True, frozen=True)
class Wait:
    """The ticket waits; ask again at ``give_up_at`` if nothing came."""

    ticket: Ticket
    give_up_at: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """The ticket cannot be served in time."""

    ticket: Ticket
    outcome: NotRun


Verdict = Start | Wait | Refuse


class SlotQueue:
    """Slots of one server and the tickets that wait for them.

    The most urgent class goes first, and within it the earliest deadline. A
    ticket that would not end in time is refused when it comes, so that its
    caller can use the time that is left, and one that has waited too long is
    refused as soon as it can no longer end in time.
    """

    __slots__ = ('_line', '_numbers', 'estimate', 'running', 'slots')

    def __init__(self, slots: int, estimate: WorkEstimate) -> None:
        """Start empty."""
        self.slots = slots
        self.running = 0
        self.estimate = estimate
        self._numbers = count()
        self._line: list[tuple[int, float, int, Ticket]] = []

    @property
    def waiting(self) -> int:
        """Return how many tickets wait."""
        return sum(entry[-1].is_waiting for entry in self._line)

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Decide on a new ticket."""
        work_s = self.estimate.expected_s(ticket.kind)
        if now + work_s > ticket.until:
            return self._refuse(ticket, NotRunReason.TOO_LATE, work_s)
        if self.running < self.slots and not self.waiting:
            self.running += 1
            return Start(ticket)
        wait_s = self.expected_wait_s(ticket)
        if now + wait_s + work_s > ticket.until:
            return self._refuse(ticket, NotRunReason.QUEUE_FULL, wait_s)
        ticket.is_waiting = True
        place = (ticket.priority, ticket.until, next(self._numbers), ticket)
        heapq.heappush(self._line, place)
        return Wait(ticket, ticket.until - work_s)

    def release(self, now: float) -> list[Verdict]:
        """Free a slot; return what is to be done with waiting tickets."""
        self.running = max(0, self.running - 1)
        return self.fill(now)

    def fill(self, now: float) -> list[Verdict]:
        """Give free slots to waiting tickets."""
        verdicts: list[Verdict] = []
        while self._line and self.running < self.slots:
            ticket = heapq.heappop(self._line)[-1]
            if not ticket.is_waiting:
                continue
            ticket.is_waiting = False
            work_s = self.estimate.expected_s(ticket.kind)
            if now + work_s > ticket.until:
                refusal = self._refuse(ticket, NotRunReason.TOO_LATE, work_s)
                verdicts.append(refusal)
                continue
            self.running += 1
            verdicts.append(Start(ticket))
        return verdicts

    def withdraw(self, ticket: Ticket) -> None:
        """Take a waiting ticket out."""
        ticket.is_waiting = False

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return how long a ticket would wait behind those before it."""
        ahead_s = 0.0
        for entry in self._line:
            waiting = entry[-1]
            is_ahead = (waiting.priority, waiting.until) <= (
                ticket.priority,
                ticket.until,
            )
            if waiting.is_waiting and is_ahead:
                ahead_s += self.estimate.expected_s(waiting.kind)
        # A slot falls free, on average, after the work of one of its slots.
        own_turn_s = self.estimate.mean_s() / max(1, self.slots)
        return own_turn_s + ahead_s / max(1, self.slots)

    def _refuse(
        self, ticket: Ticket, reason: NotRunReason, wait_s: float
    ) -> Refuse:
        ticket.is_waiting = False
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        return Refuse(ticket, NotRun(reason, retry_after_s))
