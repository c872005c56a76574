"""Rows, write outcomes and errors of the platform's services."""

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError


class PlatformUnavailableError(PlantaingradeError):
    """Report that a service was unreachable or refused, and did nothing."""

    advice = 'Ownership does not depend on it; the call is retried.'


class PlatformOutcomeUnknownError(PlantaingradeError):
    """Report that a write may have taken effect, as its answer was lost."""

    advice = 'Look for the write id before writing again.'


class Stored(Struct, frozen=True):
    """The write took effect."""


class Conflicted(Struct, frozen=True):
    """The condition failed; nothing was written."""


WriteOutcome = Stored | Conflicted


class Row(Struct, frozen=True):
    """One row of the table service."""

    partition: str
    sort: int
    body: str
    version: int
