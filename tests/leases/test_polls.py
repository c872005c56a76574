"""Testimony counts only from the witnesses named for the epoch."""

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
    """One witness is cut off from the owner; the owner goes on.

    The witness's testimony arrives, twice. It takes a majority of three.
    """
    polls = _open()
    assert not polls.on_testimony(_testify('w1#1'), 1.0)
    assert not polls.on_testimony(_testify('w1#1'), 1.0)
    assert polls.on_testimony(_testify('w2#1'), 1.0)


def test_restarted_witness_does_not_count() -> None:
    """A witness restarted and knows no leases, so it says all are over.

    Counting it would end a lease that is still renewed, and two servers
    would act on one key.
    """
    polls = _open()
    assert not polls.on_testimony(_testify('w1#1'), 1.0)
    assert not polls.on_testimony(_testify('w2#2'), 1.0)


def test_testimony_of_an_older_epoch_does_not_count() -> None:
    """Former witnesses see no renewals, because the owner has others now."""
    polls = _open()
    assert not polls.on_testimony(_testify('w1#1', epoch=1), 1.0)
    assert not polls.on_testimony(_testify('w2#1', epoch=1), 1.0)
    assert not polls.on_testimony(_testify('w3#1', epoch=1), 1.0)


def test_denial_proves_nothing() -> None:
    """Witnesses that still renew the lease say so."""
    polls = _open()
    assert not polls.on_testimony(_testify('w1#1', over=False), 1.0)
    assert not polls.on_testimony(_testify('w2#1', over=False), 1.0)


def test_no_agreement_to_new_witnesses_once_proven() -> None:
    """A successor has proven the end and is about to take over.

    The owner comes back with new witnesses and asks to be judged by them.
    Agreeing would leave both acting.
    """
    polls = _open()
    polls.on_testimony(_testify('w1#1'), 1.0)
    polls.on_testimony(_testify('w2#1'), 1.0)
    assert not polls.accept_epoch('owner#1', 3)


def test_agreement_drops_what_old_witnesses_said() -> None:
    """One former witness testified; after the agreement that is void."""
    polls = _open()
    polls.on_testimony(_testify('w1#1'), 1.0)
    assert polls.accept_epoch('owner#1', 3)
    assert not polls.on_testimony(_testify('w2#1'), 1.0)
    assert polls.proven_epoch('owner#1') is None


def test_poll_ends_when_nobody_suspects_any_more() -> None:
    """A short lapse leaves no questions behind."""
    polls = _open()
    assert polls.asks(0.0, 'me')
    assert not polls.asks(10.0, 'me')
    assert not polls.members()


def test_open_poll_ends_with_its_epoch() -> None:
    """The owner has other witnesses now; the former see no renewals.

    A poll that went on would prove the end of a lease that is renewed.
    """
    polls = _open()
    polls.on_testimony(_testify('w1#1'), 1.0)
    polls.outdate('owner#1', 3)
    assert not polls.on_testimony(_testify('w2#1'), 1.0)
    assert polls.proven_epoch('owner#1') is None
