"""Reads of one member for its zone, and of those that lose it."""

import asyncio
import os

import pytest

from plantaingrade.eventlog import EventLog
from plantaingrade.peers.delegates import Delegates
from plantaingrade.peers.entity import Member
from plantaingrade.store.entity import (
    NotDone,
    RangeRead,
    ReadOutcome,
    RowsWanted,
    StoreFailure,
)
from plantaingrade.store.epochs import StoreEpochs, make_version
from plantaingrade.store.read_cache import MAX_AGE_S, MAX_KEPT
from plantaingrade.store.relay import RelayHandler
from plantaingrade.store.shared_reads import SharedReads
from tests.virtual import LoopClock, run

MEMBERS = [Member(f's@{index}', 's', 'a', '', 'b') for index in range(12)]
AWAY = NotDone(StoreFailure.NOT_REACHED)


class FakeStore:
    """Store that counts its reads, each of a new version."""

    def __init__(self) -> None:
        self.epochs = StoreEpochs()
        self.epoch = 0
        self.reads = 0
        self.is_away = False

    async def async_read(self, *_: str) -> ReadOutcome:
        self.reads += 1
        await asyncio.sleep(0.01)
        if self.is_away:
            return AWAY
        self.epochs.record(self.epoch)
        return RangeRead((), make_version(self.epoch, self.reads), 1.0)


def make_delegates(own: Member) -> Delegates:
    return Delegates(own, 'reads', lambda _: MEMBERS)


class Zone:
    """Members of one zone, and the calls between them."""

    def __init__(self) -> None:
        self.stores = [FakeStore() for _ in MEMBERS]
        handlers = [RelayHandler(store) for store in self.stores]
        self.handler_by_name = {
            member.name: each
            for member, each in zip(MEMBERS, handlers, strict=True)
        }
        self.is_lost = False
        log = EventLog('t', LoopClock(), os.open(os.devnull, os.O_WRONLY))
        self.readers = [
            SharedReads(
                member,
                store,
                each.reads,
                self,
                make_delegates(member),
                LoopClock(),
                log,
            )
            for member, store, each in zip(
                MEMBERS, self.stores, handlers, strict=True
            )
        ]
        self.delegate = MEMBERS.index(make_delegates(MEMBERS[0]).choose(0.0))

    async def async_post(
        self, member: Member, path: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        if self.is_lost:
            await asyncio.sleep(timeout_s)
            return None
        return await self.handler_by_name[member.name].async_read_shared(body)

    async def async_read_all(self) -> list[ReadOutcome]:
        return await asyncio.gather(
            *(reader.async_read('t', 'p') for reader in self.readers)
        )

    def count_reads(self) -> int:
        return sum(store.reads for store in self.stores)


def test_one_read_serves_a_zone_for_a_while() -> None:
    async def scenario() -> None:
        zone = Zone()
        assert set(await zone.async_read_all()) == {RangeRead((), 1, 1.0)}
        await asyncio.sleep(MAX_AGE_S / 2)
        await zone.async_read_all()
        assert zone.count_reads() == 1
        await asyncio.sleep(MAX_AGE_S)
        await zone.async_read_all()
        assert zone.count_reads() == 2

    run(scenario())


@pytest.mark.parametrize('is_lost', [True, False])
def test_members_without_the_reading_one_read_by_themselves(is_lost) -> None:
    """It does not answer at all, or it does not reach the store."""

    async def scenario() -> None:
        zone = Zone()
        zone.is_lost = is_lost
        zone.stores[zone.delegate].is_away = not is_lost
        found = await zone.async_read_all()
        found.pop(zone.delegate)
        assert all(isinstance(outcome, RangeRead) for outcome in found)
        # The next one that they choose is another.
        zone.is_lost = False
        await zone.async_read_all()
        assert zone.count_reads() <= 2 * len(MEMBERS)

    run(scenario())


def test_failed_read_is_not_kept() -> None:
    async def scenario() -> None:
        zone = Zone()
        store = zone.stores[zone.delegate]
        store.is_away = True
        await zone.async_read_all()
        store.is_away = False
        cache = zone.handler_by_name[MEMBERS[zone.delegate].name].reads
        found = await cache.async_read(RowsWanted('t', 'p'))
        assert isinstance(found, RangeRead)

    run(scenario())


def test_read_of_an_earlier_epoch_is_not_passed_on() -> None:
    """The store was restored from a backup since the read."""

    async def scenario() -> None:
        zone = Zone()
        await zone.async_read_all()
        for store in zone.stores:
            store.epoch = 2
        zone.stores[0].epochs.record(2)
        other = zone.readers[0]
        assert (await other.async_read('t', 'p')).epoch == 2
        zone.stores[zone.delegate].epochs.record(2)
        found = await zone.async_read_all()
        assert {outcome.epoch for outcome in found} == {2}

    run(scenario())


def test_number_of_kept_reads_is_bounded() -> None:
    async def scenario() -> None:
        zone = Zone()
        for index in range(2 * MAX_KEPT):
            await zone.readers[0].async_read('t', f'p{index}')
        cache = zone.handler_by_name[MEMBERS[zone.delegate].name].reads
        assert len(cache._read_by_part) == MAX_KEPT

    run(scenario())
