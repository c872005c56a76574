"""Incarnations of a server, from heartbeats that may be late or forged."""

from hypothesis import given
from hypothesis import strategies as st

from plantaingrade.backends.incarnation import (
    CONFIRM_AFTER_S,
    MAX_ENDED_INCARNATIONS,
    IncarnationState,
    IncarnationTracker,
)
from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
    ReportedState,
    ServerIncarnation,
)

# Start times of two incarnations, in Unix milliseconds.
STARTED_MS = 1_700_000_000_000
RESTARTED_MS = STARTED_MS + 4000


def heartbeat(
    instance: str,
    number: int,
    state: str = 'ready',
    started_ms: int | None = None,
    cold_s: float = 0,
) -> Heartbeat:
    incarnation = ServerIncarnation(instance, started_ms)
    return Heartbeat(
        incarnation, 's', 'a', 6, ReportedState(state), cold_s, number
    )


def farewell(instance: str, started_ms: int | None = None) -> Farewell:
    return Farewell(ServerIncarnation(instance, started_ms))


def test_first_heartbeat_begins_an_incarnation() -> None:
    tracker = IncarnationTracker()
    change = tracker.on_heartbeat(heartbeat('i-1', 1), 10.0)
    assert change.is_new_incarnation
    assert tracker.accepts_work
    assert tracker.slots == 6


def test_heartbeat_of_a_crashed_incarnation_is_ignored() -> None:
    """A heartbeat is delayed by a network partition until its server has
    crashed and another incarnation has registered at the same address.
    """
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 1), 10.0)
    tracker.on_identified('i-2', 11.0)
    change = tracker.on_heartbeat(heartbeat('i-1', 2, 'draining'), 12.0)
    assert not change.is_leaving
    assert not change.must_verify
    assert tracker.instance == 'i-2'
    assert tracker.accepts_work


def test_another_id_is_accepted_when_the_server_confirms_it() -> None:
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 5), 10.0)
    assert tracker.on_heartbeat(heartbeat('i-2', 1), 11.0).must_verify == 'i-2'
    assert tracker.instance == 'i-1'
    assert tracker.on_identified('i-2', 11.1).is_new_incarnation
    assert tracker.instance == 'i-2'


def test_reordered_heartbeat_is_ignored() -> None:
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 5), 10.0)
    tracker.on_heartbeat(heartbeat('i-1', 7, 'draining'), 11.0)
    tracker.on_heartbeat(heartbeat('i-1', 6), 12.0)
    assert tracker.state is IncarnationState.DRAINING


def test_draining_incarnation_never_accepts_work_again() -> None:
    tracker = IncarnationTracker(finish_s=1.0)
    tracker.on_heartbeat(heartbeat('i-1', 5), 10.0)
    assert tracker.on_heartbeat(
        heartbeat('i-1', 6, 'draining'), 11.0
    ).is_leaving
    assert not tracker.accepts_work
    assert tracker.is_finishing(11.5)
    assert not tracker.is_finishing(12.5)
    tracker.on_heartbeat(heartbeat('i-1', 7), 12.0)
    assert not tracker.accepts_work


def test_farewell_applies_to_its_incarnation_only() -> None:
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 5), 10.0)
    assert not tracker.on_farewell(farewell('i-0'), 11.0).is_leaving
    assert tracker.accepts_work
    assert tracker.on_farewell(farewell('i-1'), 11.0).is_leaving
    assert not tracker.on_farewell(farewell('i-1'), 11.0).is_leaving
    assert not tracker.accepts_work


def test_first_heartbeat_after_gone_begins_an_incarnation() -> None:
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 5), 10.0)
    tracker.on_gone()
    assert not tracker.accepts_work
    assert tracker.on_heartbeat(heartbeat('i-2', 1), 12.0).is_new_incarnation


def test_server_that_restarts_with_its_id_is_used_again() -> None:
    """A server is gone and has restarted with its id.

    When asked, it returns that id. If the id stays ended, the server is never
    used again.
    """
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 5), 10.0)
    tracker.on_gone()
    assert tracker.on_identified('i-1', 11.0).is_new_incarnation
    assert tracker.accepts_work
    tracker.on_heartbeat(heartbeat('i-1', 1, 'draining'), 12.0)
    assert not tracker.accepts_work


def test_restart_with_the_same_id_is_a_new_incarnation() -> None:
    """A server crashes and restarts with the same id and sequence 1.

    If its heartbeats are ignored until the old sequence is reached, its keys
    are not granted under new fences.
    """
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 50, started_ms=STARTED_MS), 10.0)
    change = tracker.on_heartbeat(
        heartbeat('i-1', 1, started_ms=RESTARTED_MS), 10.3
    )
    assert change.is_new_incarnation
    assert tracker.current == ServerIncarnation('i-1', RESTARTED_MS)


def test_no_state_of_the_previous_incarnation_is_kept() -> None:
    """A cold, draining server crashes and restarts with the same id.

    If its earlier state were kept, the new incarnation would get no work, as if
    it were draining.
    """
    tracker = IncarnationTracker(finish_s=5.0)
    tracker.on_heartbeat(
        heartbeat('i-1', 1, started_ms=STARTED_MS, cold_s=60), 10.0
    )
    tracker.on_heartbeat(heartbeat('i-1', 2, 'draining', STARTED_MS, 59), 10.5)
    tracker.on_heartbeat(
        heartbeat('i-1', 1, started_ms=RESTARTED_MS, cold_s=3), 11.0
    )
    assert tracker.accepts_work
    assert not tracker.is_finishing(11.1)
    assert not tracker.finish_until
    assert tracker.cold_until == 11 + 3
    assert tracker.last_received_at == 11


def test_identified_incarnation_has_no_state_of_the_previous_one() -> None:
    tracker = IncarnationTracker(finish_s=5.0)
    tracker.on_heartbeat(heartbeat('i-1', 1, 'draining', STARTED_MS, 60), 10.0)
    tracker.on_identified('i-2', 11.0)
    assert tracker.slots == 0
    assert not tracker.cold_until
    assert not tracker.finish_until
    assert tracker.current.born_ms is None


def test_late_messages_of_an_earlier_incarnation_are_ignored() -> None:
    """A server restarts with the same id while heartbeats and the farewell of
    its previous incarnation are in transit. They arrive one by one, over
    seconds.
    """
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 50, started_ms=STARTED_MS), 10.0)
    tracker.on_heartbeat(heartbeat('i-1', 1, started_ms=RESTARTED_MS), 10.5)
    for number, now in ((51, 10.6), (52, 11.4), (53, 12.2), (54, 13.0)):
        late = heartbeat('i-1', number, 'draining', STARTED_MS, 60)
        change = tracker.on_heartbeat(late, now)
        assert not change.is_new_incarnation
        assert not change.is_leaving
    assert not tracker.on_farewell(farewell('i-1', STARTED_MS), 13.1).is_leaving
    assert tracker.accepts_work
    assert tracker.cold_until < 11
    assert tracker.current.born_ms == RESTARTED_MS


def test_interleaved_heartbeats_do_not_change_the_incarnation() -> None:
    """Heartbeats of the current incarnation alternate with late ones of a
    previous incarnation, which ended before the sidecar process started.
    """
    tracker = IncarnationTracker()
    for turn in range(8):
        now = 10.0 + turn
        tracker.on_heartbeat(
            heartbeat('i-1', turn + 1, started_ms=RESTARTED_MS), now
        )
        late = heartbeat('i-1', 90 + turn, 'draining', STARTED_MS)
        change = tracker.on_heartbeat(late, now + 0.3)
        assert not change.is_new_incarnation
        assert tracker.accepts_work
    assert tracker.current.born_ms == RESTARTED_MS


def test_two_restarts_in_a_row_are_two_new_incarnations() -> None:
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 9, started_ms=STARTED_MS), 10.0)
    assert tracker.on_heartbeat(
        heartbeat('i-1', 1, started_ms=RESTARTED_MS), 10.3
    ).is_new_incarnation
    again = heartbeat('i-1', 1, started_ms=RESTARTED_MS + 200)
    assert tracker.on_heartbeat(again, 10.5).is_new_incarnation
    late = heartbeat('i-1', 2, started_ms=RESTARTED_MS)
    assert not tracker.on_heartbeat(late, 10.6).is_new_incarnation
    assert tracker.current == ServerIncarnation('i-1', RESTARTED_MS + 200)


def test_restart_after_a_farewell_is_accepted_at_once() -> None:
    tracker = IncarnationTracker(finish_s=1.4)
    tracker.on_heartbeat(heartbeat('i-1', 50, started_ms=STARTED_MS), 10.0)
    assert tracker.on_farewell(farewell('i-1', STARTED_MS), 11.0).is_leaving
    change = tracker.on_heartbeat(
        heartbeat('i-1', 1, started_ms=RESTARTED_MS), 11.3
    )
    assert change.is_new_incarnation
    assert not change.is_leaving
    assert tracker.accepts_work


def test_farewell_of_an_unknown_incarnation_starts_its_drain() -> None:
    """A server restarts with the same id and drains at once. Its heartbeats are
    lost, so the farewell is the first message of the new incarnation.
    """
    tracker = IncarnationTracker(finish_s=1.4)
    tracker.on_heartbeat(heartbeat('i-1', 50, started_ms=STARTED_MS), 10.0)
    change = tracker.on_farewell(farewell('i-1', RESTARTED_MS), 11.0)
    assert change.is_new_incarnation
    assert change.is_leaving
    assert tracker.is_finishing(11.1)


def test_restart_is_accepted_although_the_clock_stepped_back() -> None:
    """A server crashes, its clock steps back by seconds, and it restarts with
    the same id and a start time before that of the previous incarnation.

    Its first heartbeat looks like a late one of an earlier incarnation, but it
    must be accepted within two seconds.
    """
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 50, started_ms=RESTARTED_MS), 10.0)
    tracker.on_heartbeat(heartbeat('i-1', 51, 'draining', RESTARTED_MS), 10.8)
    started = 11.0
    first = heartbeat('i-1', 1, started_ms=STARTED_MS, cold_s=3)
    assert not tracker.on_heartbeat(first, started).is_new_incarnation
    second = heartbeat('i-1', 2, started_ms=STARTED_MS, cold_s=2)
    assert tracker.on_heartbeat(second, started + 0.9).is_new_incarnation
    assert tracker.accepts_work
    # Late messages of the previous incarnation are ignored now.
    late = heartbeat('i-1', 52, 'draining', RESTARTED_MS)
    assert not tracker.on_heartbeat(late, started + 1.0).is_leaving
    assert tracker.current == ServerIncarnation('i-1', STARTED_MS)


def test_delayed_heartbeats_that_arrive_together_are_ignored() -> None:
    """A network partition delays many heartbeats of an unknown incarnation.
    They all arrive between two heartbeats of the current one.
    """
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 4, started_ms=RESTARTED_MS), 10.0)
    for number in range(20):
        late = heartbeat('i-1', 60 + number, 'draining', STARTED_MS)
        now = 10.1 + number * CONFIRM_AFTER_S / 25
        assert not tracker.on_heartbeat(late, now).is_new_incarnation
    assert tracker.accepts_work


def test_gone_server_may_restart_with_its_clock_behind() -> None:
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 50, started_ms=RESTARTED_MS), 10.0)
    tracker.on_gone()
    tracker.on_heartbeat(heartbeat('i-1', 1, started_ms=STARTED_MS), 11.0)
    assert tracker.on_heartbeat(
        heartbeat('i-1', 2, started_ms=STARTED_MS), 11.9
    ).is_new_incarnation
    assert tracker.accepts_work


def test_start_time_is_set_by_the_first_heartbeat_with_one() -> None:
    """The server was asked for its id, and the answer has no start time. Its
    next heartbeat is of that incarnation and begins no other.
    """
    tracker = IncarnationTracker()
    tracker.on_identified('i-1', 10.0)
    assert not tracker.on_heartbeat(
        heartbeat('i-1', 3, started_ms=STARTED_MS), 10.1
    ).is_new_incarnation
    assert tracker.current.born_ms == STARTED_MS
    assert tracker.slots == 6
    assert tracker.on_heartbeat(
        heartbeat('i-1', 1, started_ms=RESTARTED_MS), 11.0
    ).is_new_incarnation


def test_heartbeat_without_a_start_time_is_from_another_sender() -> None:
    """Another program sends heartbeats with the id of the local server."""
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 5, started_ms=STARTED_MS), 10.0)
    change = tracker.on_heartbeat(heartbeat('i-1', 99, 'draining'), 11.0)
    assert not change.is_leaving
    assert tracker.accepts_work
    tracker.on_heartbeat(heartbeat('i-1', 6, 'draining', STARTED_MS), 11.1)
    assert not tracker.accepts_work


def test_server_may_confirm_an_ended_id() -> None:
    """Servers alternate at one address, and the first one's id returns."""
    tracker = IncarnationTracker()
    tracker.on_heartbeat(heartbeat('i-1', 50, started_ms=STARTED_MS), 10.0)
    tracker.on_identified('i-2', 11.0)
    assert tracker.on_identified('i-1', 12.0).is_new_incarnation
    tracker.on_heartbeat(heartbeat('i-1', 1, 'draining', RESTARTED_MS), 12.1)
    assert tracker.current.born_ms == RESTARTED_MS
    assert not tracker.accepts_work


def test_number_of_ended_incarnations_is_limited() -> None:
    tracker = IncarnationTracker()
    for number in range(MAX_ENDED_INCARNATIONS + 5):
        tracker.on_heartbeat(
            heartbeat('i-1', 1, started_ms=STARTED_MS + number), 10.0 + number
        )
    assert tracker.current.born_ms == STARTED_MS + MAX_ENDED_INCARNATIONS + 4
    late = heartbeat('i-1', 99, 'draining', STARTED_MS)
    assert not tracker.on_heartbeat(late, 90.0).is_leaving


def test_late_farewell_without_a_start_time_is_refuted() -> None:
    """A network partition delays a farewell that has only an id. Its sender has
    crashed and restarted with the same id when it arrives.

    It may be of the current incarnation, so the keys are transferred. The
    server still reports ready, and must be used again.
    """
    tracker = IncarnationTracker(finish_s=1.4)
    tracker.on_heartbeat(heartbeat('i-1', 5, started_ms=RESTARTED_MS), 10.0)
    assert tracker.on_farewell(farewell('i-1'), 10.1).is_leaving
    # This one may have been sent before the farewell.
    tracker.on_heartbeat(heartbeat('i-1', 6, started_ms=RESTARTED_MS), 10.9)
    assert not tracker.accepts_work
    change = tracker.on_heartbeat(
        heartbeat('i-1', 9, started_ms=RESTARTED_MS), 12.2
    )
    assert change.is_new_incarnation
    assert tracker.accepts_work
    assert not tracker.on_heartbeat(
        heartbeat('i-1', 10, started_ms=RESTARTED_MS), 13.0
    ).is_new_incarnation
    assert tracker.on_heartbeat(
        heartbeat('i-1', 11, 'draining', RESTARTED_MS), 14.0
    ).is_leaving


def test_farewell_with_a_start_time_is_final() -> None:
    tracker = IncarnationTracker(finish_s=1.4)
    tracker.on_heartbeat(heartbeat('i-1', 5, started_ms=STARTED_MS), 10.0)
    tracker.on_farewell(farewell('i-1', STARTED_MS), 10.1)
    for number in range(6, 12):
        tracker.on_heartbeat(
            heartbeat('i-1', number, started_ms=STARTED_MS), 10.0 + number
        )
    assert not tracker.accepts_work


# Start times of three incarnations with one id, and delays of their heartbeats,
# in seconds. Most arrive at once, some after the end of their incarnation.
STARTS_S = (0, 3, 6)
INCARNATION_S = 3
HEARTBEAT_S = 0.3
delay_lists = st.lists(
    st.sampled_from((0.0, 0.0, 0.0, 0.1, 1.5, 5.0)), min_size=30, max_size=30
)


@given(delay_lists, st.booleans())
def test_last_incarnation_is_current_for_any_delays(
    delays, is_identified
) -> None:
    """Three incarnations follow each other with one id. Their heartbeats are
    delayed at random; the first two drain at their end.

    Whatever is late, the last incarnation is current and accepts work.
    """
    arrivals = []
    for turn, delay in enumerate(delays):
        begun = STARTS_S[turn // 10]
        number = turn % 10
        is_last = begun == STARTS_S[-1]
        state = 'ready' if number < 8 or is_last else 'draining'
        started_ms = STARTED_MS + begun * 1000
        received = heartbeat('i-1', number + 1, state, started_ms)
        arrivals.append((begun + number * HEARTBEAT_S + delay, turn, received))
    # The last incarnation continues, and its last heartbeat arrives.
    ends = STARTS_S[-1] + INCARNATION_S + max(delays)
    last = STARTED_MS + STARTS_S[-1] * 1000
    arrivals.append((ends + 1, 98, heartbeat('i-1', 40, started_ms=last)))
    tracker = IncarnationTracker(finish_s=1.4)
    if is_identified:
        tracker.on_identified('i-1', 0.0)
    for now, _, report in sorted(arrivals, key=lambda each: each[:2]):
        tracker.on_heartbeat(report, now)
    assert tracker.current == ServerIncarnation('i-1', last)
    assert tracker.accepts_work
