"""Datagrams that carry leases."""

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
    """A witness has promised to renew this lease no more."""

    member: str
    epoch: int
    witness: str


class Lapsed(Message):
    """A witness has seen no renewal for a whole lease; not a promise."""

    member: str
    epoch: int
    witness: str


class Ask(Message):
    """Somebody asks a witness to promise that a lease has ended."""

    member: str
    epoch: int
    witness: str
    reply_to: str


class Testimony(Message):
    """A witness tells whether it renews the lease no more."""

    member: str
    epoch: int
    witness: str
    over: bool


class EpochCheck(Message):
    """The holder asks a successor to judge it by its new witnesses."""

    member: str
    epoch: int
    successor: str
    reply_to: str


class EpochAck(Message):
    """A successor judges the holder by the witnesses of this epoch only."""

    member: str
    epoch: int
    successor: str


LeaseMessage = (
    Renew
    | RenewAck
    | RenewRefused
    | Lapsed
    | Ask
    | Testimony
    | EpochCheck
    | EpochAck
)


def majority(count: int) -> int:
    """Return the smallest number that is more than half of ``count``."""
    return count // 2 + 1
