"""Pure plans of changes to a service's rows, repeated after a conflict."""

from collections import Counter
from collections.abc import Collection

from msgspec.structs import replace

from plantaingrade.holds.changes import Change
from plantaingrade.holds.const import TAKEOVER_MARGIN_S
from plantaingrade.holds.lease import MemberRow
from plantaingrade.holds.migration import plan_migration
from plantaingrade.holds.registry import Registry
from plantaingrade.keyspace.assign import reassign, split_evenly
from plantaingrade.keyspace.entity import KeyMap, KeyRange

# A transaction of the platform holds at most 100 entries.
MAX_REMOVED = 40


def plan_new_fences(
    registry: Registry, moving: Collection[KeyRange] = ()
) -> Change | None:
    """Give this member's keys a fence above all earlier ones.

    Ranges in ``moving`` keep the fence under which they were released; they get
    a new one together with their new owner.
    """
    parts = [each.keys for each in registry.key_map.owned_by(_own(registry))]
    for moved in moving:
        parts = [rest for part in parts for rest in part.without(moved)]
    if not parts:
        return None
    owner_by_keys = dict.fromkeys(parts, _own(registry))
    return Change(
        reassign(registry.key_map, owner_by_keys, registry.epochs.current)
    )


def _own(registry: Registry) -> str:
    return registry.member.name


def plan_lease_migration(registry: Registry) -> Change:
    """Join a new epoch of the store with a lease of an earlier one."""
    stored = registry.stored_map
    change = plan_migration(registry.key_map, stored, registry.epochs.current)
    start = registry.epochs.missing_start()
    return replace(change, epoch_start=start)


def plan_first_map(registry: Registry) -> Change | None:
    """Divide all keys among the members that hold leases."""
    if (
        registry.key_map.version
        or not registry.epochs.are_earlier_leases_over()
    ):
        return None
    live = live_members(registry)
    return Change(split_evenly(live, registry.epochs.current)) if live else None


def plan_takeover(
    registry: Registry, expired: Collection[tuple[str, int]] = ()
) -> Change | None:
    """Distribute the keys of members whose leases are over.

    ``expired`` holds names and row versions of members whose witnesses agreed
    that their leases have expired early.

    A member may return between the read of the rows and this change, so the
    change requires that rows which were absent still are.
    """
    expired_rows = [
        row
        for row in suspect_rows(registry)
        if (row.member.name, row.version) in expired
    ]
    removed = tuple([*lapsed_rows(registry), *expired_rows][:MAX_REMOVED])
    absent = absent_owners(registry)[:MAX_REMOVED]
    lost = {row.member.name for row in removed} | set(absent)
    live = live_members(registry)
    if not lost or not live:
        return None
    owner_by_keys = spread_keys(registry.key_map, lost, live)
    if not owner_by_keys:
        return Change(removed=removed) if removed else None
    key_map = reassign(registry.key_map, owner_by_keys, registry.epochs.current)
    return Change(key_map, removed, tuple(absent))


def absent_owners(registry: Registry) -> list[str]:
    """Return owners that have no row and therefore hold no lease.

    In a new epoch an owner may still be about to migrate its lease.
    """
    if not registry.epochs.are_earlier_leases_over():
        return []
    known = set(registry.rows.by_name) | {registry.member.name}
    return sorted(registry.key_map.owners() - known)


def live_members(registry: Registry) -> list[str]:
    """Return the members that hold a lease and accept keys."""
    now_s = registry.store_now()
    if now_s is None:
        return []
    own = registry.member.name
    names = {
        name
        for name, row in registry.rows.by_name.items()
        if row.until_s > now_s and row.accepts_keys and name != own
    }
    if registry.accepts_keys:
        names.add(own)
    return sorted(names)


def lapsed_rows(registry: Registry) -> list[MemberRow]:
    """Return the rows of members whose leases are certainly over.

    They are compared with the store's clock at the time of the read, which is
    in the past, and not with an estimate of the present.
    """
    return [
        row
        for name, row in sorted(registry.rows.by_name.items())
        if name != registry.member.name
        and row.until_s + TAKEOVER_MARGIN_S < registry.rows.read_at_s
    ]


def suspect_rows(registry: Registry) -> list[MemberRow]:
    """Return the rows of owners whose leases are past their base end only.

    Such a member still holds its keys if a majority of its witnesses promised
    so.
    """
    now_s = registry.rows.read_at_s - TAKEOVER_MARGIN_S
    owners = registry.key_map.owners() - {registry.member.name}
    return [
        row
        for name, row in sorted(registry.rows.by_name.items())
        if name in owners
        and row.witnesses
        and row.base_until_s < now_s <= row.until_s
    ]


def spread_keys(
    key_map: KeyMap, lost: set[str], live: list[str]
) -> dict[KeyRange, str]:
    """Assign lost members' ranges to the live members with fewest keys."""
    keys_by_owner: Counter[str] = Counter({name: 0 for name in live})
    for assignment in key_map.assignments:
        keys_by_owner[assignment.owner] += len(assignment.keys)
    owner_by_keys = {}
    for assignment in key_map.assignments:
        if assignment.owner not in lost:
            continue
        target = min(live, key=keys_by_owner.__getitem__)
        owner_by_keys[assignment.keys] = target
        keys_by_owner[target] += len(assignment.keys)
    return owner_by_keys
