"""Report rows that cannot be decoded."""

from collections import deque

from plantaingrade.eventlog import EventLog
from plantaingrade.store.entity import Row, RowName

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

    def log_once(self, row: Row, why: str) -> None:
        """Log a row that could not be decoded, unless already logged."""
        if (row.name, row.version) in self._logged:
            return
        self._logged.append((row.name, row.version))
        self._log.write(
            'row-unreadable',
            row=row.name.key[:MAX_WHY_CHARS],
            part=row.name.part[:MAX_WHY_CHARS],
            version=row.version,
            why=why[:MAX_WHY_CHARS],
        )
