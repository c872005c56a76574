"""Leases that witnesses lengthen, or give up early."""

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
from tests.holds.test_coordinator import calm, disturb
from tests.virtual import run

NAMES = ('m1', 'm2', 'm3', 'm4')
LOOK_S = 0.05
SETTLED_S = 6.0
# Longest way from the first end of a lost member's lease to its keys' grants:
# the margin, two looks that are spread, a call and a grant.
TAKEOVER_S = 0.3 + 2 * len(NAMES) * SCAN_PERIOD_S * 1.5 / 2 + 0.5


async def start() -> FakeCluster:
    world = FakeCluster()
    for name in NAMES:
        world.add(name)
    await asyncio.sleep(SETTLED_S)
    assert world.held_keys() == KEY_COUNT
    return world


async def unheld_for(world: FakeCluster, seconds: float) -> float:
    """Return for how long keys were held by nobody; none twice."""
    unheld_s = 0.0
    for _ in range(int(seconds / LOOK_S)):
        await asyncio.sleep(LOOK_S)
        assert not world.overlaps()
        unheld_s += LOOK_S * (world.held_keys() < KEY_COUNT)
    return unheld_s


def test_keys_of_a_lost_instance_are_held_again_soon() -> None:
    """An instance is lost for good with its process and its server.

    Callers are told for 10 to 13 s that the owner cannot be reached, since
    its lease is made to outlast an outage of the store. Its witnesses give it
    up as soon as the first end of its lease has passed.
    """

    async def story() -> None:
        world = await start()
        world.kill(world.members[0])
        world.members[0].server.is_up = False
        assert await unheld_for(world, LEASE_S + 10) < BASE_LEASE_S + TAKEOVER_S
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


@pytest.mark.parametrize('away_s', [3.0, 6.0, 8.5])
def test_keys_stay_held_while_the_store_is_away(away_s) -> None:
    """The store is away for all, for longer than the first end of a lease.

    The longest is what a whole lease of 13 s bears, less a renewal's pause of
    3 s before and a call that is given up after.
    """

    async def story() -> None:
        world = await start()
        for place in world.members:
            place.store.is_away = True
        assert not await unheld_for(world, away_s)
        for place in world.members:
            place.store.is_away = False
        assert not await unheld_for(world, LEASE_S)
        await world.async_stop()

    run(story())


def test_a_member_cut_off_from_all_lets_go_before_its_keys_pass_on() -> None:
    """Neither the store nor a witness can be reached from one instance."""

    async def story() -> None:
        world = await start()
        place = world.members[0]
        place.store.is_away = True
        place.witnesses.is_cut = True
        unheld_s = await unheld_for(world, LEASE_S + 10)
        assert unheld_s < BASE_LEASE_S + TAKEOVER_S
        assert not place.maps.find('cases').owned_by('m9')
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


def test_without_a_majority_the_whole_lease_is_waited_out() -> None:
    """An instance is lost with two of its three witnesses."""

    async def story() -> None:
        world = await start()
        for place in world.members[:3]:
            world.kill(place)
            place.server.is_up = False
        unheld_s = await unheld_for(world, LEASE_S + 10)
        assert unheld_s > LEASE_S - 4
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


@pytest.mark.parametrize('seed', range(60))
def test_no_mix_of_faults_gives_two_owners_while_witnesses_are_lost(
    seed,
) -> None:
    """Members are killed and cut off from their witnesses, words are lost.

    The store is away for some or for all, writes are lost or late, ranges are
    moved. No key has two owners; when all is calm again, each has one.
    """

    async def story() -> None:
        chooser = random.Random(seed)
        world = FakeCluster(seed)
        for name in (*NAMES, 'm5'):
            world.add(name)
        await asyncio.sleep(SETTLED_S)
        world.lost_word_share = 0.2
        for _ in range(40):
            disturb(world, chooser, kinds=11)
            if chooser.randrange(10) < 3:
                place = chooser.choice(world.members)
                place.witnesses.is_cut = not place.witnesses.is_cut
            if not chooser.randrange(10):
                is_away = chooser.choice((False, True))
                for place in world.members:
                    place.store.is_away = is_away
            await unheld_for(world, chooser.uniform(0.1, 2.0))
        calm(world)
        for place in world.members:
            place.witnesses.is_cut = False
        await unheld_for(world, LEASE_S + 20)
        assert not world.fences_not_above()
        assert world.held_keys() == KEY_COUNT
        await world.async_stop()

    run(story())


WITNESSES = tuple(Witness(f'w{place}', f'b{place}') for place in range(3))
# What happens: a witness hears a question for the writes up to a number, or
# starts again.
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
def test_no_write_is_promised_and_given_up_by_majorities(events) -> None:
    """Questions arrive in any order, late or twice; witnesses start again.

    Whatever answers were heard, no write has both a majority that promised it
    and one that gave it up.
    """
    books = [WitnessState(witness.boot) for witness in WITNESSES]
    promised: dict[int, set[Witness]] = {}
    given_up: dict[int, set[Witness]] = {}
    for what, place, number, length in events:
        witness, book = WITNESSES[place], books[place]
        if what == 'restart':
            books[place] = WitnessState(f'{witness.boot}-again')
            continue
        if what == 'give-up':
            asked = ExpiryRequest('m', 'b', number, witness.boot)
            if book.on_expiry_request(asked, 0.0):
                given_up.setdefault(number, set()).add(witness)
            continue
        last = number + length
        if book.on_promise_request(
            PromiseRequest('m', 'b', number, last, witness.boot), 0.0
        ):
            for each in range(number, last + 1):
                promised.setdefault(each, set()).add(witness)
    for number, agreed in given_up.items():
        both = (agreed, promised.get(number, set()))
        assert not all(is_majority(each, WITNESSES) for each in both)


@pytest.mark.parametrize('is_promise_first', [False, True])
def test_what_was_said_first_counts(is_promise_first) -> None:
    """A witness that takes the second question too has said both."""
    book = WitnessState('w')
    promise = PromiseRequest('m', 'b', 2, 4, 'w')
    give_up = ExpiryRequest('m', 'b', 3, 'w')
    if is_promise_first:
        assert book.on_promise_request(promise, 0.0)
        assert not book.on_expiry_request(give_up, 0.0)
    else:
        assert book.on_expiry_request(give_up, 0.0)
        assert not book.on_promise_request(promise, 0.0)


def test_a_write_that_no_longer_stands_may_have_been_given_up() -> None:
    book = WitnessState('w')
    assert book.on_expiry_request(ExpiryRequest('m', 'b', 2, 'w'), 0.0)
    assert book.on_promise_request(PromiseRequest('m', 'b', 3, 4, 'w'), 0.0)


def test_what_was_said_is_kept_for_longer_than_any_lease() -> None:
    book = WitnessState('w')
    assert book.on_promise_request(PromiseRequest('m', 'b', 1, 2, 'w'), 0.0)
    book.on_promise_request(
        PromiseRequest('n', 'b', 1, 2, 'w'), RETENTION_S - 1
    )
    assert not book.on_expiry_request(
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


def test_a_write_without_an_answer_bounds_what_was_promised() -> None:
    """A write whose answer is lost may stand, and nobody promised for it."""
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


def test_each_set_of_witnesses_counts_by_itself() -> None:
    """A write that names others may stand in place of the one known to."""
    others = (Witness('x', 'b'),)
    term = make_term()
    term.on_applied(row(1, 100.0, *WITNESSES))
    term.on_sent(row(2, 103.0, *others))
    assert set(term.witness_sets()) == {WITNESSES, others}
    term.on_not_applied(row(2, 103.0, *others))
    term.on_sent(row(3, 103.0))
    assert not term.can_extend
