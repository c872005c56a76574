"""Statements of the operators' language and outcomes of commands."""

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError


class StatementError(PlantaingradeError):
    """Report a statement that does not match the grammar."""

    advice = 'The grammar is in docs/OPERATIONS.md.'


class OwnerOf(Struct, frozen=True):
    """Show the owner of a key and the map row that assigns it."""

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
    """Show which process is the decider."""


class ShowCommands(Struct, frozen=True):
    """List the last commands that took effect."""


class MoveKey(Struct, frozen=True):
    """Move one key to a server, apart from the rest of its slice."""

    service: str
    key: str
    server: str


class MoveKeys(Struct, frozen=True):
    """Move a range of numeric keys to a server, both ends included."""

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
    """Move all slices or keys away from a server."""

    server: str


class Resume(Struct, frozen=True):
    """Allow a drained server to own slices or keys again."""

    server: str


class Retire(Struct, frozen=True):
    """Drain a server permanently."""

    server: str


Query = (
    OwnerOf | ShowServers | ShowSlices | ShowConfig | ShowDecider | ShowCommands
)
Command = MoveKey | MoveKeys | MoveSlice | Drain | Resume | Retire
Statement = Query | Command


class Accepted(Struct, frozen=True):
    """The command took effect in this generation of the map."""

    command_id: str
    generation: int


class AlreadyDone(Struct, frozen=True):
    """A command with the same id took effect before."""

    command_id: str
    generation: int


class Lost(Struct, frozen=True):
    """A conflicting command took effect first."""

    command_id: str
    winner: str


class Refused(Struct, frozen=True):
    """The command cannot be carried out."""

    command_id: str
    reason: str


class Unsettled(Struct, frozen=True):
    """The outcome is unknown; retry with the same command id.

    The journal or the store did not answer, or a transfer failed.
    """

    command_id: str
    retry_after_s: int = 2


CommandOutcome = Accepted | AlreadyDone | Lost | Refused | Unsettled
