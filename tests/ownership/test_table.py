"""Steps a process takes ahead of the journal."""

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
    """Let a successor stand back from its present naming."""
    fence = state.slices[slice_id].successor_fence
    return append(state, SuccessorWithdrawn(slice_id, member, fence))


def test_late_renunciation_does_not_cancel_a_newer_naming() -> None:
    """Two owners, found by the state machine after some thousand examples.

    A successor's renunciation is appended twice, the second time after it
    was named anew and had taken the slice over.
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


def test_renounced_slice_is_not_taken() -> None:
    """A successor stands back, then sees the owner's lease end.

    Its copy of the journal still names it. Taking the slice over would make
    it owner beside the newly named successor.
    """
    state = make_state()
    append(state, SuccessorRequested(SLICE, 'c'))
    table = OwnershipTable('b')
    assert table.renounce(state.slices[SLICE])
    assert not table.take(state.slices[SLICE])


def test_taken_slice_is_not_renounced() -> None:
    """The wish for another successor comes after the takeover."""
    state = make_state()
    table = OwnershipTable('b')
    assert table.take(state.slices[SLICE])
    assert not table.renounce(state.slices[SLICE])
    assert table.fence(state, state.slices[SLICE]) is not None


def test_renouncing_once_does_not_bind_for_ever() -> None:
    """A member that stood back can be named again later."""
    state = make_state()
    append(state, SuccessorRequested(SLICE, 'c'))
    table = OwnershipTable('b')
    table.renounce(state.slices[SLICE])
    renounce(state, SLICE, 'b')
    append(state, SuccessorRequested(SLICE, 'b'))
    renounce(state, SLICE, 'c')
    table.settle(state)
    assert table.take(state.slices[SLICE])


def test_released_slice_is_never_served_again() -> None:
    """The owner released; its copy of the journal still names it owner."""
    state = make_state()
    table = OwnershipTable('a')
    table.release(state.slices[SLICE])
    assert table.fence(state, state.slices[SLICE]) is None


def test_release_under_another_fence_is_ignored() -> None:
    """A release sent before an earlier move arrives late."""
    state = make_state()
    part = state.slices[SLICE]
    table = OwnershipTable('b')
    assert not table.take_released(part, 'a', part.fence - 1)
    assert not table.take_released(part, 'c', part.fence)
    assert table.take_released(part, 'a', part.fence)


def test_key_carved_out_of_a_released_range_is_released_too() -> None:
    """A housing case turns hot in the moment its range is handed over.

    The owner releases the range, the successor takes it and serves the key.
    Then the journal shows the key carved out, still under the old owner.
    """
    state = make_state()
    table = OwnershipTable('a')
    table.release(state.slices[SLICE])
    append(state, HotKeySplit('casebook', KEY))
    hot = find_slice(state, 'casebook', KEY)
    assert hot.slice_id == HOT
    assert hot.owner == 'a'
    assert table.fence(state, hot) is None


def test_settle_forgets_what_the_journal_shows() -> None:
    """Notes do not pile up."""
    state = make_state()
    part = state.slices[SLICE]
    table = OwnershipTable('b')
    table.take(part)
    append(state, TakenOver(SLICE, 'b', part.successor_fence))
    table.settle(state)
    assert not table.taken
    assert table.fence(state, state.slices[SLICE]) is not None


def test_merge_waits_for_a_newer_fence() -> None:
    """A cooled key goes back to its range only when no fence falls."""
    state = make_state()
    append(state, HotKeySplit('casebook', KEY))
    assert append(state, HotKeyMerged(HOT)) == [Applied()]
    assert HOT not in state.slices


def test_merge_of_parts_with_different_successors_is_refused() -> None:
    """Two successors would take the key over when the owner dies."""
    state = make_state()
    append(state, HotKeySplit('casebook', KEY))
    append(state, SuccessorRequested(HOT, 'c'))
    renounce(state, HOT, 'b')
    assert append(state, HotKeyMerged(HOT)) != [Applied()]
