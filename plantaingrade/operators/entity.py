"""Statements of the operators' language, and their outcomes."""

from dataclasses import dataclass

from plantaingrade.errors import PlantaingradeError


class StatementError(PlantaingradeError):
    """Report a statement that the grammar does not know."""

    advice = 'The grammar is in docs/OPERATIONS.md.'


@dataclass(slots=True, frozen=True)
class OwnerOf:
    """Ask who owns a key, and why."""

    service: str
    key: str


@dataclass(slots=True, frozen=True)
class ShowServers:
    """List servers and their states."""

    service: str


@dataclass(slots=True, frozen=True)
class ShowSlices:
    """List the slices of a service."""

    service: str


@dataclass(slots=True, frozen=True)
class ShowConfig:
    """Show the declarations in force."""


@dataclass(slots=True, frozen=True)
class ShowDecider:
    """Show which process decides."""


@dataclass(slots=True, frozen=True)
class ShowCommands:
    """List the last commands that took effect."""


@dataclass(slots=True, frozen=True)
class MoveKey:
    """Give one key an assignment of its own, at a server."""

    service: str
    key: str
    server: str


@dataclass(slots=True, frozen=True)
class MoveKeys:
    """Move a range of numbered keys, both ends included, to a server."""

    service: str
    first: int
    last: int
    server: str


@dataclass(slots=True, frozen=True)
class MoveSlice:
    """Move a slice to a server."""

    service: str
    index: int
    server: str


@dataclass(slots=True, frozen=True)
class Drain:
    """Move everything away from a server."""

    server: str


@dataclass(slots=True, frozen=True)
class Resume:
    """Let a drained server own slices again."""

    server: str


@dataclass(slots=True, frozen=True)
class Retire:
    """Drain a server for good."""

    server: str


Query = (
    OwnerOf | ShowServers | ShowSlices | ShowConfig | ShowDecider | ShowCommands
)
Command = MoveKey | MoveKeys | MoveSlice | Drain | Resume | Retire
Statement = Query | Command


@dataclass(slots=True, frozen=True)
class Accepted:
    """The command took effect at a generation."""

    command_id: str
    generation: int


@dataclass(slots=True, frozen=True)
class AlreadyDone:
    """The same command took effect before."""

    command_id: str
    generation: int


@dataclass(slots=True, frozen=True)
class Lost:
    """An earlier command stands against this one."""

    command_id: str
    winner: str


@dataclass(slots=True, frozen=True)
class Refused:
    """The command cannot be carried out."""

    command_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class Unsettled:
    """The journal does not answer; send the same command id again."""

    command_id: str
    retry_after_s: int = 2


CommandOutcome = Accepted | AlreadyDone | Lost | Refused | Unsettled
