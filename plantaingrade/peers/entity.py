"""Members, and the typed messages between them."""

from msgspec import Struct, field

from plantaingrade.addresses import is_ip_address
from plantaingrade.balance.entity import Load
from plantaingrade.codec import Message
from plantaingrade.keyspace.directory import differences
from plantaingrade.keyspace.entity import (
    KEY_COUNT,
    Assignment,
    KeyMap,
    KeyRange,
)

# Ranges of a change that is sent within another message, at most 40 bytes each
# with their owner.
MAX_SHORT_RANGES = 20


class Member(Struct, frozen=True):
    """One process as known to its peers.

    ``name`` holds the service and the IP address of the instance; ``boot``
    identifies one run of the process; ``address`` is where it accepts requests
    of other processes.
    """

    name: str
    service: str
    zone: str
    address: str
    boot: str

    def has_valid_address(self) -> bool:
        """Return whether the address can be sent to."""
        return is_ip_address(self.address)


class Hello(Message):
    """Announces that a member runs; answered by a welcome."""

    member: Member


class Welcome(Message):
    """Answer to a hello, with the answering member."""

    member: Member


class Goodbye(Message):
    """Announces that a run of a member leaves."""

    name: str
    boot: str


class ConfigFound(Message):
    """Names a configuration that the receivers may have missed.

    ``is_for_all`` is set if every member gets it, not only a few.
    """

    version: int
    is_for_all: bool


class MapChanged(Message):
    """Announces a new version of the key map of a service.

    ``ranges`` holds first key, last key, index in ``owners`` and fence of each
    assignment that differs, about 20 bytes each. A change that is too large for
    a datagram comes without them, and the map is fetched from ``source``.
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
        """Build the message from the difference between two maps."""
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

    @property
    def is_short(self) -> bool:
        """Return whether the change fits into another message."""
        return 0 < len(self.ranges) <= MAX_SHORT_RANGES

    def assignments(self) -> tuple[Assignment, ...]:
        """Return the assignments that differ.

        Raises:
            ValueError: a range is invalid, or its owner is not listed.
        """
        return tuple(self._assignment(each) for each in self.ranges)

    def _assignment(self, numbers: tuple[int, int, int, int]) -> Assignment:
        first, last, index, fence = numbers
        is_range = 0 <= first <= last and last < KEY_COUNT
        is_listed = 0 <= index < len(self.owners)
        if not is_range or not is_listed or not 0 <= fence <= self.fence:
            raise ValueError(f'invalid assignment: {numbers}')
        return Assignment(KeyRange(first, last), self.owners[index], fence)


class LoadReport(Message, tag='LoadTold'):
    """Load that a member with free capacity reports on its own."""

    name: str
    share: float
    work_s: float
    slots: int

    @property
    def load(self) -> Load:
        """Return the load of the member."""
        return Load(self.share, self.work_s, self.slots)


class CapacityRequest(Message, tag='RoomAsked'):
    """Asks how soon the receiver's server could run a request.

    The response goes to ``address`` and repeats ``number``.
    """

    number: int
    address: str
    service: str
    kind: str
    priority: int


class CapacityResponse(Message, tag='RoomTold'):
    """Answer to a capacity request, with times in milliseconds.

    ``wait_ms`` is None if the server accepts no work. ``failed`` is the share
    of its recent requests that failed, in percent.
    """

    number: int
    name: str
    wait_ms: int | None = None
    work_ms: int = 0
    failed: int = 0


class TurnRequest(Message):
    """Asks for a turn to change the map of a service.

    Answers go to ``address`` and repeat ``number``. Lower ranks come first.
    """

    service: str
    name: str
    address: str
    number: int
    rank: int


class TurnAnswer(Message):
    """Grants a turn, or tells how long it takes until then.

    ``wait_ms`` is None if the turn is granted. ``version`` is the newest
    version of the map known to the member that grants turns, and ``change``
    leads to it, if it is known and short.
    """

    name: str
    number: int
    version: int
    wait_ms: int | None = None
    change: MapChanged | None = None


class TurnEnded(Message):
    """Returns a turn, or withdraws its request.

    ``version`` is the newest version of the map known to the sender, and
    ``change`` what it has changed in its turn, if that is short.
    """

    service: str
    name: str
    number: int
    version: int
    change: MapChanged | None = None


class Introduced(Message):
    """Announces a member to those that its hello has not reached."""

    member: Member


class ServerCrashed(Message):
    """Digests of the requests that a server was running when it crashed."""

    digests: tuple[str, ...]


# Messages that are sent to all members.
Notification = Introduced | Goodbye | MapChanged | ServerCrashed | ConfigFound


class Forwarded(Message, tag='Passed'):
    """A notification that the receiver forwards within its zone.

    ``skipped`` names members that are notified in another way.
    """

    notification: Notification = field(name='word')
    skipped: tuple[str, ...]


Datagram = (
    Hello
    | Welcome
    | Introduced
    | Goodbye
    | MapChanged
    | LoadReport
    | Forwarded
    | ServerCrashed
    | ConfigFound
    | CapacityRequest
    | CapacityResponse
    | TurnRequest
    | TurnAnswer
    | TurnEnded
)


class Token(Struct, frozen=True):
    """Handover token that a server returned when it released a range."""

    keys: KeyRange
    token: str


class Handover(Struct, frozen=True):
    """Notifies the receiver that this map change assigns keys to it."""

    change: MapChanged
    tokens: tuple[Token, ...]


class Offer(Struct, frozen=True):
    """Asks whether another member takes over work.

    ``share`` is the sender's load. ``work`` is the work to be moved, in slot
    seconds per second, at a server where a request takes ``work_s``.
    """

    name: str
    service: str
    share: float
    work: float
    work_s: float


class OfferReply(Struct, frozen=True):
    """Whether an offer is accepted, and the load of the answering member."""

    is_accepted: bool
    share: float
    work_s: float
    slots: int
