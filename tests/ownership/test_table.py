"""Ownership steps that a process takes ahead of the journal."""

from plantaingrade.journal.entity import (
    Applied,
    Assigned,
    DeclarationApplied,
    HotKeyMerged,
    HotKeySplit,
    MapState,
    MemberJoined,
    MemberRow,
    MemberState,
    Record,
    ServiceRow,
    SuccessorNamed,
    SuccessorRequested,
    SuccessorWithdrawn,
    TakenOver,
)
from plantaingrade.journal.keys import find_slice, hot_slice_id
from plantaingrade.journal.rules import apply_record
from plantaingrade.ownership.table import OwnershipTable

SLICE = 'casebook/0'
KEY = '4711'
HOT = hot_slice_id('casebook', KEY)


def append(state: MapState, *changes: object) -> list[object]:
    """Apply one record."""
    record = Record(state.generation + 1, '', '', changes)
    return apply_record(state, record)


def make_state() -> MapState:
    """Return one slice owned by ``a``, with successor ``b``; ``c`` is idle."""
    state = MapState()
    append(
        state,
        DeclarationApplied('', 0, (ServiceRow('casebook', 1, True, 400),)),
    )
    for name in ('a', 'b', 'c'):
        row = MemberRow(
            name,
            name,
            'casebook',
            f'zone-{name}',
            f'http-{name}',
            name,
            '',
            6,
            True,
            state=MemberState.READY,
        )
        append(state, MemberJoined(row))
    append(state, Assigned(SLICE, 'a'))
    append(state, SuccessorNamed(SLICE, 'b'))
    return state


def renounce(state: MapState, slice_id: str, member: str) -> list[object]:
    """Append the renunciation of the current successor."""
    fence = state.slices[slice_id].successor_fence
    return append(state, SuccessorWithdrawn(slice_id, member, fence))


def test_late_renunciation_does_not_cancel_a_newer_naming() -> None:
    """A renunciation that is appended twice must not lead to two owners.

    The second time, the successor had been named again and had taken over.
    """
    state = make_state()
    append(state, SuccessorRequested(SLICE, 'c'))
    first = SuccessorWithdrawn(SLICE, 'b', state.slices[SLICE].successor_fence)
    assert append(state, first) == [Applied()]
    append(state, SuccessorRequested(SLICE, 'b'))
    renounce(state, SLICE, 'c')
    assert state.slices[SLICE].successor == 'b'
    assert append(state, first) != [Applied()]
    assert state.slices[SLICE].successor == 'b'


def test_renounced_slice_is_not_acquired() -> None:
    """A member that has renounced must not take over the slice.

    Its copy of the journal still names it as successor. With the newly named
    successor there would be two owners.
    """
    state = make_state()
    append(state, SuccessorRequested(SLICE, 'c'))
    table = OwnershipTable('b')
    assert table.renounce(state.slices[SLICE])
    assert not table.acquire(state.slices[SLICE])


def test_acquired_slice_is_not_renounced() -> None:
    """A request for another successor may arrive after the takeover."""
    state = make_state()
    table = OwnershipTable('b')
    assert table.acquire(state.slices[SLICE])
    assert not table.renounce(state.slices[SLICE])
    assert table.fence(state, state.slices[SLICE]) is not None


def test_member_that_renounced_can_be_named_again() -> None:
    """An old renunciation must not block a later takeover."""
    state = make_state()
    append(state, SuccessorRequested(SLICE, 'c'))
    table = OwnershipTable('b')
    table.renounce(state.slices[SLICE])
    renounce(state, SLICE, 'b')
    append(state, SuccessorRequested(SLICE, 'b'))
    renounce(state, SLICE, 'c')
    table.drop_recorded(state)
    assert table.acquire(state.slices[SLICE])


def test_released_slice_is_never_served_again() -> None:
    """The former owner's copy of the journal still names it as owner."""
    state = make_state()
    table = OwnershipTable('a')
    table.release(state.slices[SLICE])
    assert table.fence(state, state.slices[SLICE]) is None


def test_release_under_another_fence_is_ignored() -> None:
    """A release that was sent before an earlier move may arrive late."""
    state = make_state()
    part = state.slices[SLICE]
    table = OwnershipTable('b')
    assert not table.acquire_released(part, 'a', part.fence - 1)
    assert not table.acquire_released(part, 'c', part.fence)
    assert table.acquire_released(part, 'a', part.fence)


def test_key_carved_out_of_a_released_range_is_released_too() -> None:
    """A key is split off as hot while its range is handed over.

    The successor already serves the key when the journal shows it split off
    with the old owner. There must not be two owners.
    """
    state = make_state()
    table = OwnershipTable('a')
    table.release(state.slices[SLICE])
    append(state, HotKeySplit('casebook', KEY))
    hot = find_slice(state, 'casebook', KEY)
    assert hot.slice_id == HOT
    assert hot.owner == 'a'
    assert table.fence(state, hot) is None


def test_recorded_steps_are_dropped() -> None:
    """Steps that the journal shows must not accumulate."""
    state = make_state()
    part = state.slices[SLICE]
    table = OwnershipTable('b')
    table.acquire(part)
    append(state, TakenOver(SLICE, 'b', part.successor_fence))
    table.drop_recorded(state)
    assert not table.acquired
    assert table.fence(state, state.slices[SLICE]) is not None


def test_merge_waits_for_a_newer_fence() -> None:
    """A former hot key returns to its range only if no fence decreases."""
    state = make_state()
    append(state, HotKeySplit('casebook', KEY))
    assert append(state, HotKeyMerged(HOT)) == [Applied()]
    assert HOT not in state.slices


def test_merge_of_parts_with_different_successors_is_refused() -> None:
    """Two successors would take over the key when the owner fails."""
    state = make_state()
    append(state, HotKeySplit('casebook', KEY))
    append(state, SuccessorRequested(HOT, 'c'))
    renounce(state, HOT, 'b')
    assert append(state, HotKeyMerged(HOT)) != [Applied()]
