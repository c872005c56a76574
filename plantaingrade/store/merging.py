"""Merge transactions of several members into one, and split its outcome. Pure.

Load: every transaction takes a turn in its part of the store and has a price.
Members of a service renew their leases at the same moments, so one member can
commit the renewals of its availability zone together. Each member keeps its own
conditions: a merged transaction is applied only if all of them hold.
"""

from collections.abc import Sequence

from plantaingrade.store.entity import (
    Conflict,
    Expected,
    RowName,
    Transaction,
)

# The store accepts 100 entries and 1 MB; a renewal has two entries and less
# than 1 KB.
MAX_MERGED_ENTRIES = 96


def can_merge(group: Sequence[Transaction], transaction: Transaction) -> bool:
    """Return whether a transaction can be merged with a group.

    It must concern other rows of the same part, in the same epoch.
    """
    if not group:
        return True
    if group[0].epoch != transaction.epoch:
        return False
    if _parts_of(group[0]) != _parts_of(transaction):
        return False
    entries = sum(_count_entries(each) for each in (*group, transaction))
    if entries > MAX_MERGED_ENTRIES:
        return False
    names = _names_of(transaction)
    return all(names.isdisjoint(_names_of(each)) for each in group)


def merge(transactions: Sequence[Transaction]) -> Transaction:
    """Return one transaction with all conditions and changes of a group."""
    return Transaction(
        tuple(each for one in transactions for each in one.expected),
        tuple(put for one in transactions for put in one.puts),
        tuple(name for one in transactions for name in one.deletes),
        transactions[0].epoch,
    )


def conflict_of(transaction: Transaction, merged: Conflict) -> Conflict | None:
    """Return the conflict of one transaction, None if its conditions hold."""
    row_by_name = {row.name: row for row in merged.rows}
    version_by_name = {
        row.name: 0 if row.is_deleted else row.version for row in merged.rows
    }
    if all(_holds(each, version_by_name) for each in transaction.expected):
        return None
    names = [each.name for each in transaction.expected]
    rows = tuple(row_by_name[name] for name in names if name in row_by_name)
    return Conflict(rows, merged.now_s)


def _holds(expected: Expected, version_by_name: dict[RowName, int]) -> bool:
    return version_by_name.get(expected.name, 0) == expected.version


def _count_entries(transaction: Transaction) -> int:
    return sum(
        map(
            len,
            (transaction.expected, transaction.puts, transaction.deletes),
        )
    )


def _names_of(transaction: Transaction) -> set[RowName]:
    return {
        *(each.name for each in transaction.expected),
        *(put.name for put in transaction.puts),
        *transaction.deletes,
    }


def _parts_of(transaction: Transaction) -> set[str]:
    return {name.part for name in _names_of(transaction)}
