"""Typed calls to the store and their outcomes.

Versions increase with each transaction, also across epochs of the store; see
``store.epochs``. ``now_s`` is the store's steady clock in seconds.
"""

from enum import StrEnum

from msgspec import Struct

from plantaingrade.codec import Message
from plantaingrade.errors import PlantaingradeError
from plantaingrade.store.epochs import epoch_of


class StoreFailure(StrEnum):
    """Reason why a call has no result."""

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
    """One row as stored; version 0 marks a row that does not exist.

    ``body`` holds the bytes as written.
    """

    name: RowName
    body: bytes
    version: int
    is_deleted: bool = False


class Expected(Struct, frozen=True):
    """Condition that a row has this version; 0 if it must not exist."""

    name: RowName
    version: int


class Put(Struct, frozen=True):
    """Write of one row."""

    name: RowName
    body: bytes


class Transaction(Struct, frozen=True):
    """Changes that are applied atomically.

    ``epoch`` is that of the rows on which the changes are based. They must not
    be applied in a later epoch, where a condition may hold by chance.
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
    """Nothing was applied; ``rows`` are the expected rows as now stored."""

    rows: tuple[Row, ...]
    now_s: float


class NotDone(Message):
    """The call had no effect."""

    failure: StoreFailure


class OutcomeUnknown(Message):
    """The changes may have been applied, or may still be applied."""

    failure: StoreFailure


class EpochEnded(Message):
    """The store was restored from a backup since the rows were read.

    The changes may have been applied before or after the restore; ``epoch`` is
    the newest known epoch.
    """

    epoch: int


TransactionOutcome = (
    Committed | Conflict | NotDone | OutcomeUnknown | EpochEnded
)


class RowsWanted(Struct, frozen=True):
    """Request for all rows of one part of a table."""

    table: str
    part: str


class RangeRead(Message):
    """Consistent snapshot of the rows of one part of a table."""

    rows: tuple[Row, ...]
    version: int
    now_s: float

    @property
    def epoch(self) -> int:
        """Return the epoch in which the rows were read."""
        return epoch_of(self.version)


class Changes(Struct, frozen=True):
    """Rows changed since a version; the next call continues at ``version``."""

    rows: tuple[Row, ...]
    version: int
    now_s: float


class HistoryGone(Struct, frozen=True):
    """The changes since that version are gone; the rows must be read."""


ReadOutcome = RangeRead | NotDone
FeedOutcome = Changes | HistoryGone | NotDone


class StoreUnavailableError(PlantaingradeError):
    """Report that the store was not available within the time limit."""

    advice = 'The call will be retried; current owners continue to serve.'
