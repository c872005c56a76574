"""Slices pass to a successor when the owner fails, without two owners."""

import pytest

from plantaingrade.journal.entity import (
    Ended,
    HotKeySplit,
    MemberState,
    MoveStarted,
    OwnerRequested,
    Proof,
    StateSet,
    SuccessorNamed,
    SuccessorWithdrawn,
    WitnessesReplaced,
)
from plantaingrade.journal.keys import hot_slice_id, slice_index
from plantaingrade.leases.const import LEASE_S
from plantaingrade.leases.entity import Lapsed, TestimonyRequest
from plantaingrade.ownership.entity import LeaseLapsed, Owned
from tests.cluster import SERVICE, FakeCluster, FakeMember

SLICE = 'casebook/0'
TAKEOVER_LIMIT_S = 2.0


@pytest.fixture
def cluster() -> FakeCluster:
    """Return six settled members."""
    return FakeCluster.from_size(6)


def _owner(cluster: FakeCluster) -> FakeMember:
    owner = cluster.owner_of(SLICE)
    assert owner is not None
    return owner


def _is_taken_over_from(cluster: FakeCluster, member: FakeMember) -> bool:
    owner = cluster.owner_of(SLICE)
    return owner is not None and owner is not member


def test_settled_cluster_serves_every_slice(cluster: FakeCluster) -> None:
    """Each slice must have an owner, and a successor in another zone."""
    state = cluster.members[0].state
    for slice_id, part in state.slices.items():
        assert cluster.owner_of(slice_id) is not None
        owner, successor = part.owner, part.successor
        assert state.members[owner].zone != state.members[successor].zone


def test_killed_owner_is_replaced_within_two_seconds(
    cluster: FakeCluster,
) -> None:
    """Slices of a failed owner must be served again within two seconds.

    Its lease expires at the witnesses, and the successor named in the journal
    takes over with their testimony.
    """
    owner = _owner(cluster)
    owner.dead = True
    took = cluster.run_until(
        lambda: _is_taken_over_from(cluster, owner), TAKEOVER_LIMIT_S
    )
    assert took >= LEASE_S / 2


def test_killed_owner_is_replaced_while_table_is_down(
    cluster: FakeCluster,
) -> None:
    """A takeover must not depend on the table service.

    Owner and successor are recorded before a long outage. The takeover is
    written to the journal after it.
    """
    owner = _owner(cluster)
    cluster.table_up = False
    cluster.run(60)
    assert _owner(cluster) is owner
    owner.dead = True
    cluster.run_until(
        lambda: _is_taken_over_from(cluster, owner), TAKEOVER_LIMIT_S
    )
    new_owner = _owner(cluster)
    cluster.run(30)
    assert _owner(cluster) is new_owner
    cluster.table_up = True
    cluster.run(3)
    assert new_owner.state.slices[SLICE].owner == new_owner.name
    assert owner.name not in new_owner.state.members


def test_crash_of_owner_and_successor_in_outage_is_recovered_after_it(
    cluster: FakeCluster,
) -> None:
    """Owner and successor both fail while the table service is down.

    No other member may take over, as the journal cannot name a new successor.
    The slice must be served again soon after the outage.
    """
    owner = _owner(cluster)
    successor = cluster.find_member(owner.state.slices[SLICE].successor)
    cluster.table_up = False
    owner.dead = True
    successor.dead = True
    cluster.run(20)
    assert cluster.owner_of(SLICE) is None
    cluster.table_up = True
    cluster.run_until(lambda: cluster.owner_of(SLICE) is not None, 6)


def test_paused_owner_detects_that_its_lease_has_ended(
    cluster: FakeCluster,
) -> None:
    """An owner paused for longer than its lease must not serve afterwards.

    The successor has taken over when the old owner resumes with a request.
    """
    owner = _owner(cluster)
    owner.paused = True
    cluster.run_until(
        lambda: _is_taken_over_from(cluster, owner), TAKEOVER_LIMIT_S
    )
    part = owner.state.slices[SLICE]
    assert isinstance(owner.ownership.ownership_of(part), LeaseLapsed)
    owner.resume()
    cluster.run(2)
    assert not isinstance(owner.ownership.ownership_of(part), Owned)


def test_owner_paused_for_less_than_its_lease_goes_on(
    cluster: FakeCluster,
) -> None:
    """A short pause must not cause a takeover."""
    owner = _owner(cluster)
    owner.paused = True
    cluster.run(LEASE_S / 2)
    owner.resume()
    cluster.run(3)
    assert _owner(cluster) is owner


def test_owner_cut_off_from_peers_stops_before_successor_starts(
    cluster: FakeCluster,
) -> None:
    """Both sides of a partition must not serve the same key.

    The owner still reaches callers and the table service but none of its
    witnesses. Its lease ends on its own clock before any witness testifies.
    """
    owner = _owner(cluster)
    cluster.isolate(owner)
    cluster.run_until(
        lambda: _is_taken_over_from(cluster, owner), TAKEOVER_LIMIT_S
    )


def test_healed_partition_leaves_one_owner(cluster: FakeCluster) -> None:
    """The old owner must not own slices again when a partition heals."""
    owner = _owner(cluster)
    cluster.isolate(owner)
    cluster.run_until(
        lambda: _is_taken_over_from(cluster, owner), TAKEOVER_LIMIT_S
    )
    cluster.cut.clear()
    cluster.run(5)
    assert _owner(cluster) is not owner
    assert owner.is_lost()


@pytest.mark.parametrize('lost', [1, 2])
def test_lost_witnesses_are_replaced(cluster: FakeCluster, lost: int) -> None:
    """The loss of one or two of three witnesses must not end ownership.

    With two lost the owner's lease lapses. The owner names new witnesses in
    the journal and goes on once its successors have accepted them.
    """
    owner = _owner(cluster)
    old = owner.row.witnesses
    successors = {part.successor for part in owner.state.slices.values()}
    candidates = [name for name in old if name not in successors]
    for name in candidates[:lost]:
        cluster.find_member(name).dead = True
    cluster.run(6)
    for slice_id in owner.state.slices:
        assert cluster.owner_of(slice_id) is not None
    alive = {each.name for each in cluster.members if not each.dead}
    assert set(owner.row.witnesses) <= alive


def test_restarted_witness_does_not_count() -> None:
    """A restarted witness does not know which leases it renewed.

    If its testimony counted, that of one more witness without renewals would
    end a lease that is still renewed.
    """
    cluster = FakeCluster.from_size(5)
    owner = _owner(cluster)
    witness = cluster.find_member(owner.row.witnesses[0])
    witness.dead = True
    cluster.table_up = False
    restarted = FakeMember(witness.row, cluster)
    restarted.leases.witness.member = 'reborn'
    cluster.members[cluster.members.index(witness)] = restarted
    cluster.run(5)
    assert _owner(cluster) is owner


def test_takeover_waits_for_server_without_fence_checks() -> None:
    """A server that checks no fences may run requests of the old owner late.

    The owner may have been paused right after it sent them. Their deadline is
    the end of the lease plus the declared grace, so the successor must wait
    until the grace has passed.
    """
    cluster = FakeCluster.from_size(6, checks_fence=False)
    owner = _owner(cluster)
    until = owner.leases.expires_at()
    owner.dead = True
    cluster.run_until(
        lambda: _is_taken_over_from(cluster, owner), TAKEOVER_LIMIT_S
    )
    assert cluster.time >= until + 0.4


def test_planned_move_leaves_no_gap_and_one_owner(
    cluster: FakeCluster,
) -> None:
    """A move that an operator requests must not leave the slice unserved."""
    owner = _owner(cluster)
    part = owner.state.slices[SLICE]
    target = next(
        member
        for member in cluster.members
        if member.name not in {part.owner, part.successor}
    )
    owner.append(OwnerRequested(SLICE, target.name, 'c1'))
    cluster.run_until(lambda: cluster.owner_of(SLICE) is target, 2)


@pytest.mark.parametrize('victim', ['owner', 'successor', 'target'])
@pytest.mark.parametrize('after_s', [0.02, 0.06, 0.1, 0.14, 0.2])
def test_move_interrupted_by_crash_ends_with_one_owner(
    cluster: FakeCluster,
    victim: str,
    after_s: float,
) -> None:
    """One of the three members of a move may fail at any step of it.

    The slice must have exactly one owner in the end.
    """
    owner = _owner(cluster)
    part = owner.state.slices[SLICE]
    successor = cluster.find_member(part.successor)
    target = next(
        member
        for member in cluster.members
        if member.name not in {part.owner, part.successor}
    )
    owner.append(OwnerRequested(SLICE, target.name, 'c1'))
    cluster.run(after_s)
    victims = {'owner': owner, 'successor': successor, 'target': target}
    victims[victim].dead = True
    cluster.run(6)
    assert _owner(cluster).running


def test_leaving_without_table_hands_over_at_once(
    cluster: FakeCluster,
) -> None:
    """A planned stop during an outage of the table service must be fast.

    The leaving owner releases its slices directly to the successors that the
    journal named before.
    """
    owner = _owner(cluster)
    cluster.table_up = False
    owner.ownership.handover.leave()
    took = cluster.run_until(lambda: _is_taken_over_from(cluster, owner), 1)
    assert took < LEASE_S
    assert not owner.owned()


def test_release_waits_for_requests_that_may_still_run(
    cluster: FakeCluster,
) -> None:
    """A request must not be executed twice because its key moves meanwhile.

    Its response was lost, so the server may run it until its deadline. The
    owner must keep the slice until then.
    """
    owner = _owner(cluster)
    in_flight = owner.ownership.in_flight
    in_flight.begin(SLICE)
    deadline = owner.clock.now() + 1
    in_flight.end(SLICE, may_run_until=deadline)
    owner.append(MoveStarted(SLICE, 'c1'))
    cluster.run_until(lambda: _is_taken_over_from(cluster, owner), 3)
    assert owner.clock.now() >= deadline


def test_draining_server_is_emptied(cluster: FakeCluster) -> None:
    """A drained server must lose all its slices and get no new ones."""
    owner = _owner(cluster)
    owner.append(StateSet(owner.name, MemberState.DRAINING))
    cluster.run_until(lambda: not owner.owned(), 3)
    cluster.run(2)
    assert not owner.owned()


def test_lost_datagrams_do_not_change_ownership() -> None:
    """A loss of one datagram in ten must not cause any takeover."""
    cluster = FakeCluster.from_size(6)
    slices = cluster.members[0].state.slices
    before = {slice_id: cluster.owner_of(slice_id) for slice_id in slices}
    cluster.loss = 0.1
    cluster.run(30)
    cluster.loss = 0
    cluster.run(0.5)
    after = {slice_id: cluster.owner_of(slice_id) for slice_id in slices}
    assert before == after


def test_rejected_hot_key_leaves_the_range_unchanged(
    cluster: FakeCluster,
) -> None:
    """A key may not be split off as hot while its range is moved.

    The owner's process must continue after the rejected change in the journal.
    """
    owner = _owner(cluster)
    owner.append(MoveStarted(SLICE, 'c1'))
    key = next(
        str(number)
        for number in range(100)
        if slice_index(str(number), len(owner.state.slices)) == 0
    )
    owner.append(HotKeySplit(SERVICE, key))
    cluster.run(2)
    assert hot_slice_id(SERVICE, key) not in owner.state.slices


def _prove(member: FakeMember, owner: str, epoch: int) -> None:
    member.ownership.on_proven(owner, epoch)
    for _ in range(30):
        member.clock.true_now += 0.02
        member.ownership.tick()


def test_proof_of_replaced_witnesses_is_invalid_for_a_new_successor(
    cluster: FakeCluster,
) -> None:
    """Testimony of replaced witnesses must not lead to two owners.

    A member collects testimony while the owner replaces its witnesses, which
    needs the consent of its successors only. Then the member is named
    successor; the earlier testimony must not count for it.
    """
    owner = _owner(cluster)
    epoch = owner.row.epoch
    owner.append(WitnessesReplaced(owner.name, owner.row.witnesses, epoch + 1))
    part = owner.state.slices[SLICE]
    successor = cluster.find_member(part.successor)
    renounced = SuccessorWithdrawn(SLICE, successor.name, part.successor_fence)
    successor.append(renounced)
    successor.append(SuccessorNamed(SLICE, successor.name))
    _prove(successor, owner.name, epoch)
    assert SLICE not in successor.ownership.table.acquired


def test_proof_before_the_change_is_valid_for_the_same_successor(
    cluster: FakeCluster,
) -> None:
    """The owner fails just after it has recorded new witnesses.

    Its successor has proven the end by the old ones and has not accepted the
    new ones. The owner could not have gone on without that, so the successor
    may take over.
    """
    owner = _owner(cluster)
    epoch = owner.row.epoch
    successor = cluster.find_member(owner.state.slices[SLICE].successor)
    owner.append(WitnessesReplaced(owner.name, owner.row.witnesses, epoch + 1))
    successor.catch_up()
    _prove(successor, owner.name, epoch)
    assert SLICE in successor.ownership.table.acquired


def test_takeover_names_the_next_successor_itself(
    cluster: FakeCluster,
) -> None:
    """An owner fails, then the table service, then the new owner.

    No decider had time to name a successor for the new owner. Unless it does
    so itself, slices stay unserved as long as the outage lasts.
    """
    owner = _owner(cluster)
    owner.dead = True
    cluster.run_until(
        lambda: _is_taken_over_from(cluster, owner), TAKEOVER_LIMIT_S
    )
    new_owner = _owner(cluster)
    new_owner.append(*new_owner.ownership.pending_changes())
    for member in cluster.members:
        member.catch_up()
    cluster.table_up = False
    new_owner.dead = True
    cluster.run_until(
        lambda: _is_taken_over_from(cluster, new_owner), TAKEOVER_LIMIT_S
    )


def test_member_without_lease_still_records_a_proof(
    cluster: FakeCluster,
) -> None:
    """Two failures at once must not block each other's recovery.

    A member that lost the majority of its own witnesses has proven the end of
    a peer. It may not take over, but must record the proof: without it slices
    were unserved for 13 s.
    """
    owner = _owner(cluster)
    successor = cluster.find_member(owner.state.slices[SLICE].successor)
    owner.dead = True
    cluster.isolate(successor)
    successor.clock.true_now += LEASE_S
    assert not successor.leases.is_held()
    successor.ownership.on_proven(owner.name, owner.row.epoch)
    assert successor.ownership.pending_changes()
    assert SLICE not in successor.ownership.table.acquired


def test_owner_names_a_new_successor_without_decider(
    cluster: FakeCluster,
) -> None:
    """The successor fails while there is no decider, then the owner.

    Unless the owner has named a new successor itself, its slices stay unserved
    as long as an outage lasts.
    """
    owner = _owner(cluster)
    successor = cluster.find_member(owner.state.slices[SLICE].successor)
    cluster.decide = lambda: None
    successor.dead = True
    cluster.run(2)
    assert owner.state.slices[SLICE].successor not in {None, successor.name}
    cluster.table_up = False
    owner.dead = True
    cluster.run_until(
        lambda: _is_taken_over_from(cluster, owner), TAKEOVER_LIMIT_S
    )


def test_old_witnesses_are_required_until_the_successor_accepts(
    cluster: FakeCluster,
) -> None:
    """An owner replaces a failed witness while it cannot reach its successor.

    The successor may still poll the old witnesses. If the owner dropped them,
    the successor could prove the end of a lease that the new ones renew.
    """
    owner = _owner(cluster)
    successors = {
        part.successor
        for part in owner.state.slices.values()
        if part.owner == owner.name
    }
    witness = next(
        name
        for name in owner.row.witnesses
        if name not in {*successors, owner.name}
    )
    epoch = owner.row.epoch
    for name in successors:
        servers = (owner.row.server, cluster.find_member(name).row.server)
        cluster.cut.add(frozenset(servers))
    cluster.find_member(witness).dead = True
    cluster.run_until(lambda: owner.row.epoch > epoch, 5)
    cluster.run(0.1)
    assert owner.leases.holder.epochs[0] == epoch
    cluster.cut.clear()
    cluster.run_until(lambda: len(owner.leases.holder.epochs) == 1, 5)
    assert _owner(cluster) is owner


def test_old_proof_does_not_shorten_the_grace() -> None:
    """A server that checks no fences may still run requests at a takeover.

    A member proved the owner's end by witnesses that the owner then replaced.
    When the owner ends later, its last requests must get the full grace,
    although the takeover planned by the old proof is overdue.
    """
    cluster = FakeCluster.from_size(6, checks_fence=False)
    owner = _owner(cluster)
    epoch = owner.row.epoch
    owner.append(WitnessesReplaced(owner.name, owner.row.witnesses, epoch + 1))
    part = owner.state.slices[SLICE]
    new_owner = cluster.find_member(part.successor)
    new_owner.append(
        SuccessorWithdrawn(SLICE, new_owner.name, part.successor_fence)
    )
    new_owner.append(SuccessorNamed(SLICE, new_owner.name))
    _prove(new_owner, owner.name, epoch)
    assert SLICE not in new_owner.ownership.table.acquired
    new_owner.append(Ended(owner.name, Proof.TESTIMONY, epoch + 1))
    new_owner.ownership.tick()
    assert SLICE not in new_owner.ownership.table.acquired


def test_leaving_successor_accepts_nothing(cluster: FakeCluster) -> None:
    """Owner and successor are stopped at the same time.

    They must not pass slices back and forth; the owner waits for a successor
    that is not leaving.
    """
    owner = _owner(cluster)
    successor = cluster.find_member(owner.state.slices[SLICE].successor)
    cluster.table_up = False
    successor.ownership.handover.leave()
    owner.ownership.handover.leave()
    cluster.run(2)
    assert _owner(cluster) is owner


def test_former_witnesses_stop_sending_notices(cluster: FakeCluster) -> None:
    """A replaced witness that still runs must stop sending notices.

    It reports the lapse of the lease for a while. After that, idle members
    must send nothing but renewals.
    """
    owner = _owner(cluster)
    former = cluster.find_member(owner.row.witnesses[0])
    epoch = owner.row.epoch
    pair = frozenset((owner.row.server, former.row.server))
    cluster.cut.add(pair)
    cluster.run_until(lambda: owner.row.epoch > epoch, 6)
    cluster.cut.clear()
    cluster.run(8)
    sent = set()
    for _ in range(50):
        cluster.advance(0.02)
        for member in cluster.members:
            member.leases.tick()
        sent |= {type(letter.message) for letter in cluster.network}
        cluster.deliver()
    assert Lapsed not in sent
    assert TestimonyRequest not in sent
