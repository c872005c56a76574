"""Typed outcomes of the platform's services."""

from dataclasses import dataclass

from plantaingrade.errors import PlantaingradeError


class PlatformUnavailableError(PlantaingradeError):
    """Report that a service did nothing: it was not reached or refused."""

    advice = 'Ownership goes on without it; the call is tried again.'


class PlatformOutcomeUnknownError(PlantaingradeError):
    """Report that a write may have taken effect: its answer was lost."""

    advice = 'Read back by the write id before writing again.'


@dataclass(slots=True, frozen=True)
class Stored:
    """The write took effect."""


@dataclass(slots=True, frozen=True)
class Conflicted:
    """The condition did not hold; nothing was written."""


WriteOutcome = Stored | Conflicted


@dataclass(slots=True, frozen=True)
class Row:
    """One row of the table service."""

    partition: str
    sort: int
    body: str
    version: int
