"""Lease ends at the holder, at witnesses, and the choice of witnesses."""

from plantaingrade.journal.entity import MapState, MemberRow, MemberState
from plantaingrade.leases.const import LEASE_S
from plantaingrade.leases.coordinator import choose_witnesses
from plantaingrade.leases.entity import (
    Renew,
    RenewAck,
    RenewRefused,
    TestimonyRequest,
)
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
    """A starting process must not serve after the ack of one witness."""
    holder = _holder()
    holder.on_ack(_ack('w1', 5.0))
    assert holder.expires_at() < 0


def test_lease_counts_from_the_second_newest_ack() -> None:
    """One witness of three must not keep a lease alive.

    If the newest ack were enough, the other two could testify to the end while
    the owner still serves.
    """
    holder = _holder()
    holder.on_ack(_ack('w1', 1.0))
    holder.on_ack(_ack('w2', 1.0))
    holder.on_ack(_ack('w3', 9.0))
    assert holder.expires_at() == 1.0 + LEASE_S


def test_late_ack_counts_from_the_sending_of_its_renewal() -> None:
    """An ack that arrives after newer ones must not change the lease."""
    holder = _holder()
    holder.on_ack(_ack('w1', 9.0))
    holder.on_ack(_ack('w2', 9.0))
    holder.on_ack(_ack('w1', 3.0))
    assert holder.expires_at() == 9.0 + LEASE_S


def test_every_epoch_is_required_until_dropped() -> None:
    """New witnesses must not suffice while successors may poll the old."""
    holder = _holder()
    holder.add_epoch(2, ('v1', 'v2', 'v3'))
    for witness in ('v1', 'v2', 'v3'):
        holder.on_ack(_ack(witness, 9.0, epoch=2))
    assert holder.expires_at() < 0
    holder.drop_epochs_before(2)
    assert holder.expires_at() == 9.0 + LEASE_S


def test_two_refusals_end_the_lease_permanently() -> None:
    """An owner without a possible majority must know that it lost its lease."""
    holder = _holder()
    holder.on_refused(RenewRefused('owner', 1, 'w1'))
    assert not holder.is_lost()
    holder.on_refused(RenewRefused('owner', 1, 'w2'))
    assert holder.is_lost()


def test_lease_ends_later_at_the_witness_than_at_the_holder() -> None:
    """A witness must not testify while the holder still has its lease.

    Renewals are delayed on the network; the witness counts from their arrival.
    """
    witness = WitnessTable('w1')
    sent_at, arrived_at = 10.0, 10.05
    witness.on_renew(Renew('owner', 1, 'w1', sent_at, ''), arrived_at)
    request = TestimonyRequest('owner', 1, 'w1', '')
    assert not witness.on_request(request, sent_at + LEASE_S).over
    assert witness.on_request(request, arrived_at + LEASE_S * 1.03).over


def test_witness_refuses_after_its_promise() -> None:
    """A paused owner must not renew after the promise to its successor."""
    witness = WitnessTable('w1')
    renew = Renew('owner', 1, 'w1', 0.0, '')
    witness.on_renew(renew, 0.0)
    assert witness.on_request(TestimonyRequest('owner', 1, 'w1', ''), 5.0).over
    assert isinstance(witness.on_renew(renew, 5.0), RenewRefused)


def test_notice_of_a_lapse_is_no_promise() -> None:
    """An owner whose renewals were lost for a while must be able to go on."""
    witness = WitnessTable('w1')
    renew = Renew('owner', 1, 'w1', 0.0, '')
    witness.on_renew(renew, 0.0)
    assert witness.notices_due(2.0)
    assert isinstance(witness.on_renew(renew, 2.0), RenewAck)


def test_witness_sends_notices_after_its_promise() -> None:
    """A successor may fail after the promise, before it records the end.

    The next successor must then learn of the lapse from the same witness.
    """
    witness = WitnessTable('w1')
    witness.on_renew(Renew('owner', 1, 'w1', 0.0, ''), 0.0)
    assert witness.on_request(TestimonyRequest('owner', 1, 'w1', ''), 5.0).over
    assert witness.notices_due(5.5)


def test_ready_members_are_chosen_as_witnesses_first() -> None:
    """An isolated member is still listed in the journal.

    As a witness it would never respond, and the lease would depend on two.
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
