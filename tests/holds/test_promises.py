"""Leases that witnesses extend, or let expire early."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantaingrade.holds.const import BASE_LEASE_S, LEASE_S, SCAN_PERIOD_S
from plantaingrade.holds.entity import ExpiryRequest, PromiseRequest, Witness
from plantaingrade.holds.lease import MemberRow
from plantaingrade.holds.promises import RETENTION_S, WitnessState, is_majority
from plantaingrade.holds.term import LeaseTerm
from plantaingrade.keyspace.entity import KEY_COUNT
from plantaingrade.peers.entity import Member
from plantaingrade.store.clock import StoreClock
from tests.holds.fakes import FakeCluster
from tests.holds.test_coordinator import clear_faults, inject_fault
from tests.virtual import run

NAMES = ('m1', 'm2', 'm3', 'm4')
POLL_S = 0.05
SETTLED_S = 6.0
# Longest time from the base end of a lost member's lease to the grants of its
# keys: the margin, two scan periods with jitter, a call and a grant.
TAKEOVER_S = 0.3 + 2 * len(NAMES) * SCAN_PERIOD_S * 1.5 / 2 + 0.5


async def start() -> FakeCluster:
    cluster = FakeCluster()
    for name in NAMES:
        cluster.add(name)
    await asyncio.sleep(SETTLED_S)
    assert cluster.held_keys() == KEY_COUNT
    return cluster


async def measure_unheld(cluster: FakeCluster, seconds: float) -> float:
    """Return for how long keys were unheld; check that none is held twice."""
    unheld_s = 0.0
    for _ in range(int(seconds / POLL_S)):
        await asyncio.sleep(POLL_S)
        assert not cluster.overlaps()
        unheld_s += POLL_S * (cluster.held_keys() < KEY_COUNT)
    return unheld_s


def test_keys_of_a_lost_instance_are_held_again_soon() -> None:
    """An instance is lost for good with its process and its server.

    Its lease is long enough to outlast a store outage, so its keys would be
    unheld for 10 to 13 s. The witnesses agree to the expiry after the base end.
    """

    async def scenario() -> None:
        cluster = await start()
        cluster.kill(cluster.members[0])
        cluster.members[0].server.is_up = False
        assert (
            await measure_unheld(cluster, LEASE_S + 10)
            < BASE_LEASE_S + TAKEOVER_S
        )
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


@pytest.mark.parametrize('outage_s', [3.0, 6.0, 8.5])
def test_keys_stay_held_during_a_store_outage(outage_s) -> None:
    """The store is unavailable for longer than the base end of a lease.

    The longest outage that a lease of 13 s covers is shorter by a renewal
    period of 3 s before it and a call that times out after it.
    """

    async def scenario() -> None:
        cluster = await start()
        for member in cluster.members:
            member.store.is_unavailable = True
        assert not await measure_unheld(cluster, outage_s)
        for member in cluster.members:
            member.store.is_unavailable = False
        assert not await measure_unheld(cluster, LEASE_S)
        await cluster.async_stop()

    run(scenario())


def test_an_isolated_member_releases_keys_before_takeover() -> None:
    """One instance can reach neither the store nor a witness."""

    async def scenario() -> None:
        cluster = await start()
        member = cluster.members[0]
        member.store.is_unavailable = True
        member.witnesses.is_cut_off = True
        unheld_s = await measure_unheld(cluster, LEASE_S + 10)
        assert unheld_s < BASE_LEASE_S + TAKEOVER_S
        assert not member.maps.find('cases').owned_by('m9')
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


def test_a_takeover_without_a_majority_waits_for_the_full_lease() -> None:
    """An instance is lost together with two of its three witnesses."""

    async def scenario() -> None:
        cluster = await start()
        for member in cluster.members[:3]:
            cluster.kill(member)
            member.server.is_up = False
        unheld_s = await measure_unheld(cluster, LEASE_S + 10)
        assert unheld_s > LEASE_S - 4
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


@pytest.mark.parametrize('seed', range(60))
def test_no_mix_of_faults_gives_two_owners_while_witnesses_are_lost(
    seed,
) -> None:
    """Random faults, and members are cut off from their witnesses.

    The store is unavailable for some or all, writes are lost or late, messages
    are lost, and ranges are moved. No key has two owners; without faults, each
    has one again.
    """

    async def scenario() -> None:
        rng = random.Random(seed)
        cluster = FakeCluster(seed)
        for name in (*NAMES, 'm5'):
            cluster.add(name)
        await asyncio.sleep(SETTLED_S)
        cluster.lost_message_share = 0.2
        for _ in range(40):
            inject_fault(cluster, rng, kinds=11)
            if rng.randrange(10) < 3:
                member = rng.choice(cluster.members)
                member.witnesses.is_cut_off = not member.witnesses.is_cut_off
            if not rng.randrange(10):
                is_unavailable = rng.choice((False, True))
                for member in cluster.members:
                    member.store.is_unavailable = is_unavailable
            await measure_unheld(cluster, rng.uniform(0.1, 2.0))
        clear_faults(cluster)
        for member in cluster.members:
            member.witnesses.is_cut_off = False
        await measure_unheld(cluster, LEASE_S + 20)
        assert not cluster.stale_fence_grants()
        assert cluster.held_keys() == KEY_COUNT
        await cluster.async_stop()

    run(scenario())


WITNESSES = tuple(Witness(f'w{index}', f'b{index}') for index in range(3))
# Events: a witness receives a request for the writes up to a number, or
# restarts.
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ['promise', 'give-up', 'promise', 'give-up', 'restart']
        ),
        st.integers(0, 2),
        st.integers(1, 4),
        st.integers(0, 2),
    ),
    max_size=24,
)


@settings(max_examples=500, deadline=None)
@given(EVENTS)
def test_no_write_is_promised_and_expired_by_majorities(events) -> None:
    """Requests arrive in any order, late or twice; witnesses restart.

    No write has both a majority that promised it and one that agreed to its
    expiry.
    """
    states = [WitnessState(witness.boot) for witness in WITNESSES]
    promised: dict[int, set[Witness]] = {}
    given_up: dict[int, set[Witness]] = {}
    for what, index, number, length in events:
        witness, state = WITNESSES[index], states[index]
        if what == 'restart':
            states[index] = WitnessState(f'{witness.boot}-again')
            continue
        if what == 'give-up':
            asked = ExpiryRequest('m', 'b', number, witness.boot)
            if state.on_expiry_request(asked, 0.0):
                given_up.setdefault(number, set()).add(witness)
            continue
        last = number + length
        if state.on_promise_request(
            PromiseRequest('m', 'b', number, last, witness.boot), 0.0
        ):
            for each in range(number, last + 1):
                promised.setdefault(each, set()).add(witness)
    for number, agreed in given_up.items():
        both = (agreed, promised.get(number, set()))
        assert not all(is_majority(each, WITNESSES) for each in both)


@pytest.mark.parametrize('is_promise_first', [False, True])
def test_the_first_agreement_counts(is_promise_first) -> None:
    """A witness must not agree to both requests."""
    state = WitnessState('w')
    promise = PromiseRequest('m', 'b', 2, 4, 'w')
    give_up = ExpiryRequest('m', 'b', 3, 'w')
    if is_promise_first:
        assert state.on_promise_request(promise, 0.0)
        assert not state.on_expiry_request(give_up, 0.0)
    else:
        assert state.on_expiry_request(give_up, 0.0)
        assert not state.on_promise_request(promise, 0.0)


def test_a_replaced_write_may_have_expired() -> None:
    state = WitnessState('w')
    assert state.on_expiry_request(ExpiryRequest('m', 'b', 2, 'w'), 0.0)
    assert state.on_promise_request(PromiseRequest('m', 'b', 3, 4, 'w'), 0.0)


def test_agreements_are_kept_longer_than_any_lease() -> None:
    state = WitnessState('w')
    assert state.on_promise_request(PromiseRequest('m', 'b', 1, 2, 'w'), 0.0)
    state.on_promise_request(
        PromiseRequest('n', 'b', 1, 2, 'w'), RETENTION_S - 1
    )
    assert not state.on_expiry_request(
        ExpiryRequest('m', 'b', 2, 'w'), RETENTION_S - 1
    )
    assert RETENTION_S > 5 * LEASE_S


def row(number: int, now_s: float, *witnesses: Witness) -> MemberRow:
    return MemberRow(
        Member('m', 's', 'a', '', 'b'),
        now_s + LEASE_S,
        f'b.{number}',
        base_until_s=now_s + BASE_LEASE_S,
        witnesses=witnesses,
    )


def make_term() -> LeaseTerm:
    clock = StoreClock()
    clock.observe(0.0, 0.0, 100.0)
    return LeaseTerm(clock)


def test_an_unanswered_write_limits_a_promised_lease() -> None:
    """A write without an answer may be applied, and nobody promised it."""
    term = make_term()
    term.on_applied(row(1, 100.0, *WITNESSES))
    assert term.until == pytest.approx(BASE_LEASE_S, abs=0.1)
    assert term.promise_request(WITNESSES[0]).last == 1
    term.on_promised(1)
    assert term.until == pytest.approx(LEASE_S, abs=0.1)
    term.on_sent(row(2, 103.0, *WITNESSES))
    assert term.until == pytest.approx(3 + BASE_LEASE_S, abs=0.1)
    assert term.promise_request(WITNESSES[0]).first == 1
    term.on_promised(term.promise_request(WITNESSES[0]).last)
    assert term.until == pytest.approx(LEASE_S, abs=0.1)
    term.on_applied(row(2, 103.0, *WITNESSES))
    assert term.until == pytest.approx(3 + LEASE_S, abs=0.1)
    assert not term.can_extend


def test_each_set_of_witnesses_must_agree() -> None:
    """A write that names other witnesses may replace the applied one."""
    others = (Witness('x', 'b'),)
    term = make_term()
    term.on_applied(row(1, 100.0, *WITNESSES))
    term.on_sent(row(2, 103.0, *others))
    assert set(term.witness_sets()) == {WITNESSES, others}
    term.on_not_applied(row(2, 103.0, *others))
    term.on_sent(row(3, 103.0))
    assert not term.can_extend
