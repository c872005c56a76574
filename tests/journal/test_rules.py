"""Rules by which journal records are applied to the map."""

import pytest

from plantaingrade.journal.const import MAX_HOT_KEYS_PER_SERVICE
from plantaingrade.journal.entity import (
    Applied,
    CommandAccepted,
    DeclarationApplied,
    Ended,
    HotKeySplit,
    MemberJoined,
    MemberRow,
    MemberState,
    MoveStarted,
    OwnerRequested,
    Proof,
    Rejected,
    RejectReason,
    ServiceRow,
    StateSet,
    SuccessorNamed,
    TakenOver,
    WitnessesReplaced,
)
from tests.ownership.test_table import SLICE, append, make_state


def _row(member: str, server: str, http: str) -> MemberRow:
    return MemberRow(
        member,
        server,
        'casebook',
        'zone',
        http,
        member,
        '',
        6,
        True,
        state=MemberState.READY,
    )


def _reason(outcome: object) -> RejectReason | None:
    return outcome.reason if isinstance(outcome, Rejected) else None


def test_restart_at_same_address_ends_predecessor() -> None:
    """A process restarts before the lease of its predecessor expired."""
    state = make_state()
    outcome = append(state, MemberJoined(_row('a2', 'a', 'http-a')))
    assert outcome == [Applied()]
    assert state.members['a'].state is MemberState.OVER
    assert state.members['a'].proof is Proof.RESTART


def test_server_id_at_another_address_is_refused() -> None:
    """Two processes with a mistyped server id displace each other."""
    state = make_state()
    outcome = append(state, MemberJoined(_row('a2', 'a', 'elsewhere')))
    assert _reason(outcome[0]) is RejectReason.SERVER_IN_USE
    assert state.members['a'].state is MemberState.READY


def test_later_of_two_conflicting_commands_is_rejected() -> None:
    """Two operators send commands for one server at the same time.

    Both are based on the same generation. The second is rejected with the id
    of the first, and none of its effects are applied.
    """
    state = make_state()
    seen = state.generation
    first = CommandAccepted('c1', 'ana', 'drain a', 'a', seen)
    second = CommandAccepted('c2', 'bo', 'resume a', 'a', seen)
    append(state, first, StateSet('a', MemberState.DRAINING))
    rejected = append(state, second, StateSet('a', MemberState.READY))
    assert rejected[0] == Rejected(RejectReason.CONFLICT, 'c1')
    assert state.members['a'].state is MemberState.DRAINING


def test_command_sent_twice_takes_effect_once() -> None:
    """A command is repeated because its response was lost."""
    state = make_state()
    seen = state.generation
    command = CommandAccepted('c1', 'ana', 'drain a', 'a', seen)
    append(state, command, StateSet('a', MemberState.DRAINING))
    append(state, StateSet('a', MemberState.READY))
    again = append(state, command, StateSet('a', MemberState.DRAINING))
    assert again[0] == Rejected(RejectReason.DUPLICATE, 'c1')
    assert state.members['a'].state is MemberState.READY


def test_command_based_on_newer_generation_is_accepted() -> None:
    """An operator cannot revoke a drain after having seen it."""
    state = make_state()
    append(
        state,
        CommandAccepted('c1', 'ana', 'drain a', 'a', state.generation),
        StateSet('a', MemberState.DRAINING),
    )
    outcome = append(
        state,
        CommandAccepted('c2', 'bo', 'resume a', 'a', state.generation),
        StateSet('a', MemberState.READY),
    )
    assert outcome[0] == Applied()
    assert state.members['a'].state is MemberState.READY


def test_outdated_declaration_is_rejected() -> None:
    """Two operators apply documents based on the same generation.

    The second would silently revert the first.
    """
    state = make_state()
    seen = state.declaration_generation
    service = ServiceRow('casebook', 1, True, 100)
    assert append(state, DeclarationApplied('new', seen, (service,))) == [
        Applied()
    ]
    older = ServiceRow('casebook', 1, True, 500)
    outcome = append(state, DeclarationApplied('old', seen, (older,)))
    assert _reason(outcome[0]) is RejectReason.STALE
    assert state.services['casebook'].unfenced_grace_ms == 100


def test_number_of_slices_is_fixed() -> None:
    """Another number of ranges moves all keys to other owners at once."""
    state = make_state()
    service = ServiceRow('casebook', 9, True, 400)
    append(
        state, DeclarationApplied('', state.declaration_generation, (service,))
    )
    assert state.services['casebook'].slices == 1


def test_only_the_named_successor_takes_over() -> None:
    """A former successor takes over, based on an outdated map."""
    state = make_state()
    fence = state.slices[SLICE].successor_fence
    assert append(state, TakenOver(SLICE, 'c', fence)) != [Applied()]
    assert append(state, TakenOver(SLICE, 'b', fence - 1)) != [Applied()]
    assert append(state, TakenOver(SLICE, 'b', fence)) == [Applied()]
    assert state.slices[SLICE].owner == 'b'
    assert append(state, TakenOver(SLICE, 'b', fence)) != [Applied()]


def test_fence_increases_with_each_owner() -> None:
    """A server that checks fences cannot tell an owner from earlier ones."""
    state = make_state()
    fences = [state.slices[SLICE].fence]
    for new_owner, successor in (('b', 'a'), ('a', 'b'), ('b', 'a')):
        slice_row = state.slices[SLICE]
        append(state, TakenOver(SLICE, new_owner, slice_row.successor_fence))
        append(state, SuccessorNamed(SLICE, successor))
        fences.append(slice_row.fence)
    assert fences == sorted(set(fences))


def test_testimony_of_earlier_epoch_is_stale() -> None:
    """Testimony of former witnesses ends a member with new witnesses."""
    state = make_state()
    append(state, WitnessesReplaced('a', ('x', 'y', 'z'), 2))
    outcome = append(state, Ended('a', Proof.TESTIMONY, 1))
    assert _reason(outcome[0]) is RejectReason.STALE
    assert state.members['a'].state is MemberState.READY


def test_end_of_a_successor_cancels_the_move() -> None:
    """The successor fails during a move, and the move stays pending."""
    state = make_state()
    append(state, MoveStarted(SLICE, 'c1'))
    append(state, Ended('b', Proof.TESTIMONY, 1))
    slice_row = state.slices[SLICE]
    assert (slice_row.successor, slice_row.moving) == (None, None)
    assert 'b' not in state.members


@pytest.mark.parametrize('new_state', [MemberState.READY, MemberState.DRAINING])
def test_retired_server_stays_retired(new_state: MemberState) -> None:
    """A late command reactivates a retired server."""
    state = make_state()
    append(state, StateSet('a', MemberState.RETIRED))
    outcome = append(state, StateSet('a', new_state))
    assert _reason(outcome[0]) is RejectReason.NOT_ELIGIBLE


def test_late_ready_state_does_not_revert_a_drain() -> None:
    """A process sets its state to ready just after an operator's drain."""
    state = make_state()
    append(state, StateSet('a', MemberState.DRAINING))
    late = StateSet('a', MemberState.READY, MemberState.STARTING)
    assert _reason(append(state, late)[0]) is RejectReason.STALE


def test_second_move_of_a_slice_is_rejected() -> None:
    """A second move of a slice replaces the one in progress."""
    state = make_state()
    append(state, OwnerRequested(SLICE, 'b', 'c1'))
    outcome = append(state, OwnerRequested(SLICE, 'c', 'c2'))
    assert outcome == [Rejected(RejectReason.CONFLICT, 'c1')]


def test_number_of_hot_keys_is_bounded() -> None:
    """A caller grows the map without limit by making many keys hot."""
    state = make_state()
    for number in range(MAX_HOT_KEYS_PER_SERVICE):
        append(state, HotKeySplit('casebook', f'k{number}'))
    outcome = append(state, HotKeySplit('casebook', 'one more'))
    assert _reason(outcome[0]) is RejectReason.HOT_LIST_FULL
