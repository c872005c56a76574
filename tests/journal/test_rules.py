"""The journal's rules: the same everywhere, and never backwards."""

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


def test_restart_at_the_same_address_ends_the_predecessor() -> None:
    """A process restarts before its lease has run out anywhere."""
    state = make_state()
    outcome = append(state, MemberJoined(_row('a2', 'a', 'http-a')))
    assert outcome == [Applied()]
    assert state.members['a'].state is MemberState.OVER
    assert state.members['a'].proof is Proof.RESTART


def test_server_id_at_another_address_is_refused() -> None:
    """A mistyped server id: two processes would displace each other."""
    state = make_state()
    outcome = append(state, MemberJoined(_row('a2', 'a', 'elsewhere')))
    assert _reason(outcome[0]) is RejectReason.SERVER_IN_USE
    assert state.members['a'].state is MemberState.READY


def test_of_two_conflicting_commands_the_later_one_is_told() -> None:
    """Two operators command one server at the same moment.

    Both see generation g. The journal orders them; the second is told which
    command it lost to, and none of its effects happen.
    """
    state = make_state()
    seen = state.generation
    first = CommandAccepted('c1', 'ana', 'drain a', 'a', seen)
    second = CommandAccepted('c2', 'bo', 'resume a', 'a', seen)
    append(state, first, StateSet('a', MemberState.DRAINING))
    lost = append(state, second, StateSet('a', MemberState.READY))
    assert lost[0] == Rejected(RejectReason.CONFLICT, 'c1')
    assert state.members['a'].state is MemberState.DRAINING


def test_command_sent_twice_takes_effect_once() -> None:
    """An operator's answer was lost, and the command is sent again."""
    state = make_state()
    seen = state.generation
    command = CommandAccepted('c1', 'ana', 'drain a', 'a', seen)
    append(state, command, StateSet('a', MemberState.DRAINING))
    append(state, StateSet('a', MemberState.READY))
    again = append(state, command, StateSet('a', MemberState.DRAINING))
    assert again[0] == Rejected(RejectReason.DUPLICATE, 'c1')
    assert state.members['a'].state is MemberState.READY


def test_later_command_from_a_newer_view_wins() -> None:
    """An operator takes a drain back after having seen it."""
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


def test_older_declaration_is_not_put_back() -> None:
    """Two operators apply documents made from the same generation.

    The second would undo the first without having seen it.
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


def test_number_of_slices_stays() -> None:
    """Another number of ranges would give every key another owner at once."""
    state = make_state()
    service = ServiceRow('casebook', 9, True, 400)
    append(
        state, DeclarationApplied('', state.declaration_generation, (service,))
    )
    assert state.services['casebook'].slices == 1


def test_only_the_named_successor_takes() -> None:
    """A process that was successor once takes over from an old view."""
    state = make_state()
    fence = state.slices[SLICE].successor_fence
    assert append(state, TakenOver(SLICE, 'c', fence)) != [Applied()]
    assert append(state, TakenOver(SLICE, 'b', fence - 1)) != [Applied()]
    assert append(state, TakenOver(SLICE, 'b', fence)) == [Applied()]
    assert state.slices[SLICE].owner == 'b'
    assert append(state, TakenOver(SLICE, 'b', fence)) != [Applied()]


def test_fences_rise_with_every_owner() -> None:
    """A checking server can tell every owner from the ones before."""
    state = make_state()
    fences = [state.slices[SLICE].fence]
    for heir, successor in (('b', 'a'), ('a', 'b'), ('b', 'a')):
        part = state.slices[SLICE]
        append(state, TakenOver(SLICE, heir, part.successor_fence))
        append(state, SuccessorNamed(SLICE, successor))
        fences.append(part.fence)
    assert fences == sorted(set(fences))


def test_testimony_of_another_epoch_ends_nobody() -> None:
    """Former witnesses' testimony reaches the journal after a change."""
    state = make_state()
    append(state, WitnessesReplaced('a', ('x', 'y', 'z'), 2))
    outcome = append(state, Ended('a', Proof.TESTIMONY, 1))
    assert _reason(outcome[0]) is RejectReason.STALE
    assert state.members['a'].state is MemberState.READY


def test_end_of_a_successor_frees_its_places() -> None:
    """The successor of a moving slice is lost; the move is undone."""
    state = make_state()
    append(state, MoveStarted(SLICE, 'c1'))
    append(state, Ended('b', Proof.TESTIMONY, 1))
    part = state.slices[SLICE]
    assert (part.successor, part.moving) == (None, None)
    assert 'b' not in state.members


@pytest.mark.parametrize('new_state', [MemberState.READY, MemberState.DRAINING])
def test_retired_server_stays_retired(new_state: MemberState) -> None:
    """A retired server is not brought back by a late command."""
    state = make_state()
    append(state, StateSet('a', MemberState.RETIRED))
    outcome = append(state, StateSet('a', new_state))
    assert _reason(outcome[0]) is RejectReason.NOT_ELIGIBLE


def test_process_does_not_undo_a_drain() -> None:
    """A server's process reports ready just after an operator's drain."""
    state = make_state()
    append(state, StateSet('a', MemberState.DRAINING))
    late = StateSet('a', MemberState.READY, MemberState.STARTING)
    assert _reason(append(state, late)[0]) is RejectReason.STALE


def test_second_move_of_a_slice_is_told_of_the_first() -> None:
    """Two moves of one slice: the first goes on."""
    state = make_state()
    append(state, OwnerRequested(SLICE, 'b', 'c1'))
    outcome = append(state, OwnerRequested(SLICE, 'c', 'c2'))
    assert outcome == [Rejected(RejectReason.CONFLICT, 'c1')]


def test_list_of_hot_keys_is_bounded() -> None:
    """A caller cannot grow the map by heating many keys."""
    state = make_state()
    for number in range(MAX_HOT_KEYS_PER_SERVICE):
        append(state, HotKeySplit('casebook', f'k{number}'))
    outcome = append(state, HotKeySplit('casebook', 'one more'))
    assert _reason(outcome[0]) is RejectReason.HOT_LIST_FULL
