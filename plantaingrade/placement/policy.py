"""Decide who should own and succeed what.

Pure code over the tables of the map: no I/O, no clock. Each system looks at
one kind of gap and yields the changes that close it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from msgspec.structs import replace

from plantaingrade.journal.checks import has_ended, is_eligible
from plantaingrade.journal.entity import (
    Assigned,
    Change,
    MapState,
    MemberRow,
    MemberState,
    MoveStarted,
    OwnerRequested,
    SliceRow,
    SuccessorNamed,
    SuccessorRequested,
)
from plantaingrade.placement.const import (
    BALANCE_ID,
    DRAIN_ID,
    MAX_CHANGES_PER_RECORD,
    MAX_MOVES_IN_PROGRESS,
    MOVE_THRESHOLD,
)
from plantaingrade.placement.loads import LoadHeaps


@dataclass(slots=True)
class ServiceView:
    """One service's slices and the servers that can take them."""

    state: MapState
    slices: list[SliceRow]
    eligible: list[MemberRow]
    owned_by_member: Counter[str] = field(default_factory=Counter)
    backing_by_member: Counter[str] = field(default_factory=Counter)
    backers_by_owner: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    by_share: LoadHeaps = field(init=False)
    by_burden: LoadHeaps = field(init=False)

    @classmethod
    def from_state(cls, state: MapState, service: str) -> 'ServiceView':
        """Collect the rows of one service."""
        slices = [
            part for part in state.slices.values() if part.service == service
        ]
        eligible = [
            row
            for row in state.members.values()
            if row.service == service and row.state is MemberState.READY
        ]
        view = cls(state, slices, eligible)
        for part in slices:
            view.owned_by_member[part.wanted_owner or part.owner or ''] += 1
            if part.successor is not None:
                view.back(part, part.successor)
        view.by_share = LoadHeaps(eligible, view.share)
        view.by_burden = LoadHeaps(eligible, view.burden)
        return view

    def share(self, row: MemberRow) -> float:
        """Return a server's slices per slot."""
        return self.owned_by_member[row.member] / row.slots

    def burden(self, row: MemberRow) -> float:
        """Return a server's slices per slot after all its takeovers."""
        member = row.member
        owned = self.owned_by_member[member]
        return (owned + self.backing_by_member[member]) / row.slots

    def best_successor(self, part: SliceRow) -> MemberRow | None:
        """Return the server that should take over if the owner is lost.

        Another zone than the owner's goes first, then the server that would
        carry the least after all the takeovers it is named for.
        """
        owner = self.state.members.get(part.owner or '')
        zone = owner.zone if owner else ''
        never = {part.owner, part.successor}
        crowded = never | self._crowded(part.owner or '')
        return self.by_burden.least(crowded, zone) or self.by_burden.least(
            never,
            zone,
        )

    def back(self, part: SliceRow, member: str) -> None:
        """Note that a server will be a slice's successor."""
        self.backing_by_member[member] += 1
        self.backers_by_owner[part.owner or ''][member] += 1

    def _crowded(self, owner: str) -> set[str]:
        """Return the servers that back more of an owner than their part.

        Else one server is overloaded when the other is lost.
        """
        backers = self.backers_by_owner[owner]
        part = backers.total() // max(1, len(self.eligible) - 1)
        return {member for member, count in backers.items() if count > part}


def plan(state: MapState) -> list[Change]:
    """Return the next changes, at most one record full."""
    return list(islice(_gaps(state), MAX_CHANGES_PER_RECORD))


def _gaps(state: MapState) -> Iterator[Change]:
    for service in state.services:
        view = ServiceView.from_state(state, service)
        if view.eligible:
            yield from _assign_unowned(view)
            yield from _name_successors(view)
            yield from _replace_successors(view)
            yield from _drive_moves(view)
            yield from _balance(view)


def name_own_successors(
    state: MapState,
    member: str,
    slice_ids: Iterable[str],
) -> list[Change]:
    """Return successors for slices that a member is taking over.

    The taker names a successor in the same record: an outage of the table
    service may follow, and then another loss.
    """
    changes: list[Change] = []
    view_by_service: dict[str, ServiceView] = {}
    for slice_id in slice_ids:
        part = replace(state.slices[slice_id], owner=member, successor=None)
        view = view_by_service.setdefault(
            part.service,
            ServiceView.from_state(state, part.service),
        )
        target = view.best_successor(part)
        if target is not None:
            view.back(part, target.member)
            changes.append(SuccessorNamed(slice_id, target.member))
    return changes


def _assign_unowned(view: ServiceView) -> Iterator[Change]:
    for part in view.slices:
        if part.owner is None:
            target = view.by_share.least()
            view.owned_by_member[target.member] += 1
            yield Assigned(part.slice_id, target.member)


def _name_successors(view: ServiceView) -> Iterator[Change]:
    for part in view.slices:
        if part.owner is None or part.successor is not None:
            continue
        target = view.best_successor(part)
        if target is not None:
            view.back(part, target.member)
            yield SuccessorNamed(part.slice_id, target.member)


def _replace_successors(view: ServiceView) -> Iterator[Change]:
    for part in view.slices:
        settled = part.next_successor is None and part.moving is None
        if not settled or part.successor is None:
            continue
        if has_ended(view.state, part.owner):
            continue
        wanted = _wanted_successor(view, part)
        if wanted is not None:
            view.back(part, wanted)
            yield SuccessorRequested(part.slice_id, wanted)


def _wanted_successor(view: ServiceView, part: SliceRow) -> str | None:
    if part.wanted_owner is not None:
        right = part.successor == part.wanted_owner
        return None if right else part.wanted_owner
    if is_eligible(view.state, part.successor):
        return None
    better = view.best_successor(part)
    return None if better is None else better.member


def _drive_moves(view: ServiceView) -> Iterator[Change]:
    for part in view.slices:
        if not _can_move(view, part):
            continue
        if part.wanted_owner == part.successor:
            yield MoveStarted(part.slice_id, part.wanted_by)
        elif _must_leave(view, part):
            yield MoveStarted(part.slice_id, DRAIN_ID)


def _can_move(view: ServiceView, part: SliceRow) -> bool:
    """Tell whether owner and successor can hand the slice over now."""
    if part.moving is not None or part.next_successor is not None:
        return False
    if part.owner is None or has_ended(view.state, part.owner):
        return False
    return is_eligible(view.state, part.successor)


def _must_leave(view: ServiceView, part: SliceRow) -> bool:
    """Tell whether the slice has to leave a draining owner."""
    unwanted = part.wanted_owner is None
    return unwanted and not is_eligible(view.state, part.owner)


def _balance(view: ServiceView) -> Iterator[Change]:
    """Move a few slices from the fullest server to the emptiest one."""
    busy = sum(
        part.moving is not None or part.wanted_owner is not None
        for part in view.slices
    )
    for _ in range(MAX_MOVES_IN_PROGRESS - busy):
        low = view.by_share.least()
        high = max(view.eligible, key=view.share)
        surplus = view.owned_by_member[high.member] * low.slots / high.slots
        if surplus - view.owned_by_member[low.member] < MOVE_THRESHOLD:
            return
        part = _movable(view, high.member)
        if part is None:
            return
        view.owned_by_member[high.member] -= 1
        view.owned_by_member[low.member] += 1
        part_wish = OwnerRequested(part.slice_id, low.member, BALANCE_ID)
        yield part_wish


def _movable(view: ServiceView, owner: str) -> SliceRow | None:
    for part in view.slices:
        free = part.moving is None and part.wanted_owner is None
        if part.owner == owner and free and part.next_successor is None:
            return part
    return None
