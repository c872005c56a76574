"""Note rows that another writer left unreadable."""

from collections import deque

from plantaingrade.eventlog import EventLog
from plantaingrade.store.entity import Row, RowName

# Versions of unreadable rows that are remembered as noted.
MAX_NOTED = 256
MAX_WHY_CHARS = 200


class UnreadableRows:
    """Log and count each version of an unreadable row once.

    Rows are read again and again, and one that cannot be read would else be
    logged each time, by each process.
    """

    __slots__ = ('_log', '_noted')

    def __init__(self, log: EventLog) -> None:
        """Write to a log, which also counts."""
        self._log = log
        self._noted: deque[tuple[RowName, int]] = deque(maxlen=MAX_NOTED)

    def note(self, row: Row, why: str) -> None:
        """Take a row that could not be read."""
        if (row.name, row.version) in self._noted:
            return
        self._noted.append((row.name, row.version))
        self._log.write(
            'row-unreadable',
            row=row.name.key[:MAX_WHY_CHARS],
            part=row.name.part[:MAX_WHY_CHARS],
            version=row.version,
            why=why[:MAX_WHY_CHARS],
        )
