"""Types of the ownership subsystem."""

from msgspec import Struct

from plantaingrade.codec import Message


class Offer(Message):
    """The owner asks its successor whether it can take over a slice now."""

    slice_id: str
    owner: str
    fence: int
    successor: str
    reply_to: str


class OfferAccepted(Message):
    """The successor holds a lease and can take over the slice now."""

    slice_id: str
    fence: int
    successor: str


class Release(Message):
    """The owner has stopped work on a slice and passes it to the successor."""

    slice_id: str
    owner: str
    fence: int
    successor: str
    reply_to: str


class Owned(Struct, frozen=True):
    """This process owns the slice under a fence until the lease ends."""

    slice_id: str
    fence: int
    until: float


class OwnedElsewhere(Struct, frozen=True):
    """Another process owns the slice, as far as this process knows."""

    slice_id: str
    owner: str
    successor: str | None


class Unowned(Struct, frozen=True):
    """No process is known to own the slice now."""

    slice_id: str


class LeaseLapsed(Struct, frozen=True):
    """This process is the recorded owner, but holds no lease now."""

    slice_id: str
    successor: str | None


HandoverMessage = Offer | OfferAccepted | Release
Ownership = Owned | OwnedElsewhere | Unowned | LeaseLapsed
