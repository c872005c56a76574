"""Datagrams of the lease protocol."""

from plantaingrade.codec import Message


class Renew(Message):
    """The holder asks a witness to renew its lease."""

    member: str
    epoch: int
    witness: str
    sent_at: float
    reply_to: str


class RenewAck(Message):
    """A witness renewed the lease, counted from the holder's ``sent_at``."""

    member: str
    epoch: int
    witness: str
    sent_at: float


class RenewRefused(Message):
    """A witness has promised never to renew this lease again."""

    member: str
    epoch: int
    witness: str


class Lapsed(Message):
    """Notice that a witness saw no renewal for the length of a lease.

    This is not a promise: the witness renews the lease if it is asked to.
    """

    member: str
    epoch: int
    witness: str


class TestimonyRequest(Message, tag='Ask'):
    """A member asks a witness to promise that a lease has ended."""

    member: str
    epoch: int
    witness: str
    reply_to: str


class Testimony(Message):
    """A witness's reply to a ``TestimonyRequest``.

    ``over`` is a promise never to renew the lease again.
    """

    member: str
    epoch: int
    witness: str
    over: bool


class EpochCheck(Message):
    """The holder asks a successor to accept its new witnesses alone."""

    member: str
    epoch: int
    successor: str
    reply_to: str


class EpochAck(Message):
    """A successor accepts only testimony of this epoch about the holder."""

    member: str
    epoch: int
    successor: str


LeaseMessage = (
    Renew
    | RenewAck
    | RenewRefused
    | Lapsed
    | TestimonyRequest
    | Testimony
    | EpochCheck
    | EpochAck
)


def majority(count: int) -> int:
    """Return the smallest number that is more than half of ``count``."""
    return count // 2 + 1
