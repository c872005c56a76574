"""A holder's view of its lease ends before any witness's."""

from plantaingrade.journal.entity import MapState, MemberRow, MemberState
from plantaingrade.leases.const import LEASE_S
from plantaingrade.leases.coordinator import choose_witnesses
from plantaingrade.leases.entity import Ask, Renew, RenewAck, RenewRefused
from plantaingrade.leases.holder import LeaseHolder
from plantaingrade.leases.witness import WitnessTable

WITNESSES = ('w1', 'w2', 'w3')


def _ack(witness: str, sent_at: float, epoch: int = 1) -> RenewAck:
    return RenewAck('owner', epoch, witness, sent_at)


def _holder() -> LeaseHolder:
    holder = LeaseHolder('owner')
    holder.add_epoch(1, WITNESSES)
    return holder


def test_no_lease_before_a_majority_has_acked() -> None:
    """A starting process serves nothing on one witness's word."""
    holder = _holder()
    holder.on_ack(_ack('w1', 5.0))
    assert holder.expires_at() < 0


def test_lease_counts_from_the_second_newest_ack() -> None:
    """Two witnesses lost the owner; the third alone keeps no lease alive.

    Were the newest ack enough, the other two could testify to the end while
    the owner still serves.
    """
    holder = _holder()
    holder.on_ack(_ack('w1', 1.0))
    holder.on_ack(_ack('w2', 1.0))
    holder.on_ack(_ack('w3', 9.0))
    assert holder.expires_at() == 1.0 + LEASE_S


def test_late_answer_extends_nothing_beyond_its_sending() -> None:
    """An ack that arrives after a pause counts from when it was asked for."""
    holder = _holder()
    holder.on_ack(_ack('w1', 9.0))
    holder.on_ack(_ack('w2', 9.0))
    holder.on_ack(_ack('w1', 3.0))
    assert holder.expires_at() == 9.0 + LEASE_S


def test_every_epoch_is_needed_until_dropped() -> None:
    """New witnesses alone are not enough while successors know the old."""
    holder = _holder()
    holder.add_epoch(2, ('v1', 'v2', 'v3'))
    for witness in ('v1', 'v2', 'v3'):
        holder.on_ack(_ack(witness, 9.0, epoch=2))
    assert holder.expires_at() < 0
    holder.drop_before(2)
    assert holder.expires_at() == 9.0 + LEASE_S


def test_two_refusals_lose_the_lease_for_good() -> None:
    """Two witnesses promised the successor; the owner must start anew."""
    holder = _holder()
    holder.on_refused(RenewRefused('owner', 1, 'w1'))
    assert not holder.is_lost()
    holder.on_refused(RenewRefused('owner', 1, 'w2'))
    assert holder.is_lost()


def test_witness_ends_later_than_the_holder() -> None:
    """A renewal takes its time on the way; the witness counts from arrival."""
    witness = WitnessTable('w1')
    sent_at, arrived_at = 10.0, 10.05
    witness.on_renew(Renew('owner', 1, 'w1', sent_at, ''), arrived_at)
    ask = Ask('owner', 1, 'w1', '')
    assert not witness.on_ask(ask, sent_at + LEASE_S).over
    assert witness.on_ask(ask, arrived_at + LEASE_S * 1.03).over


def test_witness_refuses_after_its_promise() -> None:
    """A paused owner wakes up and renews after the successor was told."""
    witness = WitnessTable('w1')
    renew = Renew('owner', 1, 'w1', 0.0, '')
    witness.on_renew(renew, 0.0)
    assert witness.on_ask(Ask('owner', 1, 'w1', ''), 5.0).over
    assert isinstance(witness.on_renew(renew, 5.0), RenewRefused)


def test_notice_of_a_lapse_is_no_promise() -> None:
    """The network lost some renewals; the owner goes on when they return."""
    witness = WitnessTable('w1')
    renew = Renew('owner', 1, 'w1', 0.0, '')
    witness.on_renew(renew, 0.0)
    assert witness.lapsed(2.0)
    assert isinstance(witness.on_renew(renew, 2.0), RenewAck)


def test_witness_tells_on_after_its_promise() -> None:
    """The successor that asked is lost before it wrote the end down.

    The next successor hears of the lapse from the same witness.
    """
    witness = WitnessTable('w1')
    witness.on_renew(Renew('owner', 1, 'w1', 0.0, ''), 0.0)
    assert witness.on_ask(Ask('owner', 1, 'w1', ''), 5.0).over
    assert witness.lapsed(5.5)


def test_ready_members_are_chosen_as_witnesses_first() -> None:
    """A member that is cut off still stands in the journal.

    As a witness it would never answer, and the lease would hang on two.
    """
    state = MapState()
    for number in range(6):
        ready = number % 2 == 0
        state.members[f's{number}'] = MemberRow(
            f's{number}',
            f's{number}',
            'casebook',
            'zone',
            '',
            '',
            '',
            6,
            checks_fence=True,
            state=MemberState.READY if ready else MemberState.STARTING,
        )
    row = state.members['s5']
    for _ in range(20):
        assert set(choose_witnesses(state, row)) == {'s0', 's2', 's4'}
