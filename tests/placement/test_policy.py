"""Tests of the placement plans of the decider."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantaingrade.journal.entity import (
    DeclarationApplied,
    Ended,
    MapState,
    MemberJoined,
    MemberRow,
    MemberState,
    MoveStarted,
    OwnerRequested,
    Proof,
    ServiceRow,
    StateSet,
    SuccessorWithdrawn,
    TakenOver,
)
from plantaingrade.placement.const import MAX_MOVES_IN_PROGRESS
from plantaingrade.placement.loads import LoadHeaps
from plantaingrade.placement.policy import name_own_successors, plan
from tests.ownership.test_table import append

SERVICE = 'casebook'
ZONES = 3


def _row(name: str, zone: str, slots: int = 6) -> MemberRow:
    return MemberRow(
        name,
        name,
        SERVICE,
        zone,
        f'http-{name}',
        name,
        '',
        slots,
        True,
        state=MemberState.READY,
    )


def _stable_state(servers: int = 6, slices: int = 24) -> MapState:
    state = MapState()
    service = ServiceRow(SERVICE, slices, True, 400)
    append(state, DeclarationApplied('', 0, (service,)))
    for number in range(servers):
        append(state, MemberJoined(_row(f's{number}', f'z{number % ZONES}')))
    _plan_until_stable(state)
    return state


def _plan_until_stable(state: MapState) -> int:
    """Plan and execute until no changes are left; return the takeovers."""
    takeovers = 0
    for _ in range(200):
        changes = plan(state)
        if not changes:
            return takeovers
        append(state, *changes)
        takeovers += _execute(state)
    raise AssertionError('planning does not converge')


def _execute(state: MapState) -> int:
    """Execute the changes as owners and successors do without failures."""
    takeovers = 0
    for slice_row in list(state.slices.values()):
        arguments = (
            slice_row.slice_id,
            slice_row.successor,
            slice_row.successor_fence,
        )
        if slice_row.next_successor is not None:
            append(state, SuccessorWithdrawn(*arguments))
        elif slice_row.moving is not None:
            append(state, TakenOver(*arguments))
            takeovers += 1
    return takeovers


def _owned(state: MapState) -> Counter[str]:
    return Counter(slice_row.owner for slice_row in state.slices.values())


def test_stable_service_is_even_with_successors_in_other_zones() -> None:
    """Each slice has an owner, and a successor in another zone."""
    state = _stable_state()
    assert set(_owned(state).values()) == {4}
    for slice_row in state.slices.values():
        zones = {
            state.members[name].zone
            for name in (slice_row.owner, slice_row.successor)
        }
        assert len(zones) == 2


def test_stable_service_needs_no_changes() -> None:
    """Without events, no slice moves."""
    assert not plan(_stable_state())


def test_share_is_proportional_to_slots() -> None:
    """A server with twice the slots owns twice as much."""
    state = MapState()
    append(
        state, DeclarationApplied('', 0, (ServiceRow(SERVICE, 24, True, 400),))
    )
    append(state, MemberJoined(_row('small', 'z0', 6)))
    append(state, MemberJoined(_row('large', 'z1', 12)))
    _plan_until_stable(state)
    assert _owned(state) == {'small': 8, 'large': 16}


def test_new_server_gets_its_share_in_few_moves() -> None:
    """A server joins: it gets a fair share, and no slice moves twice."""
    state = _stable_state()
    append(state, MemberJoined(_row('new', 'z0')))
    takeovers = _plan_until_stable(state)
    assert _owned(state)['new'] >= 2
    assert takeovers <= 4


def test_moves_in_progress_are_bounded() -> None:
    """A new server does not cause moves of half the service at once."""
    state = _stable_state(2, 48)
    append(state, MemberJoined(_row('new', 'z2')))
    moves = [each for each in plan(state) if isinstance(each, OwnerRequested)]
    assert 1 <= len(moves) <= MAX_MOVES_IN_PROGRESS


def test_drained_server_loses_all_slices() -> None:
    """A drained server owns no slice and is no successor."""
    state = _stable_state()
    append(state, StateSet('s0', MemberState.DRAINING))
    _plan_until_stable(state)
    assert not _owned(state)['s0']
    assert 's0' not in {
        slice_row.successor for slice_row in state.slices.values()
    }


@pytest.mark.parametrize('lost', [['s0'], ['s0', 's3']])
def test_loss_overloads_no_server(lost: list[str]) -> None:
    """The slices of a lost server or zone are spread over the others."""
    state = _stable_state()
    for name in lost:
        append(state, Ended(name, Proof.TESTIMONY, 1))
    for slice_row in list(state.slices.values()):
        if slice_row.owner in lost and slice_row.successor is not None:
            append(
                state,
                TakenOver(
                    slice_row.slice_id,
                    slice_row.successor,
                    slice_row.successor_fence,
                ),
            )
    fair = 24 / (6 - len(lost))
    assert max(_owned(state).values()) <= fair + 2
    _plan_until_stable(state)
    assert max(_owned(state).values()) <= fair + 1


def test_command_has_precedence_over_balance() -> None:
    """An operator's move is executed although it unbalances the service."""
    state = _stable_state()
    slice_row = next(
        slice_row
        for slice_row in state.slices.values()
        if slice_row.owner == 's0'
    )
    append(state, OwnerRequested(slice_row.slice_id, slice_row.successor, 'c1'))
    assert MoveStarted(slice_row.slice_id, 'c1') in plan(state)


def test_own_successors_are_spread() -> None:
    """A server that takes over slices names more than one successor."""
    state = _stable_state()
    taken = [
        slice_row.slice_id
        for slice_row in state.slices.values()
        if slice_row.owner == 's1'
    ]
    named = name_own_successors(state, 's0', taken)
    assert len({change.member for change in named}) >= 2
    assert 's0' not in {change.member for change in named}


@given(
    loads=st.lists(st.integers(0, 9), min_size=1, max_size=12),
    excluded=st.sets(st.integers(0, 11)),
    zone=st.integers(0, 3),
    added=st.lists(st.integers(0, 11), max_size=6),
)
@settings(derandomize=True, deadline=None)
def test_heaps_match_a_linear_search(
    loads: list[int],
    excluded: set[int],
    zone: int,
    added: list[int],
) -> None:
    """The heaps return the same server as a linear search as loads rise."""
    load_by_member = {f's{number}': load for number, load in enumerate(loads)}
    rows = [
        _row(name, f'z{number % ZONES}')
        for number, name in enumerate(load_by_member)
    ]
    heaps = LoadHeaps(rows, lambda row: load_by_member[row.member])
    excluded_names = {f's{number}' for number in excluded}

    def sort_key(row: MemberRow) -> tuple[bool, int, str]:
        load = load_by_member[row.member]
        return row.zone == f'z{zone}', load, row.member

    added.append(0)
    for number in added:
        candidates = [row for row in rows if row.member not in excluded_names]
        expected = min(candidates, key=sort_key, default=None)
        assert heaps.least(excluded_names, f'z{zone}') is expected
        name = f's{number % len(loads)}'
        load_by_member[name] += 1
