"""Leases renewed together, and members that lose the committing one."""

import asyncio
import random
from collections import Counter

import pytest

from plantaingrade.holds.const import BASE_GRACE_S, LEASE_S, RENEW_S
from plantaingrade.holds.renewal_schedule import (
    MIN_PAUSE_S,
    OWN_RENEWAL_MARGIN_S,
    pause_until_renewal,
)
from plantaingrade.holds.shared_renewals import SharedRenewals
from plantaingrade.keyspace.entity import KEY_COUNT
from plantaingrade.peers.delegates import Delegates
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import (
    EpochEnded,
    OutcomeUnknown,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.relay import RelayHandler
from tests.holds.fakes import (
    CALL_LIMIT_S,
    SERVICE,
    FakeCluster,
    FakeMember,
    FakeStore,
    Fault,
)
from tests.holds.test_coordinator import (
    NAMES,
    clear_faults,
    inject_fault,
    wait_until_settled,
    watch,
)
from tests.virtual import LoopClock, run

MEMBERS = 12
SETTLED_S = 12.0
SPAN_S = 24.0
CHECK_S = 0.1
LATE_S = 3.0
PERIOD_S = RENEW_S - OWN_RENEWAL_MARGIN_S


def member(name: str) -> Member:
    return Member(name, SERVICE, 'a', f'{name}:1', 'b')


class FakeCalls:
    """Calls between the members of a cluster, whose processes may be lost."""

    def __init__(self, cluster: FakeCluster) -> None:
        self.cluster = cluster
        self.relay_by_name: dict[str, RelayHandler] = {}
        self.silent: set[str] = set()
        self.called: Counter[str] = Counter()

    async def async_post(
        self, target: Member, path: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        self.called[target.name] += 1
        found = next(
            each for each in self.cluster.members if each.name == target.name
        )
        if found.task is None:
            return None
        if target.name in self.silent:
            await asyncio.sleep(timeout_s)
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await self.relay_by_name[target.name].async_renew(body)
        except TimeoutError:
            return None


class LossyStore:
    """Store that does not answer some merged renewals, and applies some late.

    The member that commits them can't tell which of the two.
    """

    def __init__(self, store: FakeStore, cluster: 'SharingCluster') -> None:
        self._store = store
        self._cluster = cluster
        self.clock = store.clock
        self.epochs = store.epochs

    async def async_commit(
        self, transaction: Transaction
    ) -> TransactionOutcome:
        fault = self._cluster.draw_fault()
        if fault is Fault.NONE:
            return await self._store.async_commit(transaction)
        rows = self._cluster.rows
        if fault is Fault.LOST:
            rows.commit(transaction)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, rows.commit, transaction)
        await asyncio.sleep(CALL_LIMIT_S)
        return OutcomeUnknown(StoreFailure.LOST)


class SharingCluster(FakeCluster):
    """Cluster whose members renew together."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.calls = FakeCalls(self)
        self.lost_renewal_share = 0.0
        self._faults = random.Random(seed)

    def draw_fault(self) -> Fault:
        if self._faults.random() >= self.lost_renewal_share:
            return Fault.NONE
        return self._faults.choice([Fault.LOST, Fault.LATE])

    def share(self, *names: str) -> list[FakeMember]:
        return [self.add(name) for name in names]

    def make_shared_renewals(self, name: str, store) -> SharedRenewals:
        relay = RelayHandler(LossyStore(store, self))
        self.calls.relay_by_name[name] = relay
        return SharedRenewals(
            member(name),
            store,
            relay.batches,
            self.calls,
            self.delegates_of(name),
            LoopClock(),
            self._log,
        )

    def committer(self) -> FakeMember:
        chosen = self.delegates_of(self.members[0].name).choose(0.0)
        return next(each for each in self.members if each.name == chosen.name)

    def delegates_of(self, name: str) -> Delegates:
        return Delegates(
            member(name),
            'renewals',
            lambda _: [member(each.name) for each in self.members],
        )


def names() -> list[str]:
    return [f'm{index}' for index in range(MEMBERS)]


def count_commits(cluster: FakeCluster) -> int:
    return sum(each.store.commits for each in cluster.members)


async def async_check(cluster: FakeCluster, span_s: float, lost: int) -> None:
    """Check for a time that no key is held twice, and few are held by none."""
    for _ in range(int(span_s / CHECK_S)):
        await asyncio.sleep(CHECK_S)
        assert not cluster.overlaps()
        assert cluster.held_keys() >= KEY_COUNT - lost
    assert not cluster.stale_fence_grants()


def test_members_renew_in_one_transaction_per_period() -> None:
    """Twelve members would make as many calls each three seconds."""

    async def scenario() -> int:
        cluster = SharingCluster()
        cluster.share(*names())
        await asyncio.sleep(SETTLED_S)
        before = count_commits(cluster)
        await async_check(cluster, SPAN_S, lost=0)
        commits = count_commits(cluster) - before
        await cluster.async_stop()
        return commits

    assert run(scenario()) <= SPAN_S / PERIOD_S + 1


def test_members_keep_their_keys_when_the_committer_is_killed() -> None:
    """They renew on their own, then through another member."""

    async def scenario() -> int:
        cluster = SharingCluster()
        cluster.share(*names())
        await asyncio.sleep(SETTLED_S)
        killed = cluster.committer()
        owned = sum(
            len(each.keys)
            for each in killed.maps.find(SERVICE).owned_by(killed.name)
        )
        cluster.kill(killed)
        await async_check(cluster, RENEW_S + BASE_GRACE_S, lost=owned)
        before = count_commits(cluster)
        await async_check(cluster, SPAN_S, lost=owned)
        commits = count_commits(cluster) - before
        await cluster.async_stop()
        return commits

    assert run(scenario()) <= 2 * SPAN_S


@pytest.mark.parametrize('is_frozen', [True, False])
def test_members_keep_their_keys_when_the_committer_is_cut_off(
    is_frozen,
) -> None:
    """It doesn't answer at all, or it doesn't reach the store."""

    async def scenario() -> None:
        cluster = SharingCluster()
        cluster.share(*names())
        await asyncio.sleep(SETTLED_S)
        cut_off = cluster.committer()
        if is_frozen:
            cluster.calls.silent.add(cut_off.name)
        else:
            cut_off.store.is_unavailable = True
        await async_check(cluster, 2 * RENEW_S, lost=0)
        await cluster.async_stop()

    run(scenario())


def test_store_that_is_away_from_all_costs_no_keys() -> None:
    async def scenario() -> None:
        cluster = SharingCluster()
        cluster.share(*names())
        await asyncio.sleep(SETTLED_S)
        cluster.set_store_unavailable(is_unavailable=True)
        await async_check(cluster, BASE_GRACE_S + RENEW_S, lost=0)
        cluster.set_store_unavailable(is_unavailable=False)
        await async_check(cluster, SPAN_S, lost=0)
        await cluster.async_stop()

    run(scenario())


@pytest.mark.parametrize('seed', range(40))
def test_no_mix_of_faults_gives_keys_two_owners(seed) -> None:
    """Random faults, also of merged renewals and of members that commit them.

    Without faults, every key is held again.
    """

    async def scenario() -> None:
        rng = random.Random(seed)
        cluster = SharingCluster(seed)
        cluster.share(*NAMES)
        await wait_until_settled(cluster)
        cluster.lost_message_share = 0.3
        cluster.lost_renewal_share = 0.3
        for _ in range(40):
            inject_fault(cluster, rng, kinds=11)
            cluster.calls.silent = set(rng.sample(NAMES, 1))
            await watch(cluster, rng.uniform(0.1, 2.0))
            assert not cluster.stale_fence_grants()
        clear_faults(cluster)
        cluster.calls.silent.clear()
        cluster.lost_renewal_share = 0.0
        await watch(cluster, LEASE_S + 20)
        assert not cluster.stale_fence_grants()
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


def test_restored_store_does_not_renew_rows_of_an_earlier_epoch() -> None:
    """The committer has learned the new epoch; others have not."""

    async def scenario() -> None:
        cluster = SharingCluster()
        first, second = cluster.share('m0', 'm1')
        await asyncio.sleep(SETTLED_S)
        committer = cluster.committer()
        other = first if committer is second else second
        snapshot = cluster.rows.snapshot()
        await asyncio.sleep(RENEW_S)
        cluster.rows.restore(snapshot)
        committer.store.epochs.record(cluster.rows.epoch)
        renewals = cluster.make_shared_renewals(other.name, other.store)
        outcome = await renewals.async_commit(Transaction(()))
        assert outcome == EpochEnded(cluster.rows.epoch)
        await async_check(cluster, SPAN_S, lost=0)
        await cluster.async_stop()

    run(scenario())


def test_member_that_joins_late_renews_with_the_others() -> None:
    async def scenario() -> int:
        cluster = SharingCluster()
        cluster.share(*names())
        await asyncio.sleep(SETTLED_S + RENEW_S / 2)
        cluster.share('late')
        await asyncio.sleep(2 * RENEW_S)
        before = count_commits(cluster)
        await async_check(cluster, SPAN_S, lost=0)
        commits = count_commits(cluster) - before
        await cluster.async_stop()
        return commits

    assert run(scenario()) <= SPAN_S / PERIOD_S + 1


def test_turns_are_the_same_for_all_clocks_and_never_late() -> None:
    """A failed common renewal leaves time for an own one."""
    for now_s in (0.0, 1.2, 2.41, 2.5, 100.4):
        due_s = now_s + pause_until_renewal(now_s, RENEW_S)
        assert due_s % PERIOD_S == pytest.approx(0, abs=1e-9)
        assert due_s - now_s <= PERIOD_S + MIN_PAUSE_S


def test_slightly_different_counts_give_the_same_period() -> None:
    assert pause_until_renewal(0.0, 3.1) == pause_until_renewal(0.0, 3.4)


def test_member_without_others_renews_at_its_own_times() -> None:
    async def scenario() -> None:
        cluster = SharingCluster()
        cluster.share('m0')
        await asyncio.sleep(SETTLED_S)
        renewals = cluster.members[0].holds._shared_renewals
        assert renewals.pause_s(RENEW_S) == RENEW_S
        await cluster.async_stop()

    run(scenario())
