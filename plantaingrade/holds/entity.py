"""Typed orders to the own backend server, and questions to witnesses."""

from dataclasses import dataclass

from plantaingrade.keyspace.entity import KeyRange


@dataclass(slots=True, frozen=True)
class Grant:
    """Order to hold a range for some seconds from the order's arrival.

    ``handover`` is the token that the last holder gave when it released the
    range; with it the server need not warm up again.
    """

    keys: KeyRange
    fence: int
    hold_s: float
    handover: str = ''


@dataclass(slots=True, frozen=True)
class Release:
    """Order to stop work on a range; answered when what ran has ended."""

    keys: KeyRange
    fence: int


@dataclass(slots=True, frozen=True)
class Accepted:
    """The server carried the order out."""

    handover: str = ''


@dataclass(slots=True, frozen=True)
class Outranked:
    """The server has seen a higher fence on one of these keys."""


@dataclass(slots=True, frozen=True)
class Unanswered:
    """The server may have carried the order out, or may do so later."""


@dataclass(slots=True, frozen=True)
class Unsent:
    """The server never saw the order.

    The session was over, no turn came in time, or no connection was made.
    """


@dataclass(slots=True, frozen=True)
class Rejected:
    """The server answered with another status; it may not have understood."""

    status: int


OrderOutcome = Accepted | Outranked | Unanswered | Unsent | Rejected


@dataclass(slots=True, frozen=True, order=True)
class Witness:
    """One run of a process that a member has named in its row."""

    name: str
    boot: str


@dataclass(slots=True, frozen=True)
class PromiseAsked:
    """A member asks a witness not to give it up.

    The promise is for its writes from ``first``, the last that it knows to
    stand in the store, to ``last``, the last that it has sent.
    """

    name: str
    boot: str
    first: int
    last: int
    witness_boot: str


@dataclass(slots=True, frozen=True)
class GiveUpAsked:
    """A member asks a witness to give another up.

    ``number`` is that of the write that stands in the other's row.
    """

    name: str
    boot: str
    number: int
    witness_boot: str


Question = PromiseAsked | GiveUpAsked
