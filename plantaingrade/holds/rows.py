"""The rows of one service, as they were last read in the store."""

from collections.abc import Iterable

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import UNREADABLE_S
from plantaingrade.holds.epoch_start import (
    UNKNOWN_S,
    EpochStart,
    decode_epoch_start,
)
from plantaingrade.holds.lease import (
    MemberRow,
    UnreadableLeaseError,
    decode_member_row,
    unreadable_row,
)
from plantaingrade.keyspace.codec import UnreadableMapError, decode_map
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import Row, RowName
from plantaingrade.store.unreadable import UnreadableRows

TABLE = 'plantaingrade'
KEY_MAP = 'map'
KEY_MEMBER = 'member/'
KEY_EPOCH_START = 'epoch'


def part_of(service: str, epoch: int) -> str:
    """Return the part of a service's rows in an epoch of the store.

    What was sent in an earlier epoch and is applied late then changes rows that
    nobody goes by any more.
    """
    return f'{service}#{epoch}' if epoch else service


def map_row(service: str, epoch: int = 0) -> RowName:
    """Return the name of a service's map."""
    return RowName(TABLE, part_of(service, epoch), KEY_MAP)


def member_row(service: str, name: str, epoch: int = 0) -> RowName:
    """Return the name of a member's row."""
    return RowName(TABLE, part_of(service, epoch), KEY_MEMBER + name)


def epoch_start_row(service: str, epoch: int) -> RowName:
    """Return the name of the row about an epoch's start."""
    return RowName(TABLE, part_of(service, epoch), KEY_EPOCH_START)


class MemberRows:
    """Rows of members by name; the map goes to the maps of all services."""

    __slots__ = (
        '_maps',
        '_member',
        'by_name',
        'epoch_start',
        'read_now_s',
        'unreadable',
    )

    def __init__(self, member: Member, maps: KeyMaps, log: EventLog) -> None:
        """Read on behalf of a member; know no rows yet."""
        self._member = member
        self._maps = maps
        self.unreadable = UnreadableRows(log)
        self.by_name: dict[str, MemberRow] = {}
        self.epoch_start: EpochStart | None = None
        # The store's clock at the last read: a moment that has passed.
        self.read_now_s = 0.0

    def take_all(self, rows: Iterable[Row], now_s: float) -> None:
        """Keep what all rows of the service say, and nothing else."""
        self.read_now_s = now_s
        known = self.by_name
        self.by_name = {}
        self.epoch_start = None
        for row in rows:
            self._take(row, known, now_s)

    @property
    def are_read(self) -> bool:
        """Tell whether the rows of the present epoch have been read."""
        return self.read_now_s > 0

    def forget(self) -> None:
        """Drop all rows: they are of an epoch that is over."""
        self.by_name = {}
        self.epoch_start = None
        self.read_now_s = 0.0

    def take(self, row: Row, now_s: float) -> bool:
        """Keep what a row says; tell whether it could be read."""
        return self._take(row, self.by_name, now_s)

    def _take(
        self, row: Row, known: dict[str, MemberRow], now_s: float
    ) -> bool:
        """Keep what a row says; tell whether it could be read.

        A row that cannot be read takes nothing from what others say. A member
        with such a row is not absent, and its lease may still run.
        """
        try:
            self._keep(row, now_s)
        except (UnreadableMapError, UnreadableLeaseError) as error:
            self.unreadable.log_once(row, str(error))
            self._keep_unreadable(row, known, now_s)
            return False
        return True

    def _keep(self, row: Row, now_s: float) -> None:
        if row.name.key == KEY_MAP:
            self._keep_map(row)
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
        self.by_name[name] = found.as_of(now_s + UNREADABLE_S)

    def _keep_map(self, row: Row) -> None:
        """Offer a map if it is newer.

        To decode one of 1,200 ranges takes 6 ms (thread time, one core).
        """
        service = self._member.service
        if row.version > self._maps.find(service).version:
            self._maps.update_if_newer(
                service, decode_map(row.body, row.version)
            )

    def _keep_unreadable(
        self, row: Row, known: dict[str, MemberRow], now_s: float
    ) -> None:
        """Keep that a member has a row, if that matters to somebody.

        A member that lives writes its row again within a renewal, so one that
        stays unreadable for longer than any lease is over. Its keys are taken
        over, and it stands in the way of no other takeover.
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
            until_s = now_s + UNREADABLE_S
            before = unreadable_row(member, row.version, until_s)
        self.by_name[name] = before
