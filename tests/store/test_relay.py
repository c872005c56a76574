"""Calls to the store through other processes."""

import asyncio
import os

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import LEASE_S, RENEW_S, RETRY_S
from plantaingrade.peers.entity import Member
from plantaingrade.store.clock import StoreClock
from plantaingrade.store.entity import (
    Committed,
    EpochEnded,
    NotDone,
    OutcomeUnknown,
    RangeRead,
    StoreFailure,
    Transaction,
    TransactionOutcome,
)
from plantaingrade.store.epochs import StoreEpochs, make_version
from plantaingrade.store.relay import (
    COMMIT_CODEC,
    READ_CODEC,
    RELAY_PAUSE_S,
    RelayedStore,
)
from tests.virtual import LoopClock, run

CUT_OFF = NotDone(StoreFailure.NOT_REACHED)
DONE = Committed(7, 100.0)
READ = RangeRead((), 7, 100.0)
DIRECT_S = 0.5
MEMBERS = [Member(f's@{place}', 's', 'a', place, 'b') for place in '012345']


class FarStore:
    """A store that this process does not reach."""

    def __init__(self) -> None:
        self.clock = StoreClock()
        self.epochs = StoreEpochs()

    async def async_commit(self, _: Transaction) -> NotDone:
        await asyncio.sleep(DIRECT_S)
        return CUT_OFF

    async def async_read(self, *_: str) -> NotDone:
        await asyncio.sleep(DIRECT_S)
        return CUT_OFF


class Relays:
    """Other processes; those that are cut off as well refuse."""

    def __init__(self, *cut_off: int) -> None:
        self.cut_off = {MEMBERS[number].name for number in cut_off}
        self.asked: list[str] = []
        self.answer: RangeRead = READ
        self.commit_answer: TransactionOutcome = DONE
        self.silent: set[str] = set()

    async def async_relay(
        self, member: Member, path: str, _: bytes
    ) -> bytes | None:
        await asyncio.sleep(0.01)
        self.asked.append(member.name)
        if member.name in self.silent:
            return None
        is_cut = member.name in self.cut_off
        if path.endswith('commit'):
            done = self.commit_answer
            return COMMIT_CODEC.encode(CUT_OFF if is_cut else done)
        return READ_CODEC.encode(CUT_OFF if is_cut else self.answer)


def store_through(relays: Relays) -> RelayedStore:
    clock = LoopClock()
    log = EventLog('t', clock, os.open(os.devnull, os.O_WRONLY))
    return RelayedStore(FarStore(), relays, lambda: list(MEMBERS), clock, log)


async def async_reach(store: RelayedStore) -> None:
    """Commit until that works, within the time that a lease has left."""
    async with asyncio.timeout(LEASE_S - RENEW_S):
        while await store.async_commit(Transaction(())) != DONE:
            await asyncio.sleep(RETRY_S)


def test_relays_are_asked_again_after_two_have_refused() -> None:
    """A third of the instances is cut off from the store, this one too.

    The first relays that it asks are cut off as well. It goes on asking, and
    reaches the store through another within seconds, long before its lease
    ends; and does not ask those first that have refused.
    """
    relays = Relays(0, 1, 2)

    async def story() -> float:
        store = store_through(relays)
        began = asyncio.get_running_loop().time()
        await async_reach(store)
        return asyncio.get_running_loop().time() - began

    assert run(story()) < 2 * (RELAY_PAUSE_S + DIRECT_S + RETRY_S)
    assert len(relays.asked) == len(set(relays.asked))


def test_a_relay_that_answered_is_asked_first() -> None:
    relays = Relays(0, 1, 2, 3, 4)

    async def story() -> None:
        store = store_through(relays)
        await async_reach(store)
        relays.asked.clear()
        for _ in range(5):
            assert await store.async_commit(Transaction(())) == DONE
            assert await store.async_read('t', 'p') == READ

    run(story())
    assert set(relays.asked) == {MEMBERS[5].name}


def test_a_relay_that_fell_silent_is_not_asked_first_again() -> None:
    """What it was asked may have been done, so nobody else is asked now."""
    relays = Relays()
    relays.silent.add(MEMBERS[0].name)

    async def story() -> None:
        store = store_through(relays)
        outcome = await store.async_commit(Transaction(()))
        assert isinstance(outcome, OutcomeUnknown)
        relays.asked.clear()
        await async_reach(store)

    run(story())
    assert MEMBERS[0].name not in relays.asked


def test_relays_are_left_alone_while_the_store_is_away_for_all() -> None:
    relays = Relays(*range(len(MEMBERS)))

    async def story() -> None:
        store = store_through(relays)
        for _ in range(40):
            await store.async_commit(Transaction(()))

    run(story())
    assert len(relays.asked) <= 2 * 40 * DIRECT_S / RELAY_PAUSE_S + 2


def test_a_relayed_answer_of_a_store_without_epochs_tells_none() -> None:
    """Else leases of epochs that never were would be waited for."""

    async def story() -> None:
        store = store_through(Relays())
        assert await store.async_read('t', 'p') == READ
        assert not store.epochs.are_reported

    run(story())


def test_a_new_epoch_is_heard_of_through_a_relay() -> None:
    relays = Relays()
    relays.answer = RangeRead((), make_version(2, 7), 100.0)
    relays.commit_answer = EpochEnded(3)

    async def story() -> None:
        store = store_through(relays)
        assert await store.async_read('t', 'p') == relays.answer
        assert store.epochs.newest == 2
        change = Transaction((), epoch=2)
        assert await store.async_commit(change) == EpochEnded(3)
        outdated = NotDone(StoreFailure.OUTDATED)
        assert await store.async_read('t', 'p') == outdated

    run(story())
