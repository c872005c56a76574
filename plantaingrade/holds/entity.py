"""Typed orders to the own backend server, and questions to witnesses."""

from msgspec import Struct

from plantaingrade.codec import Message
from plantaingrade.keyspace.entity import KeyRange


class Grant(Struct, frozen=True):
    """Order to hold a range for some seconds from the order's arrival.

    ``handover`` is the token that the last holder gave when it released the
    range; with it the server need not warm up again.
    """

    keys: KeyRange
    fence: int
    hold_s: float
    handover: str = ''


class Release(Struct, frozen=True):
    """Order to stop work on a range; answered when what ran has ended."""

    keys: KeyRange
    fence: int


class Accepted(Struct, frozen=True):
    """The server carried the order out."""

    handover: str = ''


class Outranked(Struct, frozen=True):
    """The server has seen a higher fence on one of these keys."""


class Unanswered(Struct, frozen=True):
    """The server may have carried the order out, or may do so later."""


class Unsent(Struct, frozen=True):
    """The server never saw the order.

    The session was over, no turn came in time, or no connection was made.
    """


class Rejected(Struct, frozen=True):
    """The server answered with another status; it may not have understood."""

    status: int


OrderOutcome = Accepted | Outranked | Unanswered | Unsent | Rejected


class Witness(Struct, frozen=True, order=True):
    """One run of a process that a member has named in its row."""

    name: str
    boot: str


class PromiseRequest(Message, tag='PromiseAsked'):
    """A member asks a witness not to give it up.

    The promise is for its writes from ``first``, the last that it knows to
    stand in the store, to ``last``, the last that it has sent.
    """

    name: str
    boot: str
    first: int
    last: int
    witness_boot: str


class ExpiryRequest(Message, tag='GiveUpAsked'):
    """A member asks a witness to give another up.

    ``number`` is that of the write that stands in the other's row.
    """

    name: str
    boot: str
    number: int
    witness_boot: str


WitnessRequest = PromiseRequest | ExpiryRequest
