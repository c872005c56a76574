"""Build the transactions that change a service's rows. Pure."""

from msgspec import Struct

from plantaingrade.holds.changes import SentWrite
from plantaingrade.holds.epoch_start import EpochStart, encode_epoch_start
from plantaingrade.holds.lease import encode_member_row
from plantaingrade.holds.rows import (
    epoch_start_row,
    map_row,
    member_row,
    part_of,
)
from plantaingrade.keyspace.codec import encode_map
from plantaingrade.store.entity import Expected, Put, RowName, Transaction


class RowNames(Struct, frozen=True):
    """Names of a service's rows in one epoch of the store."""

    service: str
    epoch: int

    @property
    def part(self) -> str:
        """Return the part of the table that holds the rows."""
        return part_of(self.service, self.epoch)

    def member(self, name: str) -> RowName:
        """Return the name of a member's row."""
        return member_row(self.service, name, self.epoch)


def make_transaction(
    names: RowNames, write: SentWrite, own_version: int, map_version: int
) -> Transaction:
    """Return a write on condition of the versions that its rows must have.

    Version 0 means that the row must not exist.
    """
    change = write.change
    own = names.member(write.row.member.name)
    expected = [Expected(own, own_version)]
    puts = [Put(own, encode_member_row(write.row))]
    map_name = map_row(names.service, names.epoch)
    if change.key_map is not None or change.needs_map:
        expected.append(Expected(map_name, map_version))
    if change.key_map is not None:
        puts.append(Put(map_name, encode_map(change.key_map)))
    if change.epoch_start is not None:
        start = make_epoch_start_write(names, change.epoch_start)
        expected.extend(start.expected)
        puts.extend(start.puts)
    removed = [
        Expected(names.member(lapsed.member.name), lapsed.version)
        for lapsed in change.removed
    ]
    absent = [Expected(names.member(name), 0) for name in change.absent]
    return Transaction(
        (*expected, *removed, *absent),
        tuple(puts),
        tuple(each.name for each in removed),
        names.epoch,
    )


def make_epoch_start_write(names: RowNames, start: EpochStart) -> Transaction:
    """Return the write of an epoch's start row."""
    name = epoch_start_row(names.service, names.epoch)
    return Transaction(
        (Expected(name, start.version),),
        (Put(name, encode_epoch_start(start)),),
        epoch=names.epoch,
    )
