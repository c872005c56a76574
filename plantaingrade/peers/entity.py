"""Typed members and the datagrams between them."""

import ipaddress

from msgspec import Struct

from plantaingrade.codec import Message
from plantaingrade.keyspace.directory import differences
from plantaingrade.keyspace.entity import (
    KEY_COUNT,
    Assignment,
    KeyMap,
    KeyRange,
)

MAX_PORT = 65_535
# One more than any port has, so that a longer number is out of bounds.
MAX_PORT_DIGITS = 6


class Member(Struct, frozen=True):
    """One process as others know it.

    ``name`` is the IP address of its instance; ``boot`` names one run of the
    process; ``address`` is where it takes requests of other processes.
    """

    name: str
    service: str
    zone: str
    address: str
    boot: str

    def is_addressed(self) -> bool:
        """Tell whether the address is one that can be sent to."""
        return is_address(self.address)


def is_address(text: str) -> bool:
    """Tell whether a text is an address that can be sent to.

    Another writer may put anything in its place.
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit()
    return is_number and 0 < int(port[:MAX_PORT_DIGITS]) <= MAX_PORT


class Hello(Message):
    """A member tells that it runs; it is answered by a welcome."""

    member: Member


class Welcome(Message):
    """Answer to a hello."""

    member: Member


class Goodbye(Message):
    """A member leaves."""

    name: str
    boot: str


class MapChanged(Message):
    """The map of a service went from one version to the next.

    ``ranges`` holds first key, last key, place among ``owners`` and fence of
    each assignment that differs, some 20 bytes each. A change that no
    datagram can hold comes without them, and is asked for at ``source``.
    """

    service: str
    source: str
    before: int
    version: int
    fence: int
    owners: tuple[str, ...]
    ranges: tuple[tuple[int, int, int, int], ...]

    @classmethod
    def from_maps(
        cls, service: str, source: str, before: KeyMap, after: KeyMap
    ) -> 'MapChanged':
        """Return what differs between two maps."""
        changes = differences(before, after)
        owners = tuple(sorted({each.owner for each in changes}))
        ranges = tuple(
            (
                each.keys.first,
                each.keys.last,
                owners.index(each.owner),
                each.fence,
            )
            for each in changes
        )
        return cls(
            service,
            source,
            before.version,
            after.version,
            after.fence,
            owners,
            ranges,
        )

    def assignments(self) -> tuple[Assignment, ...]:
        """Return the assignments that differ.

        Raises:
            ValueError: a range is none, or its owner is not listed.
        """
        return tuple(self._assignment(each) for each in self.ranges)

    def _assignment(self, numbers: tuple[int, int, int, int]) -> Assignment:
        first, last, place, fence = numbers
        is_range = 0 <= first <= last and last < KEY_COUNT
        is_listed = 0 <= place < len(self.owners)
        if not is_range or not is_listed or not 0 <= fence <= self.fence:
            raise ValueError(f'no assignment: {numbers}')
        return Assignment(KeyRange(first, last), self.owners[place], fence)


class LoadTold(Message):
    """A member tells its load unasked, because it has room."""

    name: str
    share: float
    work_s: float
    slots: int


class RoomAsked(Message):
    """A member asks how soon the receiver's server could run a request.

    ``address`` is where the answer goes, ``number`` names the question.
    """

    number: int
    address: str
    service: str
    kind: str
    priority: int


class RoomTold(Message):
    """Answer to the question: times in milliseconds.

    There is no ``wait_ms`` where the server takes no work. ``failed`` is the
    part of its requests that failed lately, in hundredths.
    """

    number: int
    name: str
    wait_ms: int | None = None
    work_ms: int = 0
    failed: int = 0


class Introduced(Message):
    """A member runs, as it has told another one."""

    member: Member


class ServerCrashed(Message):
    """A member's server crashed; ``digests`` names what ran there."""

    digests: tuple[str, ...]


# What concerns all members.
Word = Introduced | Goodbye | MapChanged | ServerCrashed


class Passed(Message):
    """A word for all of the receiver's zone, which it passes on.

    ``skipped`` names members that are told otherwise.
    """

    word: Word
    skipped: tuple[str, ...]


Datagram = (
    Hello
    | Welcome
    | Introduced
    | Goodbye
    | MapChanged
    | LoadTold
    | Passed
    | ServerCrashed
    | RoomAsked
    | RoomTold
)


class Token(Struct, frozen=True):
    """What a server gave when it released a range; see ``Grant``."""

    keys: KeyRange
    token: str


class Handover(Struct, frozen=True):
    """Keys have passed to the receiver, by this change of the map."""

    change: MapChanged
    tokens: tuple[Token, ...]


class Offer(Struct, frozen=True):
    """A member asks whether another takes over work.

    ``share`` is the sender's load; ``work`` the work to be moved, in seconds
    of a slot in a second, at a server where a request takes ``work_s``.
    """

    name: str
    service: str
    share: float
    work: float
    work_s: float


class OfferReply(Struct, frozen=True):
    """Whether an offer is taken, and the load of the member asked."""

    is_accepted: bool
    share: float
    work_s: float
    slots: int
