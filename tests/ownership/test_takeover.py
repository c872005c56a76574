"""Ownership moves on when its holder is lost, and never stands twice."""

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
from plantaingrade.leases.entity import Ask, Lapsed
from plantaingrade.ownership.entity import LeaseLapsed, Owned
from tests.cluster import SERVICE, FakeCluster, FakeMember

SLICE = 'casebook/0'
SERVED_AGAIN_S = 2.0


@pytest.fixture
def cluster() -> FakeCluster:
    """Return six settled members."""
    return FakeCluster.from_size(6)


def _owner(cluster: FakeCluster) -> FakeMember:
    owner = cluster.owner_of(SLICE)
    assert owner is not None
    return owner


def _moved_from(cluster: FakeCluster, member: FakeMember) -> bool:
    owner = cluster.owner_of(SLICE)
    return owner is not None and owner is not member


def test_settled_cluster_serves_every_slice(cluster: FakeCluster) -> None:
    """Every slice has one owner, and a successor in another zone."""
    state = cluster.members[0].state
    for slice_id, part in state.slices.items():
        assert cluster.owner_of(slice_id) is not None
        owner, successor = part.owner, part.successor
        assert state.members[owner].zone != state.members[successor].zone


def test_killed_owner_is_succeeded_within_two_seconds(
    cluster: FakeCluster,
) -> None:
    """A resident waits at the desk: the owner's instance is lost.

    The owner dies; its lease runs out at the witnesses; the successor named
    in the journal collects their testimony and serves.
    """
    owner = _owner(cluster)
    owner.dead = True
    took = cluster.until(lambda: _moved_from(cluster, owner), SERVED_AGAIN_S)
    assert took >= LEASE_S / 2


def test_killed_owner_is_succeeded_while_table_is_down(
    cluster: FakeCluster,
) -> None:
    """The table service is down for long, and an owner dies meanwhile.

    Nothing can be written, but owner and successor were agreed on before.
    Everything else goes on, and the journal catches up afterwards.
    """
    owner = _owner(cluster)
    cluster.table_up = False
    cluster.run(60)
    assert _owner(cluster) is owner
    owner.dead = True
    cluster.until(lambda: _moved_from(cluster, owner), SERVED_AGAIN_S)
    heir = _owner(cluster)
    cluster.run(30)
    assert _owner(cluster) is heir
    cluster.table_up = True
    cluster.run(3)
    assert heir.state.slices[SLICE].owner == heir.name
    assert owner.name not in heir.state.members


def test_crash_of_owner_and_successor_in_outage_is_mended_after_it(
    cluster: FakeCluster,
) -> None:
    """Owner and successor both die while the table service is down.

    Nobody else may take the slice then: the journal cannot name another. It
    is served again soon after the table is back.
    """
    owner = _owner(cluster)
    successor = cluster.named(owner.state.slices[SLICE].successor)
    cluster.table_up = False
    owner.dead = True
    successor.dead = True
    cluster.run(20)
    assert cluster.owner_of(SLICE) is None
    cluster.table_up = True
    cluster.until(lambda: cluster.owner_of(SLICE) is not None, 6)


def test_paused_owner_knows_that_its_lease_is_past(
    cluster: FakeCluster,
) -> None:
    """Two servers would act on one case: the owner pauses, then goes on.

    The process stops for longer than its lease, the successor takes over,
    and the old owner wakes up with a request in hand.
    """
    owner = _owner(cluster)
    owner.paused = True
    cluster.until(lambda: _moved_from(cluster, owner), SERVED_AGAIN_S)
    part = owner.state.slices[SLICE]
    assert isinstance(owner.ownership.judge(part), LeaseLapsed)
    owner.resume()
    cluster.run(2)
    assert not isinstance(owner.ownership.judge(part), Owned)


def test_owner_paused_for_less_than_its_lease_goes_on(
    cluster: FakeCluster,
) -> None:
    """A short pause costs nothing: nobody takes over."""
    owner = _owner(cluster)
    owner.paused = True
    cluster.run(LEASE_S / 2)
    owner.resume()
    cluster.run(3)
    assert _owner(cluster) is owner


def test_owner_cut_off_from_peers_stops_before_successor_starts(
    cluster: FakeCluster,
) -> None:
    """Both sides of a partition would serve the key.

    The owner still reaches callers and the table service but none of its
    witnesses. Its lease ends on its own clock before any witness testifies.
    """
    owner = _owner(cluster)
    cluster.isolate(owner)
    cluster.until(lambda: _moved_from(cluster, owner), SERVED_AGAIN_S)


def test_partition_that_heals_leaves_one_owner(cluster: FakeCluster) -> None:
    """A partition heals after the takeover; the old owner gets nothing back."""
    owner = _owner(cluster)
    cluster.isolate(owner)
    cluster.until(lambda: _moved_from(cluster, owner), SERVED_AGAIN_S)
    cluster.cut.clear()
    cluster.run(5)
    assert _owner(cluster) is not owner
    assert owner.is_lost()


@pytest.mark.parametrize('lost', [1, 2])
def test_lost_witnesses_are_replaced(cluster: FakeCluster, lost: int) -> None:
    """Witnesses die, one or two of three at once; ownership goes on.

    With two gone the owner's lease lapses. It names new witnesses in the
    journal and goes on as soon as its successors know of them.
    """
    owner = _owner(cluster)
    old = owner.row.witnesses
    successors = {part.successor for part in owner.state.slices.values()}
    mortal = [name for name in old if name not in successors]
    for name in mortal[:lost]:
        cluster.named(name).dead = True
    cluster.run(6)
    for slice_id in owner.state.slices:
        assert cluster.owner_of(slice_id) is not None
    alive = {each.name for each in cluster.members if not each.dead}
    assert set(owner.row.witnesses) <= alive


def test_restarted_witness_counts_for_nothing() -> None:
    """A witness restarts and has forgotten whose lease it renewed.

    If its testimony counted, one other lapsed witness would be enough to end
    a lease that is still renewed.
    """
    cluster = FakeCluster.from_size(5)
    owner = _owner(cluster)
    witness = cluster.named(owner.row.witnesses[0])
    witness.dead = True
    cluster.table_up = False
    reborn = FakeMember(witness.row, cluster)
    reborn.leases.witness.member = 'reborn'
    cluster.members[cluster.members.index(witness)] = reborn
    cluster.run(5)
    assert _owner(cluster) is owner


def test_unchecking_server_is_given_time_to_stop() -> None:
    """A server that checks nothing finishes work of the old owner late.

    Its process paused after sending work whose deadline is the lease's end
    plus the declared grace. The successor waits that grace out.
    """
    cluster = FakeCluster.from_size(6, checks_fence=False)
    owner = _owner(cluster)
    until = owner.leases.until()
    owner.dead = True
    cluster.until(lambda: _moved_from(cluster, owner), SERVED_AGAIN_S)
    assert cluster.time >= until + 0.4


def test_planned_move_leaves_no_gap_and_one_owner(
    cluster: FakeCluster,
) -> None:
    """An operator moves a slice; owner, successor and target all cooperate."""
    owner = _owner(cluster)
    part = owner.state.slices[SLICE]
    target = next(
        member
        for member in cluster.members
        if member.name not in {part.owner, part.successor}
    )
    owner.append(OwnerRequested(SLICE, target.name, 'c1'))
    cluster.until(lambda: cluster.owner_of(SLICE) is target, 2)


@pytest.mark.parametrize('victim', ['owner', 'successor', 'target'])
@pytest.mark.parametrize('after_s', [0.02, 0.06, 0.1, 0.14, 0.2])
def test_move_interrupted_by_crash_ends_with_one_owner(
    cluster: FakeCluster,
    victim: str,
    after_s: float,
) -> None:
    """A move is under way when one of its three parties dies.

    Whatever step was reached, the slice has one owner again in the end.
    """
    owner = _owner(cluster)
    part = owner.state.slices[SLICE]
    successor = cluster.named(part.successor)
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
    """A planned stop in an outage harms nobody.

    The table service is down; the leaving owner releases straight to the
    successors that the journal named before.
    """
    owner = _owner(cluster)
    cluster.table_up = False
    owner.ownership.handover.leave()
    took = cluster.until(lambda: _moved_from(cluster, owner), 1)
    assert took < LEASE_S
    assert not owner.owned()


def test_release_waits_for_work_that_may_still_run(
    cluster: FakeCluster,
) -> None:
    """A doubled deposit hold: lost work runs on while the key moves.

    A request's answer was lost; its server may work until the deadline. The
    owner keeps the slice until then.
    """
    owner = _owner(cluster)
    work = owner.ownership.work
    work.begin(SLICE)
    deadline = owner.clock.now() + 1
    work.end(SLICE, may_run_until=deadline)
    owner.append(MoveStarted(SLICE, 'c1'))
    cluster.until(lambda: _moved_from(cluster, owner), 3)
    assert owner.clock.now() >= deadline


def test_draining_server_is_emptied(cluster: FakeCluster) -> None:
    """A server is drained by command: its slices go, no new ones come."""
    owner = _owner(cluster)
    owner.append(StateSet(owner.name, MemberState.DRAINING))
    cluster.until(lambda: not owner.owned(), 3)
    cluster.run(2)
    assert not owner.owned()


def test_lost_datagrams_do_not_cost_ownership() -> None:
    """One datagram in ten is lost; no ownership changes for that."""
    cluster = FakeCluster.from_size(6)
    slices = cluster.members[0].state.slices
    before = {slice_id: cluster.owner_of(slice_id) for slice_id in slices}
    cluster.loss = 0.1
    cluster.run(30)
    cluster.loss = 0
    cluster.run(0.5)
    after = {slice_id: cluster.owner_of(slice_id) for slice_id in slices}
    assert before == after


def test_rejected_hot_key_leaves_the_range_as_it_is(
    cluster: FakeCluster,
) -> None:
    """A key turns hot while its range is being moved, which is refused.

    The owner follows the journal past the refused change. (Found by the
    state machine: the process stopped there.)
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


def test_proof_under_replaced_witnesses_is_void_for_a_new_successor(
    cluster: FakeCluster,
) -> None:
    """Two owners, found by the state machine in a few hundred examples.

    A member collects testimony about an owner; meanwhile the owner replaces
    its witnesses, waiting only for those who are its successors. Then the
    member is named successor: what the former witnesses said is void.
    """
    owner = _owner(cluster)
    epoch = owner.row.epoch
    owner.append(WitnessesReplaced(owner.name, owner.row.witnesses, epoch + 1))
    part = owner.state.slices[SLICE]
    successor = cluster.named(part.successor)
    renounced = SuccessorWithdrawn(SLICE, successor.name, part.successor_fence)
    successor.append(renounced)
    successor.append(SuccessorNamed(SLICE, successor.name))
    _prove(successor, owner.name, epoch)
    assert SLICE not in successor.ownership.table.taken


def test_proof_before_the_change_holds_for_who_was_successor(
    cluster: FakeCluster,
) -> None:
    """The owner dies just after it wrote down new witnesses.

    Its successor has proven the end under the old ones, and has not agreed
    to the new ones; the owner could not have gone on without that.
    """
    owner = _owner(cluster)
    epoch = owner.row.epoch
    successor = cluster.named(owner.state.slices[SLICE].successor)
    owner.append(WitnessesReplaced(owner.name, owner.row.witnesses, epoch + 1))
    successor.catch_up()
    _prove(successor, owner.name, epoch)
    assert SLICE in successor.ownership.table.taken


def test_takeover_names_the_next_successor_itself(
    cluster: FakeCluster,
) -> None:
    """An owner dies, then the table service goes down, then the heir dies.

    No decider had time to name a successor for the heir. (Found in the demo:
    three slices stayed unserved for the length of the outage.)
    """
    owner = _owner(cluster)
    owner.dead = True
    cluster.until(lambda: _moved_from(cluster, owner), SERVED_AGAIN_S)
    heir = _owner(cluster)
    heir.append(*heir.ownership.pending_changes())
    for member in cluster.members:
        member.catch_up()
    cluster.table_up = False
    heir.dead = True
    cluster.until(lambda: _moved_from(cluster, heir), SERVED_AGAIN_S)


def test_member_without_lease_still_writes_a_proof_down(
    cluster: FakeCluster,
) -> None:
    """Two losses at once block each other: each waits for the other's end.

    A member that lost the majority of its own witnesses has proven the end
    of another. It may take nothing, but the proof must reach the journal.
    (Found by the replay: slices unserved for 13 s.)
    """
    owner = _owner(cluster)
    successor = cluster.named(owner.state.slices[SLICE].successor)
    owner.dead = True
    cluster.isolate(successor)
    successor.clock.true_now += LEASE_S
    assert not successor.leases.is_held()
    successor.ownership.on_proven(owner.name, owner.row.epoch)
    assert successor.ownership.pending_changes()
    assert SLICE not in successor.ownership.table.taken


def test_owner_names_a_new_successor_without_decider(
    cluster: FakeCluster,
) -> None:
    """The successor is lost while nobody decides, then the owner.

    (Found in the demo: six slices unserved for the length of an outage.)
    """
    owner = _owner(cluster)
    successor = cluster.named(owner.state.slices[SLICE].successor)
    cluster.decide = lambda: None
    successor.dead = True
    cluster.run(2)
    assert owner.state.slices[SLICE].successor not in {None, successor.name}
    cluster.table_up = False
    owner.dead = True
    cluster.until(lambda: _moved_from(cluster, owner), SERVED_AGAIN_S)


def test_old_witnesses_are_needed_until_the_successor_agrees(
    cluster: FakeCluster,
) -> None:
    """An owner replaces a lost witness; its successor cannot be reached.

    The successor may still judge it by the old witnesses. Dropping them would
    let it prove the end of a lease that is renewed at the new ones.
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
        servers = (owner.row.server, cluster.named(name).row.server)
        cluster.cut.add(frozenset(servers))
    cluster.named(witness).dead = True
    cluster.until(lambda: owner.row.epoch > epoch, 5)
    cluster.run(0.1)
    assert owner.leases.holder.epochs[0] == epoch
    cluster.cut.clear()
    cluster.until(lambda: len(owner.leases.holder.epochs) == 1, 5)
    assert _owner(cluster) is owner


def test_old_proof_leaves_the_grace_for_newer_work() -> None:
    """A server that checks nothing works on while its key is taken over.

    A member once proved the owner's end under witnesses that the owner then
    replaced and outlived. When the owner really ends, its last work still has
    its grace; the old plan lies in the past and must not shorten it.
    """
    cluster = FakeCluster.from_size(6, checks_fence=False)
    owner = _owner(cluster)
    epoch = owner.row.epoch
    owner.append(WitnessesReplaced(owner.name, owner.row.witnesses, epoch + 1))
    part = owner.state.slices[SLICE]
    heir = cluster.named(part.successor)
    heir.append(SuccessorWithdrawn(SLICE, heir.name, part.successor_fence))
    heir.append(SuccessorNamed(SLICE, heir.name))
    _prove(heir, owner.name, epoch)
    assert SLICE not in heir.ownership.table.taken
    heir.append(Ended(owner.name, Proof.TESTIMONY, epoch + 1))
    heir.ownership.tick()
    assert SLICE not in heir.ownership.table.taken


def test_leaving_successor_accepts_nothing(cluster: FakeCluster) -> None:
    """Owner and successor are stopped at the same moment.

    They must not pass slices to and fro; the owner waits for a successor
    that stays.
    """
    owner = _owner(cluster)
    successor = cluster.named(owner.state.slices[SLICE].successor)
    cluster.table_up = False
    successor.ownership.handover.leave()
    owner.ownership.handover.leave()
    cluster.run(2)
    assert _owner(cluster) is owner


def test_former_witnesses_fall_silent(cluster: FakeCluster) -> None:
    """An owner has replaced a witness that goes on living.

    The former witness tells of the lapse for a while, then no more: nothing
    but renewals is sent once all is well. (Found in a profile of idle nodes.)
    """
    owner = _owner(cluster)
    former = cluster.named(owner.row.witnesses[0])
    epoch = owner.row.epoch
    pair = frozenset((owner.row.server, former.row.server))
    cluster.cut.add(pair)
    cluster.until(lambda: owner.row.epoch > epoch, 6)
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
    assert Ask not in sent
