"""The lives of a server, from heartbeats that may be late or forged."""

from plantaingrade.backends.life import BackendLife, LifeState
from plantaingrade.backends.report import Farewell, Heartbeat, ReportedState


def beat(instance: str, number: int, state: str = 'ready') -> Heartbeat:
    return Heartbeat(instance, 's', 'a', 6, ReportedState(state), 0, number)


def test_the_first_heartbeat_begins_a_life() -> None:
    life = BackendLife()
    change = life.on_heartbeat(beat('i-1', 1), 10.0)
    assert change.is_new_life
    assert life.takes_work
    assert life.slots == 6


def test_a_heartbeat_of_a_crashed_life_changes_nothing() -> None:
    """A heartbeat was held up by a cut. Meanwhile its server crashed, and
    another life registered at the same address.
    """
    life = BackendLife()
    life.on_heartbeat(beat('i-1', 1), 10.0)
    life.on_named('i-2', 11.0)
    change = life.on_heartbeat(beat('i-1', 2, 'draining'), 12.0)
    assert not change.is_leaving
    assert not change.must_verify
    assert life.instance == 'i-2'
    assert life.takes_work


def test_a_second_life_is_believed_when_the_server_names_it() -> None:
    life = BackendLife()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    assert life.on_heartbeat(beat('i-2', 1), 11.0).must_verify == 'i-2'
    assert life.instance == 'i-1'
    assert life.on_named('i-2', 11.1).is_new_life
    assert life.instance == 'i-2'


def test_an_older_heartbeat_of_the_same_life_changes_nothing() -> None:
    life = BackendLife()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    life.on_heartbeat(beat('i-1', 7, 'draining'), 11.0)
    life.on_heartbeat(beat('i-1', 6), 12.0)
    assert life.state is LifeState.DRAINING


def test_a_life_that_leaves_never_takes_work_again() -> None:
    life = BackendLife(finish_s=1.0)
    life.on_heartbeat(beat('i-1', 5), 10.0)
    assert life.on_heartbeat(beat('i-1', 6, 'draining'), 11.0).is_leaving
    assert not life.takes_work
    assert life.is_finishing(11.5)
    assert not life.is_finishing(12.5)
    life.on_heartbeat(beat('i-1', 7), 12.0)
    assert not life.takes_work


def test_a_farewell_counts_for_the_life_it_names() -> None:
    life = BackendLife()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    assert not life.on_farewell(Farewell('i-0'), 11.0).is_leaving
    assert life.takes_work
    assert life.on_farewell(Farewell('i-1'), 11.0).is_leaving
    assert not life.on_farewell(Farewell('i-1'), 11.0).is_leaving
    assert not life.takes_work


def test_a_server_that_is_gone_begins_anew() -> None:
    life = BackendLife()
    life.on_heartbeat(beat('i-1', 5), 10.0)
    life.on_gone()
    assert not life.takes_work
    assert life.on_heartbeat(beat('i-2', 1), 12.0).is_new_life
