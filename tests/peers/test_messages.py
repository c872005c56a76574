"""Words between members about maps."""

import asyncio
import os
from itertools import pairwise

from msgspec.structs import replace

from plantaingrade.balance.book import LoadBook
from plantaingrade.balance.entity import Load
from plantaingrade.balance.others import LEAVING_SHARE
from plantaingrade.datagrams import MAX_DATAGRAM_BYTES
from plantaingrade.eventlog import EventLog
from plantaingrade.keyspace.assign import reassign, split_evenly
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyRange
from plantaingrade.peers.announcer import CODEC
from plantaingrade.peers.coordinator import PeerCoordinator, PeerHooks
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Hello, MapChanged, Member
from tests.virtual import LoopClock, run

OWN = Member('s@1', 's', 'a', '127.0.0.1:1', 'b1')
OTHER = Member('s@2', 's', 'a', '127.0.0.1:2', 'b2')
OWNERS = ('s@1', 's@2', 's@3')


def first_map():
    return split_evenly(OWNERS).at_version(1)


class FakeCalls:
    """Note which maps are asked for."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def async_fetch(self, call) -> None:
        self.asked.append(call.address)


def member_with(maps: KeyMaps, calls: FakeCalls) -> PeerCoordinator:
    directory = Directory()
    directory.add(OTHER)
    clock = LoopClock()
    return PeerCoordinator(
        OWN,
        directory,
        maps,
        None,
        calls,
        clock,
        EventLog('t', clock, os.open(os.devnull, os.O_WRONLY)),
        LoadBook(),
        PeerHooks(
            lambda: ['s'],
            lambda _: None,
            lambda _: None,
            lambda *_: None,
        ),
    )


def hear(*messages: MapChanged, maps: KeyMaps) -> list[str]:
    """Return who is asked for the map after messages, 10 ms apart."""
    calls = FakeCalls()

    async def story() -> None:
        peers = member_with(maps, calls)
        for message in messages:
            peers.endpoint.datagram_received(CODEC.encode(message), None)
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)

    run(story())
    return calls.asked


def test_a_change_of_a_range_is_small_and_complete() -> None:
    before = first_map()
    after = reassign(before, {KeyRange(5, 9): 's@3'}).at_version(2)
    message = MapChanged.from_maps('s', 's@2', before, after)
    assert len(CODEC.encode(message)) < 250
    maps = KeyMaps()
    maps.update_if_newer('s', before)
    assert not hear(message, maps=maps)
    assert maps.find('s').assignments == after.assignments


def test_a_change_that_fits_no_datagram_is_asked_for() -> None:
    """A process that owns hundreds of ranges restarts and takes new fences.

    A datagram with all of them would be dropped, and everybody would go by
    the old map until some request is turned away.
    """
    before = first_map()
    ranges = {KeyRange(key, key): 's@3' for key in range(0, 2000, 5)}
    after = reassign(before, ranges).at_version(2)
    message = MapChanged.from_maps('s', 's@2', before, after)
    assert len(CODEC.encode(message)) > MAX_DATAGRAM_BYTES
    maps = KeyMaps()
    maps.update_if_newer('s', before)
    empty = MapChanged('s', 's@2', 1, 2, after.fence, (), ())
    assert hear(empty, maps=maps) == [OTHER.address]


def test_a_change_after_a_missed_one_is_asked_for() -> None:
    before = first_map()
    missed = reassign(before, {KeyRange(5, 9): 's@3'}).at_version(2)
    after = reassign(missed, {KeyRange(50, 90): 's@3'}).at_version(3)
    maps = KeyMaps()
    maps.update_if_newer('s', before)
    message = MapChanged.from_maps('s', 's@2', missed, after)
    assert hear(message, maps=maps) == [OTHER.address]
    assert maps.find('s').version == 1


def test_changes_that_arrive_in_another_order_are_not_asked_for() -> None:
    """Three members change the map within milliseconds, and each tells.

    Every change that came before the one it was made from made every member
    fetch the whole map: with 88 members the largest part of what crosses zones.
    """
    maps_told = [first_map()]
    for version in (2, 3, 4):
        keys = KeyRange(version * 10, version * 10 + 5)
        changed = reassign(maps_told[-1], {keys: 's@3'})
        maps_told.append(changed.at_version(version))
    first, second, third = (
        MapChanged.from_maps('s', 's@2', before, after)
        for before, after in pairwise(maps_told)
    )
    maps = KeyMaps()
    maps.update_if_newer('s', maps_told[0])
    assert not hear(third, second, first, maps=maps)
    assert maps.find('s').version == 4
    assert maps.find('s').assignments == maps_told[-1].assignments


def test_what_stays_missing_is_asked_for_once() -> None:
    """The datagram of the first change is lost, the others arrive."""
    before = first_map()
    missed = reassign(before, {KeyRange(5, 9): 's@3'}).at_version(2)
    second = reassign(missed, {KeyRange(50, 90): 's@3'}).at_version(3)
    third = reassign(second, {KeyRange(95, 99): 's@3'}).at_version(4)
    maps = KeyMaps()
    maps.update_if_newer('s', before)
    asked = hear(
        MapChanged.from_maps('s', 's@2', missed, second),
        MapChanged.from_maps('s', 's@2', second, third),
        maps=maps,
    )
    assert asked == [OTHER.address]


def test_garbage_is_counted_and_dropped() -> None:
    async def story() -> None:
        peers = member_with(KeyMaps(), FakeCalls())
        for raw in (b'', b'{', b'{"t":"Nothing"}', b'\xff\xfe', b'[1]'):
            peers.endpoint.datagram_received(raw, None)
        assert peers.endpoint.malformed == 5

    run(story())


def test_a_new_run_is_not_judged_by_the_load_of_the_one_before() -> None:
    """A process stops; its load says that it leaves. A new run has its name.

    It was passed over until the old word was too old.
    """

    async def story() -> None:
        peers = member_with(KeyMaps(), FakeCalls())
        loads = peers._loads
        now = LoopClock().now()
        loads.note('s@2', Load(LEAVING_SHARE, 0.01, 4), now)
        peers._on_datagram(Hello(replace(OTHER, boot='b3')))
        assert loads.find('s@2', now) is None

    run(story())
