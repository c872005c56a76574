"""Testimony counts only from the witnesses listed for the epoch."""

from plantaingrade.leases.entity import Testimony
from plantaingrade.leases.polls import PollTable

NAMED = ('w1#1', 'w2#1', 'w3#1')


def _open() -> PollTable:
    polls = PollTable()
    polls.open('owner#1', 2, NAMED, 0.0)
    return polls


def _testify(witness: str, epoch: int = 2, *, over: bool = True) -> Testimony:
    return Testimony('owner#1', epoch, witness, over)


def test_one_witness_proves_nothing() -> None:
    """The testimony of a single witness, even twice, must prove nothing.

    It may be the only one without a connection to the owner.
    """
    polls = _open()
    assert not polls.on_testimony(_testify('w1#1'), 1.0)
    assert not polls.on_testimony(_testify('w1#1'), 1.0)
    assert polls.on_testimony(_testify('w2#1'), 1.0)


def test_restarted_witness_does_not_count() -> None:
    """A restarted witness knows no leases, so it reports all as ended.

    Counting it would end a lease that is still renewed, and give one key two
    owners.
    """
    polls = _open()
    assert not polls.on_testimony(_testify('w1#1'), 1.0)
    assert not polls.on_testimony(_testify('w2#2'), 1.0)


def test_testimony_of_an_older_epoch_does_not_count() -> None:
    """Former witnesses get no renewals after the owner has replaced them."""
    polls = _open()
    assert not polls.on_testimony(_testify('w1#1', epoch=1), 1.0)
    assert not polls.on_testimony(_testify('w2#1', epoch=1), 1.0)
    assert not polls.on_testimony(_testify('w3#1', epoch=1), 1.0)


def test_negative_testimony_proves_nothing() -> None:
    """Replies of witnesses that still renew the lease must not count."""
    polls = _open()
    assert not polls.on_testimony(_testify('w1#1', over=False), 1.0)
    assert not polls.on_testimony(_testify('w2#1', over=False), 1.0)


def test_new_epoch_is_refused_once_the_end_is_proven() -> None:
    """The owner returns with new witnesses after its end was proven.

    If the successor accepted them and took over as well, both would be owners.
    """
    polls = _open()
    polls.on_testimony(_testify('w1#1'), 1.0)
    polls.on_testimony(_testify('w2#1'), 1.0)
    assert not polls.accept_epoch('owner#1', 3)


def test_accepting_a_new_epoch_drops_earlier_testimony() -> None:
    """Testimony of former witnesses must not count for the new epoch."""
    polls = _open()
    polls.on_testimony(_testify('w1#1'), 1.0)
    assert polls.accept_epoch('owner#1', 3)
    assert not polls.on_testimony(_testify('w2#1'), 1.0)
    assert polls.proven_epoch('owner#1') is None


def test_poll_expires_without_further_suspicion() -> None:
    """A short lapse must not leave a poll open forever."""
    polls = _open()
    assert polls.requests_due(0.0, 'me')
    assert not polls.requests_due(10.0, 'me')
    assert not polls.members()


def test_outdated_poll_is_dropped() -> None:
    """Former witnesses get no renewals after the owner has replaced them.

    An open poll would then prove the end of a lease that is still renewed.
    """
    polls = _open()
    polls.on_testimony(_testify('w1#1'), 1.0)
    polls.drop_outdated('owner#1', 3)
    assert not polls.on_testimony(_testify('w2#1'), 1.0)
    assert polls.proven_epoch('owner#1') is None
