"""Store calls through relays."""

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


class UnreachableStore:
    """Store that this process cannot reach."""

    def __init__(self) -> None:
        self.clock = StoreClock()
        self.epochs = StoreEpochs()

    async def async_commit(self, _: Transaction) -> NotDone:
        await asyncio.sleep(DIRECT_S)
        return CUT_OFF

    async def async_read(self, *_: str) -> NotDone:
        await asyncio.sleep(DIRECT_S)
        return CUT_OFF


class FakeRelays:
    """Other processes; those that are cut off as well refuse."""

    def __init__(self, *cut_off: int) -> None:
        self.cut_off = {MEMBERS[number].name for number in cut_off}
        self.called: list[str] = []
        self.answer: RangeRead = READ
        self.commit_answer: TransactionOutcome = DONE
        self.silent: set[str] = set()

    async def async_relay(
        self, member: Member, path: str, _: bytes
    ) -> bytes | None:
        await asyncio.sleep(0.01)
        self.called.append(member.name)
        if member.name in self.silent:
            return None
        is_cut = member.name in self.cut_off
        if path.endswith('commit'):
            done = self.commit_answer
            return COMMIT_CODEC.encode(CUT_OFF if is_cut else done)
        return READ_CODEC.encode(CUT_OFF if is_cut else self.answer)


def make_store(relays: FakeRelays) -> RelayedStore:
    clock = LoopClock()
    log = EventLog('t', clock, os.open(os.devnull, os.O_WRONLY))
    return RelayedStore(
        UnreachableStore(), relays, lambda: list(MEMBERS), clock, log
    )


async def async_commit_until_done(store: RelayedStore) -> None:
    """Retry a commit until it succeeds, within the rest of a lease."""
    async with asyncio.timeout(LEASE_S - RENEW_S):
        while await store.async_commit(Transaction(())) != DONE:
            await asyncio.sleep(RETRY_S)


def test_other_relays_are_tried_after_two_have_refused() -> None:
    """A third of the instances, including this one, is cut off from the store.

    The first relays that it tries are cut off as well. It must reach the store
    through another one within seconds, long before its lease ends, and must not
    call any relay twice.
    """
    relays = FakeRelays(0, 1, 2)

    async def scenario() -> float:
        store = make_store(relays)
        started_at = asyncio.get_running_loop().time()
        await async_commit_until_done(store)
        return asyncio.get_running_loop().time() - started_at

    assert run(scenario()) < 2 * (RELAY_PAUSE_S + DIRECT_S + RETRY_S)
    assert len(relays.called) == len(set(relays.called))


def test_last_successful_relay_is_tried_first() -> None:
    relays = FakeRelays(0, 1, 2, 3, 4)

    async def scenario() -> None:
        store = make_store(relays)
        await async_commit_until_done(store)
        relays.called.clear()
        for _ in range(5):
            assert await store.async_commit(Transaction(())) == DONE
            assert await store.async_read('t', 'p') == READ

    run(scenario())
    assert set(relays.called) == {MEMBERS[5].name}


def test_unresponsive_relay_is_not_tried_first_again() -> None:
    """Its commit may have been applied, so no other relay is tried for it."""
    relays = FakeRelays()
    relays.silent.add(MEMBERS[0].name)

    async def scenario() -> None:
        store = make_store(relays)
        outcome = await store.async_commit(Transaction(()))
        assert isinstance(outcome, OutcomeUnknown)
        relays.called.clear()
        await async_commit_until_done(store)

    run(scenario())
    assert MEMBERS[0].name not in relays.called


def test_relays_are_rarely_tried_while_the_store_is_down_for_all() -> None:
    relays = FakeRelays(*range(len(MEMBERS)))

    async def scenario() -> None:
        store = make_store(relays)
        for _ in range(40):
            await store.async_commit(Transaction(()))

    run(scenario())
    assert len(relays.called) <= 2 * 40 * DIRECT_S / RELAY_PAUSE_S + 2


def test_relayed_answer_of_a_store_without_epochs_reports_none() -> None:
    """Otherwise leases of nonexistent epochs would be waited for."""

    async def scenario() -> None:
        store = make_store(FakeRelays())
        assert await store.async_read('t', 'p') == READ
        assert not store.epochs.are_reported

    run(scenario())


def test_new_epoch_is_learned_through_a_relay() -> None:
    relays = FakeRelays()
    relays.answer = RangeRead((), make_version(2, 7), 100.0)
    relays.commit_answer = EpochEnded(3)

    async def scenario() -> None:
        store = make_store(relays)
        assert await store.async_read('t', 'p') == relays.answer
        assert store.epochs.newest == 2
        change = Transaction((), epoch=2)
        assert await store.async_commit(change) == EpochEnded(3)
        outdated = NotDone(StoreFailure.OUTDATED)
        assert await store.async_read('t', 'p') == outdated

    run(scenario())
