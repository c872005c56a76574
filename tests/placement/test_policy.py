"""The decider's plan: gaps closed, little moved, nothing without cause."""

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


def _settled(servers: int = 6, slices: int = 24) -> MapState:
    state = MapState()
    service = ServiceRow(SERVICE, slices, True, 400)
    append(state, DeclarationApplied('', 0, (service,)))
    for number in range(servers):
        append(state, MemberJoined(_row(f's{number}', f'z{number % ZONES}')))
    _settle(state)
    return state


def _settle(state: MapState) -> int:
    """Plan and carry out until nothing is left; return the takes."""
    takes = 0
    for _ in range(200):
        changes = plan(state)
        if not changes:
            return takes
        append(state, *changes)
        takes += _carry_out(state)
    raise AssertionError('the plan never ends')


def _carry_out(state: MapState) -> int:
    """Do what owners and successors do when all goes well."""
    takes = 0
    for part in list(state.slices.values()):
        place = (part.slice_id, part.successor, part.successor_fence)
        if part.next_successor is not None:
            append(state, SuccessorWithdrawn(*place))
        elif part.moving is not None:
            append(state, TakenOver(*place))
            takes += 1
    return takes


def _owned(state: MapState) -> Counter[str]:
    return Counter(part.owner for part in state.slices.values())


def test_settled_service_is_even_and_backed_elsewhere() -> None:
    """Every slice has an owner, and a successor in another zone."""
    state = _settled()
    assert set(_owned(state).values()) == {4}
    for part in state.slices.values():
        zones = {
            state.members[name].zone for name in (part.owner, part.successor)
        }
        assert len(zones) == 2


def test_settled_service_is_left_alone() -> None:
    """Nothing happens, so nothing moves."""
    assert not plan(_settled())


def test_slots_count() -> None:
    """A server with twice the slots owns twice as much."""
    state = MapState()
    append(
        state, DeclarationApplied('', 0, (ServiceRow(SERVICE, 24, True, 400),))
    )
    append(state, MemberJoined(_row('small', 'z0', 6)))
    append(state, MemberJoined(_row('large', 'z1', 12)))
    _settle(state)
    assert _owned(state) == {'small': 8, 'large': 16}


def test_newcomer_gets_its_share_in_few_moves() -> None:
    """A server joins: it gets a fair share, and no slice moves twice."""
    state = _settled()
    append(state, MemberJoined(_row('new', 'z0')))
    takes = _settle(state)
    assert _owned(state)['new'] >= 2
    assert takes <= 4


def test_moves_in_progress_are_bounded() -> None:
    """A newcomer does not set half the service in motion at once."""
    state = _settled(2, 48)
    append(state, MemberJoined(_row('new', 'z2')))
    moves = [each for each in plan(state) if isinstance(each, OwnerRequested)]
    assert 1 <= len(moves) <= MAX_MOVES_IN_PROGRESS


def test_drained_server_is_emptied_into_others() -> None:
    """A drained server loses every slice, and is nobody's successor."""
    state = _settled()
    append(state, StateSet('s0', MemberState.DRAINING))
    _settle(state)
    assert not _owned(state)['s0']
    assert 's0' not in {part.successor for part in state.slices.values()}


@pytest.mark.parametrize('lost', [['s0'], ['s0', 's3']])
def test_loss_overloads_nobody(lost: list[str]) -> None:
    """A server, or a zone, is lost: its slices are spread over the rest."""
    state = _settled()
    for name in lost:
        append(state, Ended(name, Proof.TESTIMONY, 1))
    for part in list(state.slices.values()):
        if part.owner in lost and part.successor is not None:
            append(
                state,
                TakenOver(part.slice_id, part.successor, part.successor_fence),
            )
    fair = 24 / (6 - len(lost))
    assert max(_owned(state).values()) <= fair + 2
    _settle(state)
    assert max(_owned(state).values()) <= fair + 1


def test_command_goes_before_balance() -> None:
    """An operator's move goes on though it makes the service less even."""
    state = _settled()
    part = next(part for part in state.slices.values() if part.owner == 's0')
    append(state, OwnerRequested(part.slice_id, part.successor, 'c1'))
    assert MoveStarted(part.slice_id, 'c1') in plan(state)


def test_own_successors_are_spread() -> None:
    """Whoever takes several slices does not back them all by one server."""
    state = _settled()
    taken = [
        part.slice_id for part in state.slices.values() if part.owner == 's1'
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
def test_heaps_choose_as_the_naive_way_does(
    loads: list[int],
    excluded: set[int],
    zone: int,
    added: list[int],
) -> None:
    """Differential: the same as looking at every server, while loads rise."""
    load_by_member = {f's{number}': load for number, load in enumerate(loads)}
    rows = [
        _row(name, f'z{number % ZONES}')
        for number, name in enumerate(load_by_member)
    ]
    heaps = LoadHeaps(rows, lambda row: load_by_member[row.member])
    without = {f's{number}' for number in excluded}

    def rank(row: MemberRow) -> tuple[bool, int, str]:
        load = load_by_member[row.member]
        return row.zone == f'z{zone}', load, row.member

    added.append(0)
    for number in added:
        candidates = [row for row in rows if row.member not in without]
        expected = min(candidates, key=rank, default=None)
        assert heaps.least(without, f'z{zone}') is expected
        name = f's{number % len(loads)}'
        load_by_member[name] += 1
