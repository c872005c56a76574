"""The rows of one service, as last read from the store."""

from collections.abc import Iterable

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import MAX_LEASE_LEFT_S
from plantaingrade.holds.epoch_start import (
    UNKNOWN_S,
    EpochStart,
    decode_epoch_start,
)
from plantaingrade.holds.lease import (
    MemberRow,
    UnreadableLeaseError,
    decode_member_row,
    placeholder_row,
)
from plantaingrade.keyspace.codec import UnreadableMapError, decode_map
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import Row, RowName
from plantaingrade.store.unreadable import UnreadableRows

TABLE = 'plantaingrade'
KEY_MAP = 'map'
KEY_MEMBER = 'member/'
KEY_EPOCH_START = 'epoch'


def part_of(service: str, epoch: int) -> str:
    """Return the part of a service's rows in an epoch of the store.

    So a write that was sent in an earlier epoch and applied late changes only
    rows that nobody uses any more.
    """
    return f'{service}#{epoch}' if epoch else service


def map_row(service: str, epoch: int = 0) -> RowName:
    """Return the name of the row with a service's map."""
    return RowName(TABLE, part_of(service, epoch), KEY_MAP)


def member_row(service: str, name: str, epoch: int = 0) -> RowName:
    """Return the name of a member's row."""
    return RowName(TABLE, part_of(service, epoch), KEY_MEMBER + name)


def epoch_start_row(service: str, epoch: int) -> RowName:
    """Return the name of the row about an epoch's start."""
    return RowName(TABLE, part_of(service, epoch), KEY_EPOCH_START)


class MemberRows:
    """Rows of members by name; the map is forwarded to ``KeyMaps``."""

    __slots__ = (
        '_maps',
        '_member',
        'by_name',
        'epoch_start',
        'read_at_s',
        'unreadable',
    )

    def __init__(self, member: Member, maps: KeyMaps, log: EventLog) -> None:
        """Read on behalf of a member; start without rows."""
        self._member = member
        self._maps = maps
        self.unreadable = UnreadableRows(log)
        self.by_name: dict[str, MemberRow] = {}
        self.epoch_start: EpochStart | None = None
        # The store's clock at the last read.
        self.read_at_s = 0.0

    def replace_all(self, rows: Iterable[Row], now_s: float) -> None:
        """Replace all that is known by the rows of a complete read."""
        self.read_at_s = now_s
        known = self.by_name
        self.by_name = {}
        self.epoch_start = None
        for row in rows:
            self._apply(row, known, now_s)

    @property
    def is_loaded(self) -> bool:
        """Return whether the rows of the current epoch have been read."""
        return self.read_at_s > 0

    def count_with(self, key_map: KeyMap) -> int:
        """Return the number of members known from rows or from the map."""
        return max(len(self.by_name), len(key_map.owners()))

    def clear(self) -> None:
        """Remove all rows: they belong to an epoch that is over."""
        self.by_name = {}
        self.epoch_start = None
        self.read_at_s = 0.0

    def apply(self, row: Row, now_s: float) -> bool:
        """Apply one row; return whether it could be read."""
        return self._apply(row, self.by_name, now_s)

    def _apply(
        self, row: Row, known: dict[str, MemberRow], now_s: float
    ) -> bool:
        """Apply one row; return whether it could be read.

        An unreadable row doesn't affect the others. A member with such a row is
        not absent, and its lease may still run.
        """
        try:
            self._apply_readable(row, now_s)
        except (UnreadableMapError, UnreadableLeaseError) as error:
            self.unreadable.log_once(row, str(error))
            self._apply_unreadable(row, known, now_s)
            return False
        except Exception as error:
            self.unreadable.log_failure_once(row, error)
            self._apply_unreadable(row, known, now_s)
            return False
        return True

    def _apply_readable(self, row: Row, now_s: float) -> None:
        if row.name.key == KEY_MAP:
            self._apply_map(row)
            return
        if row.name.key == KEY_EPOCH_START:
            self.epoch_start = decode_epoch_start(row.body, row.version)
            return
        if not row.name.key.startswith(KEY_MEMBER):
            return
        name = row.name.key.removeprefix(KEY_MEMBER)
        if not row.version or row.is_deleted:
            self.by_name.pop(name, None)
            return
        found = decode_member_row(name, row.body, row.version)
        if found.member.service != self._member.service:
            raise UnreadableLeaseError('The row names another service.')
        self.by_name[name] = found.sanitized(now_s + MAX_LEASE_LEFT_S)

    def _apply_map(self, row: Row) -> None:
        """Offer a map if it is newer than the known one.

        Decoding a map of 1,200 ranges takes 6 ms of processor time.
        """
        service = self._member.service
        if row.version > self._maps.find(service).version:
            self._maps.update_if_newer(
                service, decode_map(row.body, row.version)
            )

    def _apply_unreadable(
        self, row: Row, known: dict[str, MemberRow], now_s: float
    ) -> None:
        """Record that a member has a row, if it is this one or owns keys.

        A live member rewrites its row within one renewal, so the lease of a
        member whose row stays unreadable for longer than any lease is over. Its
        keys are then taken over, and it doesn't block other takeovers.
        """
        if row.name.key == KEY_EPOCH_START:
            self.epoch_start = EpochStart(UNKNOWN_S, row.version)
        if not row.name.key.startswith(KEY_MEMBER):
            return
        name = row.name.key.removeprefix(KEY_MEMBER)
        service = self._member.service
        is_own = name == self._member.name
        if not is_own and name not in self._maps.find(service).owners():
            return
        before = known.get(name)
        if before is None or before.version != row.version:
            member = Member(name, service, '', '', '')
            until_s = now_s + MAX_LEASE_LEFT_S
            before = placeholder_row(member, row.version, until_s)
        self.by_name[name] = before
