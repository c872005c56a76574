"""Report rows that cannot be decoded."""

from collections import deque

from plantaingrade.eventlog import EventLog
from plantaingrade.store.entity import Row, RowName
from plantaingrade.supervision.lines import write_failure

# Row versions that are remembered as already logged.
MAX_LOGGED_VERSIONS = 256
MAX_WHY_CHARS = 200


class UnreadableRows:
    """Logs and counts each version of an unreadable row once.

    Rows are read repeatedly, so an unreadable one would otherwise be logged on
    each read, by each process.
    """

    __slots__ = ('_log', '_logged')

    def __init__(self, log: EventLog) -> None:
        """Write to an event log, which also counts events."""
        self._log = log
        self._logged: deque[tuple[RowName, int]] = deque(
            maxlen=MAX_LOGGED_VERSIONS
        )

    def log_failure_once(self, row: Row, error: Exception) -> None:
        """Log a row at which the program fails, and report the failure.

        It must not keep the rows behind it from being read.
        """
        if self.log_once(row, repr(error)):
            write_failure(self._log, 'row', error)

    def log_once(self, row: Row, why: str) -> bool:
        """Log an unreadable row; return False if it was logged before."""
        if (row.name, row.version) in self._logged:
            return False
        self._logged.append((row.name, row.version))
        self._log.write(
            'row-unreadable',
            row=row.name.key[:MAX_WHY_CHARS],
            part=row.name.part[:MAX_WHY_CHARS],
            version=row.version,
            why=why[:MAX_WHY_CHARS],
        )
        return True
