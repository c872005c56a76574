"""Routes, and the configuration in force."""

import asyncio
import os
from collections.abc import Callable

import pytest

from plantaingrade.config.coordinator import (
    REWRITTEN_S,
    WAIT_S,
    ConfigFollower,
)
from plantaingrade.config.entity import (
    Limits,
    Route,
    RoutingConfig,
    ServiceShare,
)
from plantaingrade.config.lookup import RouteTable
from plantaingrade.errors import PlantaingradeError
from plantaingrade.eventlog import EventLog
from plantaingrade.store.entity import (
    Changes,
    HistoryGone,
    NotDone,
    RangeRead,
    Row,
    RowName,
    StoreFailure,
)
from plantaingrade.store.epochs import VERSIONS_PER_EPOCH
from tests.virtual import LoopClock, run

# The platform gives this time for a change to be in force.
APPLY_S = 2.0

LIMITS = Limits(16384, 1000, 3, 15)
NAME = RowName('op', '', 'config')


def route(host: str, prefix: str, *weights: int) -> Route:
    shares = tuple(
        ServiceShare(f's{place}', weight)
        for place, weight in enumerate(weights or (1,))
    )
    return Route(host + prefix, host, prefix, shares, True, 1, 1, 1, 2)


def config(version: int, *routes: Route) -> RoutingConfig:
    return RoutingConfig(version, routes, {}, LIMITS)


def decode(body: bytes) -> RoutingConfig:
    if not body.isdigit():
        raise PlantaingradeError('No configuration.')
    return config(int(body), route('x', '/a/'))


def test_the_longest_prefix_of_the_host_wins() -> None:
    table = RouteTable(
        config(
            1,
            route('x', '/a/'),
            route('x', '/a/b/'),
            route('y', '/a/b/c/'),
        )
    )
    assert table.find('x', '/a/b/c/d').prefix == '/a/b/'
    assert table.find('x', '/a/bc').prefix == '/a/'
    assert table.find('x', '/a/').prefix == '/a/'
    assert table.find('y', '/a/b/c/').host == 'y'
    for host, path in (('x', '/a'), ('x', '/b/'), ('z', '/a/'), ('x', '')):
        assert table.find(host, path) is None


def test_shares_follow_their_weights_closely() -> None:
    split = route('x', '/a/', 90, 10)
    table = RouteTable(config(1, split))
    chosen = [table.next_service(split) for _ in range(300)]
    assert chosen.count('s1') == 30
    assert 's1' in chosen[:10]


class FakeStore:
    """A store whose rows are set by the test."""

    def __init__(self) -> None:
        self.body = b'1'
        self.version = 1
        self.is_away = False
        self.is_deaf = False
        self.history_from = 0
        self.reads = 0
        self.follows = 0

    async def async_read(self, table: str, part: str):
        self.reads += 1
        await asyncio.sleep(0.01)
        if self.is_away:
            return NotDone(StoreFailure.BUSY)
        return RangeRead((Row(NAME, self.body, 1),), self.version, 0)

    async def async_follow(self, table: str, after: int, wait_s: float):
        self.follows += 1
        for _ in range(int(wait_s / 0.1)):
            await asyncio.sleep(0.1)
            if self.is_deaf:
                continue
            if self.is_away:
                return NotDone(StoreFailure.BUSY)
            if after < self.history_from:
                return HistoryGone()
            if self.version > after:
                row = Row(NAME, self.body, self.version)
                return Changes((row,), self.version, 0)
        return Changes((), after, 0)

    def put(self, body: bytes) -> None:
        self.body = body
        self.version += 1


class SilentStore(FakeStore):
    """A store that loses what reaches it, or waits there, for a while.

    ``silent`` is from when until when, in seconds of the running loop.
    """

    def __init__(self) -> None:
        super().__init__()
        self.silent = (0.0, 0.0)

    async def async_follow(self, table: str, after: int, wait_s: float):
        loop = asyncio.get_running_loop()
        begins, ends = self.silent
        began = loop.time()
        answer = await super().async_follow(table, after, wait_s)
        if began < ends and loop.time() >= begins:
            # Who asked gives up a second after the answer was due.
            await asyncio.sleep(began + wait_s + 1 - loop.time())
            return NotDone(StoreFailure.NOT_REACHED)
        return answer


def follow(
    story,
    asked: bytes | None = None,
    make_store: Callable[[], FakeStore] = FakeStore,
) -> None:
    async def ask() -> bytes | None:
        return asked

    async def play() -> None:
        log = EventLog('t', LoopClock(), os.open(os.devnull, os.O_WRONLY))
        store = make_store()
        follower = ConfigFollower(store, 'op', 'config', decode, log, ask)
        task = asyncio.create_task(follower.async_run())
        await story(store, follower)
        task.cancel()

    run(play())


def test_the_newest_configuration_is_followed() -> None:
    async def story(store, follower) -> None:
        assert follower.version == 0
        await asyncio.sleep(0.1)
        assert follower.version == 1
        for version in (b'4', b'5', b'9'):
            store.put(version)
            await asyncio.sleep(1)
            assert follower.version == int(version)

    follow(story)


def test_what_cannot_be_used_leaves_the_old_one_in_force() -> None:
    async def story(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.put(b'garbage')
        await asyncio.sleep(1)
        assert follower.version == 1
        store.put(b'3')
        await asyncio.sleep(1)
        assert follower.version == 3

    follow(story)


def test_an_older_version_never_comes_back() -> None:
    async def story(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.put(b'7')
        await asyncio.sleep(1)
        store.put(b'5')
        await asyncio.sleep(1)
        assert follower.version == 7

    follow(story)


def test_a_lost_history_is_made_up_for_by_reading() -> None:
    async def story(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.put(b'8')
        store.history_from = store.version + 5
        store.version = store.history_from
        await asyncio.sleep(2)
        assert follower.version == 8

    follow(story)


def test_word_of_another_process_ends_a_wait_that_hears_nothing() -> None:
    """The connection on which changes are awaited has gone silent.

    Another process goes by a newer version; the row is then read, well
    within the time in which a change must be in force.
    """

    async def story(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.is_deaf = True
        store.put(b'6')
        await asyncio.sleep(2)
        assert follower.version == 1
        follower.on_hint(6)
        await asyncio.sleep(APPLY_S / 2)
        assert follower.version == 6

    follow(story)


def test_word_that_comes_before_the_feed_costs_no_call() -> None:
    """A change reaches all processes at about the same time.

    Requests of the first of them arrive here before the feed's answer does.
    The row is not read for that, also not after several changes.
    """

    async def story(store, follower) -> None:
        await asyncio.sleep(0.1)
        reads = store.reads
        for version in range(2, 8):
            follower.on_hint(version)
            await asyncio.sleep(0.01)
            store.put(str(version).encode())
            await asyncio.sleep(0.2)
        await asyncio.sleep(2)
        assert follower.version == 7
        assert store.reads == reads

    follow(story)


def test_word_of_an_older_version_costs_no_call() -> None:
    async def story(store, follower) -> None:
        await asyncio.sleep(0.1)
        reads = store.reads
        for _ in range(50):
            follower.on_hint(1)
            await asyncio.sleep(0.05)
        assert store.reads == reads

    follow(story)


def test_without_the_store_another_process_is_asked() -> None:
    async def story(store, follower) -> None:
        store.is_away = True
        await asyncio.sleep(0.5)
        assert follower.version == 12

    follow(story, asked=b'12')


def test_a_quick_succession_of_versions_costs_few_calls() -> None:
    async def story(store, follower) -> None:
        await asyncio.sleep(0.1)
        for version in range(2, 40):
            store.put(str(version).encode())
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        assert follower.version == 39

    follow(story)


@pytest.mark.parametrize('asked', [None, b'garbage'])
def test_nothing_is_in_force_until_something_is_known(asked) -> None:
    async def story(store, follower) -> None:
        store.is_away = True
        await asyncio.sleep(1)
        assert follower.version == 0
        assert follower.routes is None

    follow(story, asked=asked)


def test_a_store_that_refuses_is_asked_ever_more_rarely() -> None:
    """The store turns this process away for ten seconds, at once each time.

    Each of 31 processes asked for the configuration four times a second, and
    the store counts refused calls too.
    """

    async def story(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.is_away = True
        store.follows = 0
        await asyncio.sleep(10)
        # Each call takes 0.1 s; without a longer pause there are over 30.
        assert store.follows <= 16
        store.is_away = False
        store.put(b'2')
        await asyncio.sleep(1)
        assert follower.version == 2

    follow(story)


@pytest.mark.parametrize('begins_s', [6.0, 7.0, 8.0, 9.0])
def test_a_wait_that_the_store_lost_is_not_waited_out(begins_s) -> None:
    """An old configuration is used 2.2 s after a new one was acknowledged.

    The store is silent for eight seconds. A wait that was sent meanwhile is
    lost, though the store is back a second later, and a change is made soon
    after that. Nothing arrives until the wait's ten seconds are over.
    """

    async def story(store, follower) -> None:
        now = asyncio.get_running_loop().time()
        store.silent = (now + begins_s, now + begins_s + 8)
        await asyncio.sleep(begins_s + 8 + 1.1)
        store.put(b'2')
        await asyncio.sleep(APPLY_S)
        assert follower.version == 2

    follow(story, make_store=SilentStore)


def test_rows_are_read_again_after_the_store_came_back_from_a_copy() -> None:
    """What its copy lacks is written again, and nothing tells of the rest."""

    async def story(store: FakeStore, follower: ConfigFollower) -> None:
        taken: list[bool] = []
        follower.add_row_listener(
            lambda _, **how: taken.append(how['may_lack'])
        )
        await asyncio.sleep(1.0)
        store.version += VERSIONS_PER_EPOCH
        store.history_from = store.version
        await asyncio.sleep(2.0)
        assert taken[-1]
        await asyncio.sleep(REWRITTEN_S + WAIT_S)
        assert not taken[-1]

    follow(story)
