"""Orders to the member's own backend server, and requests to witnesses."""

from msgspec import Struct

from plantaingrade.codec import Message
from plantaingrade.keyspace.entity import KeyRange


class Grant(Struct, frozen=True):
    """Order to hold a range for ``hold_s`` seconds from the order's arrival.

    ``handover`` is the token that the last holder returned when it released the
    range; with it the server need not warm up again.
    """

    keys: KeyRange
    fence: int
    hold_s: float
    handover: str = ''


class Release(Struct, frozen=True):
    """Order to stop work on a range; answered when running work has ended."""

    keys: KeyRange
    fence: int


class Accepted(Struct, frozen=True):
    """The server executed the order."""

    handover: str = ''


class Outranked(Struct, frozen=True):
    """The server has seen a higher fence on one of these keys."""


class Unanswered(Struct, frozen=True):
    """The server may have executed the order, or may still do so later."""


class Unsent(Struct, frozen=True):
    """The order never reached the server.

    The session was over, no connection became free in time, or none could be
    opened.
    """


class Rejected(Struct, frozen=True):
    """The server answered with another status and may not have understood."""

    status: int


OrderOutcome = Accepted | Outranked | Unanswered | Unsent | Rejected


class Witness(Struct, frozen=True, order=True):
    """One run of a process, named as a witness in a member's row."""

    name: str
    boot: str


class PromiseRequest(Message, tag='PromiseAsked'):
    """Ask a witness to promise not to let the sender's lease expire early.

    The promise covers the sender's writes from ``first``, the last one known to
    be in the store, to ``last``, the last one sent.
    """

    name: str
    boot: str
    first: int
    last: int
    witness_boot: str


class ExpiryRequest(Message, tag='GiveUpAsked'):
    """Ask a witness to agree that another member's lease has expired early.

    ``number`` is that of the write found in the other member's row.
    """

    name: str
    boot: str
    number: int
    witness_boot: str


WitnessRequest = PromiseRequest | ExpiryRequest
