"""Typed calls to the store and their outcomes.

Versions come from one counter of the store that rises with each transaction.
``now_s`` is the store's steady clock in seconds.
"""

from dataclasses import dataclass
from enum import StrEnum

from plantaingrade.errors import PlantaingradeError


class StoreFailure(StrEnum):
    """Why a call has no result."""

    NOT_REACHED = 'not-reached'
    BUSY = 'busy'
    LIMITED = 'limited'
    REFUSED = 'refused'
    LOST = 'answer-lost'
    MALFORMED = 'malformed-answer'


@dataclass(slots=True, frozen=True)
class RowName:
    """Full name of a row."""

    table: str
    part: str
    key: str


@dataclass(slots=True, frozen=True)
class Row:
    """One row as the store holds it; version 0 marks a row that is not there.

    ``body`` holds the bytes that the writer put there.
    """

    name: RowName
    body: bytes
    version: int
    is_deleted: bool = False


@dataclass(slots=True, frozen=True)
class Expected:
    """Condition that a row has this version; 0 means that it is not there."""

    name: RowName
    version: int


@dataclass(slots=True, frozen=True)
class Put:
    """Write of one row."""

    name: RowName
    body: bytes


@dataclass(slots=True, frozen=True)
class Transaction:
    """Changes that are applied together or not at all."""

    expected: tuple[Expected, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[RowName, ...] = ()


@dataclass(slots=True, frozen=True)
class Committed:
    """All changes were applied; ``version`` is the version of each row put."""

    version: int
    now_s: float


@dataclass(slots=True, frozen=True)
class Conflict:
    """Nothing was applied; ``rows`` are the rows expected, as they stand."""

    rows: tuple[Row, ...]
    now_s: float


@dataclass(slots=True, frozen=True)
class NotDone:
    """Nothing was done."""

    failure: StoreFailure


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """The changes may have been applied, or may be applied later."""

    failure: StoreFailure


TransactionOutcome = Committed | Conflict | NotDone | OutcomeUnknown


@dataclass(slots=True, frozen=True)
class RowsWanted:
    """All rows of one part of a table."""

    table: str
    part: str


@dataclass(slots=True, frozen=True)
class RangeRead:
    """Rows of a table's part, as of one moment."""

    rows: tuple[Row, ...]
    version: int
    now_s: float


@dataclass(slots=True, frozen=True)
class Changes:
    """Rows changed since a version; the next call goes on from ``version``."""

    rows: tuple[Row, ...]
    version: int
    now_s: float


@dataclass(slots=True, frozen=True)
class HistoryGone:
    """The changes since that version are no longer kept; read the rows."""


ReadOutcome = RangeRead | NotDone
FeedOutcome = Changes | HistoryGone | NotDone


class StoreUnavailableError(PlantaingradeError):
    """Report that the store could not be used in the time given."""

    advice = 'The call is tried again; ownership goes on meanwhile.'
