"""Requests for slots of the local backend server, and decisions on them."""

from enum import IntEnum

from msgspec import Struct

from plantaingrade.requests.entity import NotRun


class WaitingQueue(IntEnum):
    """Queues of waiting tickets, in the order in which they get slots."""

    IN_TIME = 0
    LATE = 1


class Ticket(Struct, eq=False):
    """A request for a slot.

    ``kind`` is its class of work, ``deadline`` the time by which it must be
    answered, and ``due`` the time at which its latency objective ends. ``size``
    is the length of its body in bytes. ``is_bound`` is set if only this server
    may do the work, as it holds its key. ``is_probe`` is set if it gets a slot
    only to learn how long its class of work takes now.
    """

    kind: str
    priority: int
    deadline: float
    due: float
    queue: WaitingQueue = WaitingQueue.IN_TIME
    is_waiting: bool = False
    started_at: float = 0.0
    size: int = 0
    is_bound: bool = False
    is_probe: bool = False


class Start(Struct, frozen=True):
    """The ticket has been given a slot."""

    ticket: Ticket


class Wait(Struct, frozen=True):
    """The ticket is queued; call ``on_timeout`` for it at ``timeout_at``."""

    ticket: Ticket
    timeout_at: float


class Refuse(Struct, frozen=True):
    """The ticket cannot be served in time and is rejected."""

    ticket: Ticket
    outcome: NotRun


Decision = Start | Wait | Refuse
