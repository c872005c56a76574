"""The lives of a server, from heartbeats that may be late or forged."""

from hypothesis import given
from hypothesis import strategies as st

from plantaingrade.backends.incarnation import (
    DOUBT_S,
    MAX_ENDED_LIVES,
    IncarnationTracker,
    IncarnationState,
)
from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
    ReportedState,
    ServerIncarnation,
)

# Starts of a server, in Unix milliseconds.
BORN = 1_700_000_000_000
LATER = BORN + 4000


def beat(
    instance: str,
    number: int,
    state: str = 'ready',
    born: int | None = None,
    cold_s: float = 0,
) -> Heartbeat:
    life = ServerIncarnation(instance, born)
    return Heartbeat(life, 's', 'a', 6, ReportedState(state), cold_s, number)


def bye(instance: str, born: int | None = None) -> Farewell:
    return Farewell(ServerIncarnation(instance, born))


def test_the_first_heartbeat_begins_a_life() -> None:
    life = IncarnationTracker()
    change = life.on_heartbeat(beat('i-1', 1), 10.0)
    assert change.is_new_life
    assert life.accepts_work
    assert life.slots == 6


def test_a_heartbeat_of_a_crashed_life_changes_nothing() -> None:
    """A heartbeat was held up by a cut. Meanwhile its server crashed, and
    another life registered at the same address.
    """
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 1), 10.0)
    life.on_identified('i-2', 11.0)
    change = life.on_heartbeat(beat('i-1', 2, 'draining'), 12.0)
    assert not change.is_leaving
    assert not change.must_verify
    assert life.instance == 'i-2'
    assert life.accepts_work


def test_a_second_life_is_believed_when_the_server_names_it() -> None:
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    assert life.on_heartbeat(beat('i-2', 1), 11.0).must_verify == 'i-2'
    assert life.instance == 'i-1'
    assert life.on_identified('i-2', 11.1).is_new_life
    assert life.instance == 'i-2'


def test_an_older_heartbeat_of_the_same_life_changes_nothing() -> None:
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    life.on_heartbeat(beat('i-1', 7, 'draining'), 11.0)
    life.on_heartbeat(beat('i-1', 6), 12.0)
    assert life.state is IncarnationState.DRAINING


def test_a_life_that_leaves_never_takes_work_again() -> None:
    life = IncarnationTracker(finish_s=1.0)
    life.on_heartbeat(beat('i-1', 5), 10.0)
    assert life.on_heartbeat(beat('i-1', 6, 'draining'), 11.0).is_leaving
    assert not life.accepts_work
    assert life.is_finishing(11.5)
    assert not life.is_finishing(12.5)
    life.on_heartbeat(beat('i-1', 7), 12.0)
    assert not life.accepts_work


def test_a_farewell_counts_for_the_life_it_names() -> None:
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    assert not life.on_farewell(bye('i-0'), 11.0).is_leaving
    assert life.accepts_work
    assert life.on_farewell(bye('i-1'), 11.0).is_leaving
    assert not life.on_farewell(bye('i-1'), 11.0).is_leaving
    assert not life.accepts_work


def test_a_server_that_is_gone_begins_anew() -> None:
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    life.on_gone()
    assert not life.accepts_work
    assert life.on_heartbeat(beat('i-2', 1), 12.0).is_new_life


def test_a_server_that_is_back_under_its_id_is_used_again() -> None:
    """A server was gone and has started again under the id that it had.

    It is asked who it is and answers. Its id had ended, and stayed so: the
    server was never used again.
    """
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    life.on_gone()
    assert life.on_identified('i-1', 11.0).is_new_life
    assert life.accepts_work
    life.on_heartbeat(beat('i-1', 1, 'draining'), 12.0)
    assert not life.accepts_work


def test_a_restart_under_the_same_id_is_a_new_life() -> None:
    """A server crashes and starts again under its id; its count of heartbeats
    starts anew. Below the old count its heartbeats were passed over, so its
    keys were not granted under new fences.
    """
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 50, born=BORN), 10.0)
    change = life.on_heartbeat(beat('i-1', 1, born=LATER), 10.3)
    assert change.is_new_life
    assert life.present == ServerIncarnation('i-1', LATER)


def test_nothing_is_kept_of_the_life_before() -> None:
    """A server was cold and draining, crashed, and is back under its id.

    What it said before is of no use for its new life: it would be passed over
    as one that leaves.
    """
    life = IncarnationTracker(finish_s=5.0)
    life.on_heartbeat(beat('i-1', 1, born=BORN, cold_s=60), 10.0)
    life.on_heartbeat(beat('i-1', 2, 'draining', BORN, 59), 10.5)
    life.on_heartbeat(beat('i-1', 1, born=LATER, cold_s=3), 11.0)
    assert life.accepts_work
    assert not life.is_finishing(11.1)
    assert not life.finish_until
    assert life.cold_until == 11 + 3
    assert life.last_received_at == 11


def test_a_life_that_is_only_named_has_no_figures_of_the_one_before() -> None:
    life = IncarnationTracker(finish_s=5.0)
    life.on_heartbeat(beat('i-1', 1, 'draining', BORN, 60), 10.0)
    life.on_identified('i-2', 11.0)
    assert life.slots == 0
    assert not life.cold_until
    assert not life.finish_until
    assert life.present.born_ms is None


def test_late_words_of_an_earlier_life_change_nothing() -> None:
    """A server is back under its id while heartbeats and the farewell of its
    life before are still on their way. They arrive one by one, over seconds.
    """
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 50, born=BORN), 10.0)
    life.on_heartbeat(beat('i-1', 1, born=LATER), 10.5)
    for number, now in ((51, 10.6), (52, 11.4), (53, 12.2), (54, 13.0)):
        late = beat('i-1', number, 'draining', BORN, 60)
        change = life.on_heartbeat(late, now)
        assert not change.is_new_life
        assert not change.is_leaving
    assert not life.on_farewell(bye('i-1', BORN), 13.1).is_leaving
    assert life.accepts_work
    assert life.cold_until < 11
    assert life.present.born_ms == LATER


def test_heartbeats_of_both_lives_cross() -> None:
    """The present life is heard between late heartbeats of one before it that
    was never heard here, as its process was not running yet.
    """
    life = IncarnationTracker()
    for turn in range(8):
        now = 10.0 + turn
        life.on_heartbeat(beat('i-1', turn + 1, born=LATER), now)
        late = beat('i-1', 90 + turn, 'draining', BORN)
        change = life.on_heartbeat(late, now + 0.3)
        assert not change.is_new_life
        assert life.accepts_work
    assert life.present.born_ms == LATER


def test_two_restarts_in_a_row_are_two_new_lives() -> None:
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 9, born=BORN), 10.0)
    assert life.on_heartbeat(beat('i-1', 1, born=LATER), 10.3).is_new_life
    again = beat('i-1', 1, born=LATER + 200)
    assert life.on_heartbeat(again, 10.5).is_new_life
    late = beat('i-1', 2, born=LATER)
    assert not life.on_heartbeat(late, 10.6).is_new_life
    assert life.present == ServerIncarnation('i-1', LATER + 200)


def test_a_restart_after_a_farewell_is_taken_up_at_once() -> None:
    life = IncarnationTracker(finish_s=1.4)
    life.on_heartbeat(beat('i-1', 50, born=BORN), 10.0)
    assert life.on_farewell(bye('i-1', BORN), 11.0).is_leaving
    change = life.on_heartbeat(beat('i-1', 1, born=LATER), 11.3)
    assert change.is_new_life
    assert not change.is_leaving
    assert life.accepts_work


def test_a_farewell_of_a_life_that_was_never_heard_ends_it() -> None:
    """A server restarts under its id and leaves at once; its heartbeats are
    lost, and its farewell is the first word of its new life.
    """
    life = IncarnationTracker(finish_s=1.4)
    life.on_heartbeat(beat('i-1', 50, born=BORN), 10.0)
    change = life.on_farewell(bye('i-1', LATER), 11.0)
    assert change.is_new_life
    assert change.is_leaving
    assert life.is_finishing(11.1)


def test_a_restart_is_believed_though_the_clock_stepped_back() -> None:
    """A server crashes, its clock steps back by seconds, and it starts again
    under its id: its start seems to lie before that of the life before.

    Its first heartbeat cannot be told from a late one of a life still
    earlier. It must count within two seconds all the same.
    """
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 50, born=LATER), 10.0)
    life.on_heartbeat(beat('i-1', 51, 'draining', LATER), 10.8)
    started = 11.0
    first = beat('i-1', 1, born=BORN, cold_s=3)
    assert not life.on_heartbeat(first, started).is_new_life
    second = beat('i-1', 2, born=BORN, cold_s=2)
    assert life.on_heartbeat(second, started + 0.9).is_new_life
    assert life.accepts_work
    # What the life before still had on its way is over now.
    late = beat('i-1', 52, 'draining', LATER)
    assert not life.on_heartbeat(late, started + 1.0).is_leaving
    assert life.present == ServerIncarnation('i-1', BORN)


def test_held_up_heartbeats_that_arrive_together_are_not_believed() -> None:
    """A cut held up many heartbeats of a life that was never heard here. It
    heals, and they arrive at once while the present life is between two.
    """
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 4, born=LATER), 10.0)
    for number in range(20):
        late = beat('i-1', 60 + number, 'draining', BORN)
        now = 10.1 + number * DOUBT_S / 25
        assert not life.on_heartbeat(late, now).is_new_life
    assert life.accepts_work


def test_a_server_that_is_gone_may_come_back_with_its_clock_behind() -> None:
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 50, born=LATER), 10.0)
    life.on_gone()
    life.on_heartbeat(beat('i-1', 1, born=BORN), 11.0)
    assert life.on_heartbeat(beat('i-1', 2, born=BORN), 11.9).is_new_life
    assert life.accepts_work


def test_the_start_is_learned_by_the_first_heartbeat_that_tells_it() -> None:
    """The server was asked who it is, which tells no start. Its heartbeat is
    of the life that was named and begins no other.
    """
    life = IncarnationTracker()
    life.on_identified('i-1', 10.0)
    assert not life.on_heartbeat(beat('i-1', 3, born=BORN), 10.1).is_new_life
    assert life.present.born_ms == BORN
    assert life.slots == 6
    assert life.on_heartbeat(beat('i-1', 1, born=LATER), 11.0).is_new_life


def test_a_heartbeat_without_a_start_is_not_of_a_server_that_tells_it() -> None:
    """Another writer sends heartbeats with the id of the server here."""
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 5, born=BORN), 10.0)
    change = life.on_heartbeat(beat('i-1', 99, 'draining'), 11.0)
    assert not change.is_leaving
    assert life.accepts_work
    life.on_heartbeat(beat('i-1', 6, 'draining', BORN), 11.1)
    assert not life.accepts_work


def test_the_server_itself_may_name_an_id_that_had_ended() -> None:
    """Servers take turns at one address, and the first one's id comes back."""
    life = IncarnationTracker()
    life.on_heartbeat(beat('i-1', 50, born=BORN), 10.0)
    life.on_identified('i-2', 11.0)
    assert life.on_identified('i-1', 12.0).is_new_life
    life.on_heartbeat(beat('i-1', 1, 'draining', LATER), 12.1)
    assert life.present.born_ms == LATER
    assert not life.accepts_work


def test_lives_that_ended_are_forgotten_some_time() -> None:
    life = IncarnationTracker()
    for number in range(MAX_ENDED_LIVES + 5):
        life.on_heartbeat(beat('i-1', 1, born=BORN + number), 10.0 + number)
    assert life.present.born_ms == BORN + MAX_ENDED_LIVES + 4
    late = beat('i-1', 99, 'draining', BORN)
    assert not life.on_heartbeat(late, 90.0).is_leaving


def test_a_late_farewell_without_a_start_keeps_nobody_out_for_good() -> None:
    """A cut held up a farewell, which tells an id alone. Its sender crashed
    and is back under its id when it arrives.

    It cannot be told from one of the present life, so keys are given away.
    The server still says that it is ready, and must be used again.
    """
    life = IncarnationTracker(finish_s=1.4)
    life.on_heartbeat(beat('i-1', 5, born=LATER), 10.0)
    assert life.on_farewell(bye('i-1'), 10.1).is_leaving
    # This one may have been sent before the farewell.
    life.on_heartbeat(beat('i-1', 6, born=LATER), 10.9)
    assert not life.accepts_work
    change = life.on_heartbeat(beat('i-1', 9, born=LATER), 12.2)
    assert change.is_new_life
    assert life.accepts_work
    assert not life.on_heartbeat(beat('i-1', 10, born=LATER), 13.0).is_new_life
    assert life.on_heartbeat(
        beat('i-1', 11, 'draining', LATER), 14.0
    ).is_leaving


def test_a_farewell_with_its_start_is_final() -> None:
    life = IncarnationTracker(finish_s=1.4)
    life.on_heartbeat(beat('i-1', 5, born=BORN), 10.0)
    life.on_farewell(bye('i-1', BORN), 10.1)
    for number in range(6, 12):
        life.on_heartbeat(beat('i-1', number, born=BORN), 10.0 + number)
    assert not life.accepts_work


# Births of three lives of one id, and delays of their heartbeats, in seconds:
# most arrive at once, some are held up past the end of their life.
BIRTHS_S = (0, 3, 6)
LIFE_S = 3
BEAT_S = 0.3
delays = st.lists(
    st.sampled_from((0.0, 0.0, 0.0, 0.1, 1.5, 5.0)), min_size=30, max_size=30
)


@given(delays, st.booleans())
def test_the_last_life_is_the_present_one_however_words_cross(
    held_up, told
) -> None:
    """Three lives follow each other under one id. Their heartbeats are held up
    by chance; the first two say at their end that they drain.

    Whatever is late, the last life is the present one and takes work.
    """
    arrivals = []
    for turn, delay in enumerate(held_up):
        begun = BIRTHS_S[turn // 10]
        number = turn % 10
        is_last = begun == BIRTHS_S[-1]
        state = 'ready' if number < 8 or is_last else 'draining'
        born = BORN + begun * 1000
        heard = beat('i-1', number + 1, state, born)
        arrivals.append((begun + number * BEAT_S + delay, turn, heard))
    # The last life goes on, and is heard in the end.
    ends = BIRTHS_S[-1] + LIFE_S + max(held_up)
    last = BORN + BIRTHS_S[-1] * 1000
    arrivals.append((ends + 1, 98, beat('i-1', 40, born=last)))
    life = IncarnationTracker(finish_s=1.4)
    if told:
        life.on_identified('i-1', 0.0)
    for now, _, heartbeat in sorted(arrivals, key=lambda each: each[:2]):
        life.on_heartbeat(heartbeat, now)
    assert life.present == ServerIncarnation('i-1', last)
    assert life.accepts_work
