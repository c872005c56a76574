"""Typed calls to the store and their outcomes.

Versions rise with each transaction, also across epochs of the store; see
``store.epochs``. ``now_s`` is the store's steady clock in seconds.
"""

from enum import StrEnum

from msgspec import Struct

from plantaingrade.codec import Message
from plantaingrade.errors import PlantaingradeError
from plantaingrade.store.epochs import epoch_of


class StoreFailure(StrEnum):
    """Why a call has no result."""

    NOT_REACHED = 'not-reached'
    BUSY = 'busy'
    LIMITED = 'limited'
    REFUSED = 'refused'
    LOST = 'answer-lost'
    MALFORMED = 'malformed-answer'
    OUTDATED = 'answer-of-earlier-epoch'


class RowName(Struct, frozen=True):
    """Full name of a row."""

    table: str
    part: str
    key: str


class Row(Struct, frozen=True):
    """One row as the store holds it; version 0 marks a row that is not there.

    ``body`` holds the bytes that the writer put there.
    """

    name: RowName
    body: bytes
    version: int
    is_deleted: bool = False


class Expected(Struct, frozen=True):
    """Condition that a row has this version; 0 means that it is not there."""

    name: RowName
    version: int


class Put(Struct, frozen=True):
    """Write of one row."""

    name: RowName
    body: bytes


class Transaction(Struct, frozen=True):
    """Changes that are applied together or not at all.

    ``epoch`` is that of the rows on which the changes are based. In a later one
    they are not wanted any more: a condition may hold there by chance.
    """

    expected: tuple[Expected, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[RowName, ...] = ()
    epoch: int = 0


class Committed(Message):
    """All changes were applied; ``version`` is the version of each row put."""

    version: int
    now_s: float


class Conflict(Message):
    """Nothing was applied; ``rows`` are the rows expected, as they stand."""

    rows: tuple[Row, ...]
    now_s: float


class NotDone(Message):
    """Nothing was done."""

    failure: StoreFailure


class OutcomeUnknown(Message):
    """The changes may have been applied, or may be applied later."""

    failure: StoreFailure


class EpochEnded(Message):
    """The store has come back from a copy since the rows were read.

    The changes may have been applied before or after; ``epoch`` is the newest
    one known.
    """

    epoch: int


TransactionOutcome = (
    Committed | Conflict | NotDone | OutcomeUnknown | EpochEnded
)


class RowsWanted(Struct, frozen=True):
    """All rows of one part of a table."""

    table: str
    part: str


class RangeRead(Message):
    """Rows of a table's part, as of one moment."""

    rows: tuple[Row, ...]
    version: int
    now_s: float

    @property
    def epoch(self) -> int:
        """Return the epoch in which the rows were read."""
        return epoch_of(self.version)


class Changes(Struct, frozen=True):
    """Rows changed since a version; the next call goes on from ``version``."""

    rows: tuple[Row, ...]
    version: int
    now_s: float


class HistoryGone(Struct, frozen=True):
    """The changes since that version are no longer kept; read the rows."""


ReadOutcome = RangeRead | NotDone
FeedOutcome = Changes | HistoryGone | NotDone


class StoreUnavailableError(PlantaingradeError):
    """Report that the store could not be used in the time given."""

    advice = 'The call is tried again; ownership goes on meanwhile.'
