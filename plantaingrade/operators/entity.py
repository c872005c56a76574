"""Statements of the operators' language, and their outcomes."""

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError


class StatementError(PlantaingradeError):
    """Report a statement that the grammar does not know."""

    advice = 'The grammar is in docs/OPERATIONS.md.'


class OwnerOf(Struct, frozen=True):
    """Ask who owns a key, and why."""

    service: str
    key: str


class ShowServers(Struct, frozen=True):
    """List servers and their states."""

    service: str


class ShowSlices(Struct, frozen=True):
    """List the slices of a service."""

    service: str


class ShowConfig(Struct, frozen=True):
    """Show the declarations in force."""


class ShowDecider(Struct, frozen=True):
    """Show which process decides."""


class ShowCommands(Struct, frozen=True):
    """List the last commands that took effect."""


class MoveKey(Struct, frozen=True):
    """Give one key an assignment of its own, at a server."""

    service: str
    key: str
    server: str


class MoveKeys(Struct, frozen=True):
    """Move a range of numbered keys, both ends included, to a server."""

    service: str
    first: int
    last: int
    server: str


class MoveSlice(Struct, frozen=True):
    """Move a slice to a server."""

    service: str
    index: int
    server: str


class Drain(Struct, frozen=True):
    """Move everything away from a server."""

    server: str


class Resume(Struct, frozen=True):
    """Let a drained server own slices again."""

    server: str


class Retire(Struct, frozen=True):
    """Drain a server for good."""

    server: str


Query = (
    OwnerOf | ShowServers | ShowSlices | ShowConfig | ShowDecider | ShowCommands
)
Command = MoveKey | MoveKeys | MoveSlice | Drain | Resume | Retire
Statement = Query | Command


class Accepted(Struct, frozen=True):
    """The command took effect at a generation."""

    command_id: str
    generation: int


class AlreadyDone(Struct, frozen=True):
    """The same command took effect before."""

    command_id: str
    generation: int


class Lost(Struct, frozen=True):
    """An earlier command stands against this one."""

    command_id: str
    winner: str


class Refused(Struct, frozen=True):
    """The command cannot be carried out."""

    command_id: str
    reason: str


class Unsettled(Struct, frozen=True):
    """The journal does not answer; send the same command id again."""

    command_id: str
    retry_after_s: int = 2


CommandOutcome = Accepted | AlreadyDone | Lost | Refused | Unsettled
