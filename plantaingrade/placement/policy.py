"""Plan the owners and successors of slices.

Pure functions of the map's state, without I/O or a clock. Each planning step
finds one kind of deviation and yields the changes that correct it.
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
    """Slices of one service and the servers that can own them.

    The counters include the changes that are planned already.
    """

    state: MapState
    slices: list[SliceRow]
    eligible: list[MemberRow]
    owned_by_member: Counter[str] = field(default_factory=Counter)
    succeeding_by_member: Counter[str] = field(default_factory=Counter)
    successors_by_owner: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    by_share: LoadHeaps = field(init=False)
    by_potential_load: LoadHeaps = field(init=False)

    @classmethod
    def from_state(cls, state: MapState, service: str) -> 'ServiceView':
        """Collect the slices and servers of one service."""
        slices = [
            slice_row
            for slice_row in state.slices.values()
            if slice_row.service == service
        ]
        eligible = [
            row
            for row in state.members.values()
            if row.service == service and row.state is MemberState.READY
        ]
        view = cls(state, slices, eligible)
        for slice_row in slices:
            view.owned_by_member[
                slice_row.wanted_owner or slice_row.owner or ''
            ] += 1
            if slice_row.successor is not None:
                view.add_successor(slice_row, slice_row.successor)
        view.by_share = LoadHeaps(eligible, view.share)
        view.by_potential_load = LoadHeaps(eligible, view.potential_share)
        return view

    def share(self, row: MemberRow) -> float:
        """Return the number of owned slices per slot of a server."""
        return self.owned_by_member[row.member] / row.slots

    def potential_share(self, row: MemberRow) -> float:
        """Return the slices per slot of a server after all its takeovers."""
        member = row.member
        owned = self.owned_by_member[member]
        return (owned + self.succeeding_by_member[member]) / row.slots

    def best_successor(self, slice_row: SliceRow) -> MemberRow | None:
        """Return the server that should take over if the owner is lost.

        Servers outside the owner's zone are preferred, then the server with
        the least load after all takeovers for which it is the successor.
        """
        owner = self.state.members.get(slice_row.owner or '')
        zone = owner.zone if owner else ''
        excluded = {slice_row.owner, slice_row.successor}
        excluded_or_overused = excluded | self._overused_successors(
            slice_row.owner or ''
        )
        return self.by_potential_load.least(
            excluded_or_overused, zone
        ) or self.by_potential_load.least(
            excluded,
            zone,
        )

    def add_successor(self, slice_row: SliceRow, member: str) -> None:
        """Count a server as the successor of a slice."""
        self.succeeding_by_member[member] += 1
        self.successors_by_owner[slice_row.owner or ''][member] += 1

    def _overused_successors(self, owner: str) -> set[str]:
        """Return the successors of more than a fair share of an owner's slices.

        Without this limit, the loss of the owner could overload one of them.
        """
        successors = self.successors_by_owner[owner]
        fair_count = successors.total() // max(1, len(self.eligible) - 1)
        return {
            member for member, count in successors.items() if count > fair_count
        }


def plan(state: MapState) -> list[Change]:
    """Return the next changes, at most as many as fit into one record."""
    return list(islice(_needed_changes(state), MAX_CHANGES_PER_RECORD))


def _needed_changes(state: MapState) -> Iterator[Change]:
    for service in state.services:
        view = ServiceView.from_state(state, service)
        if view.eligible:
            yield from _assign_unowned(view)
            yield from _name_successors(view)
            yield from _replace_successors(view)
            yield from _start_moves(view)
            yield from _balance(view)


def name_own_successors(
    state: MapState,
    member: str,
    slice_ids: Iterable[str],
) -> list[Change]:
    """Return successors for slices that a member is taking over.

    The new owner names them in the record of the takeover, because the table
    service may become unavailable and this owner may be lost as well.
    """
    changes: list[Change] = []
    view_by_service: dict[str, ServiceView] = {}
    for slice_id in slice_ids:
        slice_row = replace(
            state.slices[slice_id], owner=member, successor=None
        )
        view = view_by_service.setdefault(
            slice_row.service,
            ServiceView.from_state(state, slice_row.service),
        )
        target = view.best_successor(slice_row)
        if target is not None:
            view.add_successor(slice_row, target.member)
            changes.append(SuccessorNamed(slice_id, target.member))
    return changes


def _assign_unowned(view: ServiceView) -> Iterator[Change]:
    for slice_row in view.slices:
        if slice_row.owner is None:
            target = view.by_share.least()
            view.owned_by_member[target.member] += 1
            yield Assigned(slice_row.slice_id, target.member)


def _name_successors(view: ServiceView) -> Iterator[Change]:
    for slice_row in view.slices:
        if slice_row.owner is None or slice_row.successor is not None:
            continue
        target = view.best_successor(slice_row)
        if target is not None:
            view.add_successor(slice_row, target.member)
            yield SuccessorNamed(slice_row.slice_id, target.member)


def _replace_successors(view: ServiceView) -> Iterator[Change]:
    for slice_row in view.slices:
        is_stable = (
            slice_row.next_successor is None and slice_row.moving is None
        )
        if not is_stable or slice_row.successor is None:
            continue
        if has_ended(view.state, slice_row.owner):
            continue
        wanted = _wanted_successor(view, slice_row)
        if wanted is not None:
            view.add_successor(slice_row, wanted)
            yield SuccessorRequested(slice_row.slice_id, wanted)


def _wanted_successor(view: ServiceView, slice_row: SliceRow) -> str | None:
    if slice_row.wanted_owner is not None:
        is_named = slice_row.successor == slice_row.wanted_owner
        return None if is_named else slice_row.wanted_owner
    if is_eligible(view.state, slice_row.successor):
        return None
    better = view.best_successor(slice_row)
    return None if better is None else better.member


def _start_moves(view: ServiceView) -> Iterator[Change]:
    for slice_row in view.slices:
        if not _can_move(view, slice_row):
            continue
        if slice_row.wanted_owner == slice_row.successor:
            yield MoveStarted(slice_row.slice_id, slice_row.wanted_by)
        elif _must_move_away(view, slice_row):
            yield MoveStarted(slice_row.slice_id, DRAIN_ID)


def _can_move(view: ServiceView, slice_row: SliceRow) -> bool:
    """Return whether the slice can be transferred to its successor now."""
    if slice_row.moving is not None or slice_row.next_successor is not None:
        return False
    if slice_row.owner is None or has_ended(view.state, slice_row.owner):
        return False
    return is_eligible(view.state, slice_row.successor)


def _must_move_away(view: ServiceView, slice_row: SliceRow) -> bool:
    """Return whether the slice has to move away from a draining owner."""
    unwanted = slice_row.wanted_owner is None
    return unwanted and not is_eligible(view.state, slice_row.owner)


def _balance(view: ServiceView) -> Iterator[Change]:
    """Move a few slices from the most to the least loaded server."""
    in_progress = sum(
        slice_row.moving is not None or slice_row.wanted_owner is not None
        for slice_row in view.slices
    )
    for _ in range(MAX_MOVES_IN_PROGRESS - in_progress):
        low = view.by_share.least()
        high = max(view.eligible, key=view.share)
        surplus = view.owned_by_member[high.member] * low.slots / high.slots
        if surplus - view.owned_by_member[low.member] < MOVE_THRESHOLD:
            return
        slice_row = _find_movable(view, high.member)
        if slice_row is None:
            return
        view.owned_by_member[high.member] -= 1
        view.owned_by_member[low.member] += 1
        change = OwnerRequested(slice_row.slice_id, low.member, BALANCE_ID)
        yield change


def _find_movable(view: ServiceView, owner: str) -> SliceRow | None:
    for slice_row in view.slices:
        is_idle = slice_row.moving is None and slice_row.wanted_owner is None
        if (
            slice_row.owner == owner
            and is_idle
            and slice_row.next_successor is None
        ):
            return slice_row
    return None
