"""Typed outcomes of the platform's services."""

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError


class PlatformUnavailableError(PlantaingradeError):
    """Report that a service did nothing: it was not reached or refused."""

    advice = 'Ownership goes on without it; the call is tried again.'


class PlatformOutcomeUnknownError(PlantaingradeError):
    """Report that a write may have taken effect: its answer was lost."""

    advice = 'Read back by the write id before writing again.'


class Stored(Struct, frozen=True):
    """The write took effect."""


class Conflicted(Struct, frozen=True):
    """The condition did not hold; nothing was written."""


WriteOutcome = Stored | Conflicted


class Row(Struct, frozen=True):
    """One row of the table service."""

    partition: str
    sort: int
    body: str
    version: int
