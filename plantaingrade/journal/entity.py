"""Rows of the map and the changes recorded in the journal."""

from enum import StrEnum

from msgspec import Struct, field

from plantaingrade.codec import Message


class MemberState(StrEnum):
    """Lifecycle state of one incarnation of a process."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    RETIRED = 'retired'
    OVER = 'over'


class Proof(StrEnum):
    """Evidence that an incarnation no longer holds a lease."""

    TESTIMONY = 'testimony'
    RESTART = 'restart'
    LEFT = 'left'


class RejectReason(StrEnum):
    """Reason why a change was rejected."""

    UNKNOWN_MEMBER = 'unknown member'
    UNKNOWN_SLICE = 'unknown slice'
    UNKNOWN_SERVICE = 'unknown service'
    SERVER_IN_USE = 'server id in use at another address'
    ALREADY_OWNED = 'already owned'
    HAS_SUCCESSOR = 'a successor is named already'
    NOT_SUCCESSOR = 'not the named successor'
    NOT_ELIGIBLE = 'server cannot take ownership'
    STALE = 'made from an older state'
    DUPLICATE = 'command already executed'
    CONFLICT = 'lost to an earlier command'
    HOT_LIST_FULL = 'list of hot keys is full'
    NOT_MERGEABLE = 'hot key and slice differ in owner or successor'


class MemberRow(Struct):
    """One incarnation of a process and the backend server it serves.

    ``epoch`` is incremented whenever its witnesses are replaced; ``epoch_at``
    is the journal generation of the last replacement.
    """

    member: str
    server: str
    service: str
    zone: str
    http: str
    udp: str
    rpc: str
    slots: int
    checks_fence: bool
    witnesses: tuple[str, ...] = ()
    epoch: int = 1
    epoch_at: int = 0
    state: MemberState = MemberState.STARTING
    proof: Proof | None = None


class SliceRow(Struct):
    """Ownership of one range of the hash space or of one hot key."""

    slice_id: str
    service: str
    owner: str | None = None
    fence: int = 0
    successor: str | None = None
    successor_fence: int = 0
    next_successor: str | None = None
    moving: str | None = None
    wanted_owner: str | None = None
    wanted_by: str = ''


class CommandRow(Struct):
    """Operator command that was accepted."""

    command_id: str
    operator: str
    text: str
    target: str
    generation: int


class ServiceRow(Struct):
    """Declared properties of one service."""

    name: str
    slices: int
    keyed: bool
    unfenced_grace_ms: int
    tenants: tuple[str, ...] = ()
    weight_imbalance: float = 1.0
    weight_churn: float = 1.0
    weight_unavailable: float = 1.0
    churn_budget: float = 0.03


class MapState(Struct):
    """State that results from replaying the journal."""

    generation: int = 0
    members: dict[str, MemberRow] = field(default_factory=dict)
    slices: dict[str, SliceRow] = field(default_factory=dict)
    services: dict[str, ServiceRow] = field(default_factory=dict)
    commands: dict[str, CommandRow] = field(default_factory=dict)
    declaration: str = ''
    declaration_generation: int = 0


class MemberJoined(Message, tag='Announced'):
    """A process joined as a member."""

    row: MemberRow


class StateSet(Message):
    """The state of a member was set, if it was the expected one."""

    member: str
    state: MemberState
    expected: MemberState | None = None


class WitnessesReplaced(Message, tag='Witnessed'):
    """A process replaced the witnesses of its own lease."""

    member: str
    witnesses: tuple[str, ...]
    epoch: int


class Assigned(Message):
    """A slice without an owner was assigned one."""

    slice_id: str
    member: str


class SuccessorNamed(Message):
    """A slice without a successor was assigned one."""

    slice_id: str
    member: str


class SuccessorRequested(Message, tag='SuccessorWished'):
    """The named successor is asked to withdraw in favor of another."""

    slice_id: str
    member: str


class OwnerRequested(Message, tag='OwnerWished'):
    """An operator or the placement requested another owner of a slice."""

    slice_id: str
    member: str
    command_id: str


class SuccessorWithdrawn(Message, tag='Renounced'):
    """The named successor withdrew; only it may write this.

    The fence identifies the naming that it withdraws from.
    """

    slice_id: str
    member: str
    fence: int


class MoveStarted(Message, tag='Moving'):
    """The owner is asked to release the slice to the successor."""

    slice_id: str
    command_id: str


class TakenOver(Message, tag='Took'):
    """The named successor became the owner; only it may write this."""

    slice_id: str
    member: str
    fence: int


class Ended(Message):
    """An incarnation holds no lease and will never acquire one again."""

    member: str
    proof: Proof
    epoch: int


class HotKeySplit(Message, tag='Carved'):
    """A hot key was split off its slice to be assigned separately."""

    service: str
    key: str


class HotKeyMerged(Message, tag='Merged'):
    """A hot key was merged back into its slice."""

    slice_id: str


class DeclarationApplied(Message, tag='Declared'):
    """A declarations document took effect."""

    text: str
    based_on: int
    services: tuple[ServiceRow, ...]


class CommandAccepted(Message, tag='Commanded'):
    """An operator command was accepted."""

    command_id: str
    operator: str
    text: str
    target: str
    based_on: int


Change = (
    MemberJoined
    | StateSet
    | WitnessesReplaced
    | Assigned
    | SuccessorNamed
    | SuccessorRequested
    | OwnerRequested
    | SuccessorWithdrawn
    | MoveStarted
    | TakenOver
    | Ended
    | HotKeySplit
    | HotKeyMerged
    | DeclarationApplied
    | CommandAccepted
)


class Record(Struct, frozen=True):
    """Changes appended together; each record is one generation."""

    generation: int
    write_id: str
    author: str
    changes: tuple[Change, ...]


class Applied(Struct, frozen=True):
    """The change took effect."""


class Rejected(Struct, frozen=True):
    """The change had no effect."""

    reason: RejectReason
    winner: str = ''


ChangeOutcome = Applied | Rejected
