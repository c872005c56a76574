"""Messages that replicate the journal."""

from msgspec import Struct

from plantaingrade.codec import Message
from plantaingrade.journal.entity import MapState, Record
from plantaingrade.leases.entity import LeaseMessage
from plantaingrade.ownership.entity import HandoverMessage


class Heartbeat(Message, tag='Beat'):
    """Announces which generation a process has applied."""

    member: str
    generation: int
    rpc: str
    udp: str
    draining: bool


Datagram = LeaseMessage | HandoverMessage | Heartbeat


class PullRequest(Struct, frozen=True):
    """Request for the records after a generation."""

    after: int


class PullReply(Struct, frozen=True):
    """Records, or the whole state if older records are no longer kept."""

    records: tuple[Record, ...]
    state: MapState | None
