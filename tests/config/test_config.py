"""Route lookup, and following the configuration in the store."""

import asyncio
import os
from collections.abc import Callable

import pytest

from plantaingrade.config.coordinator import (
    REREAD_DELAY_S,
    ConfigFollower,
)
from plantaingrade.config.entity import (
    Limits,
    Route,
    RoutingConfig,
    ServiceShare,
)
from plantaingrade.config.lookup import RouteTable
from plantaingrade.config.wait_turns import MIN_PERIOD_S, WaitTurn
from plantaingrade.errors import PlantaingradeError
from plantaingrade.eventlog import EventLog
from plantaingrade.platform.store import FEED_SLACK_S
from plantaingrade.store.clock import StoreClock
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

# Time in seconds that the platform allows for a change to become active.
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


def test_longest_prefix_of_the_host_matches() -> None:
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


def test_shares_match_their_weights() -> None:
    split = route('x', '/a/', 90, 10)
    table = RouteTable(config(1, split))
    chosen = [table.next_service(split) for _ in range(300)]
    assert chosen.count('s1') == 30
    assert 's1' in chosen[:10]


class FakeStore:
    """Store whose rows and faults are set by the test."""

    def __init__(self) -> None:
        self.body = b'1'
        self.version = 1
        # Rows of the table that come before that of the configuration.
        self.odd_rows: tuple[Row, ...] = ()
        self.is_unavailable = False
        self.is_feed_silent = False
        self.history_from = 0
        self.reads = 0
        self.follows = 0
        self.clock = StoreClock()

    async def async_read(self, table: str, part: str):
        self.reads += 1
        await asyncio.sleep(0.01)
        if self.is_unavailable:
            return NotDone(StoreFailure.BUSY)
        return RangeRead((Row(NAME, self.body, 1),), self.version, 0)

    async def async_follow(self, table: str, after: int, wait_s: float):
        self.follows += 1
        for _ in range(int(wait_s / 0.1)):
            await asyncio.sleep(0.1)
            if self.is_feed_silent:
                continue
            if self.is_unavailable:
                return NotDone(StoreFailure.BUSY)
            if after < self.history_from:
                return HistoryGone()
            if self.version > after:
                row = Row(NAME, self.body, self.version)
                return Changes((*self.odd_rows, row), self.version, 0)
        return Changes((), after, 0)

    def put(self, body: bytes) -> None:
        self.body = body
        self.version += 1


class FakePeers:
    """Other processes, which may have a configuration."""

    wait_turn = WaitTurn()

    def __init__(self, body: bytes | None = None) -> None:
        self._body = body

    async def async_ask(self) -> bytes | None:
        return self._body

    def tell_some(self, version: int) -> None:
        """Need no telling."""

    def tell_all(self, version: int) -> None:
        """Need no telling."""


class SilentStore(FakeStore):
    """Store that loses the calls sent or waiting during an interval.

    ``silent`` is its start and end, in seconds of the running loop.
    """

    def __init__(self) -> None:
        super().__init__()
        self.silent = (0.0, 0.0)

    async def async_follow(self, table: str, after: int, wait_s: float):
        loop = asyncio.get_running_loop()
        start, end = self.silent
        sent_at = loop.time()
        answer = await super().async_follow(table, after, wait_s)
        if sent_at < end and loop.time() >= start:
            # The client times out some time after the response was due.
            due_s = sent_at + wait_s + FEED_SLACK_S
            await asyncio.sleep(due_s - loop.time())
            return NotDone(StoreFailure.NOT_REACHED)
        return answer


def follow(
    scenario,
    peer_config: bytes | None = None,
    make_store: Callable[[], FakeStore] = FakeStore,
) -> None:
    async def run_scenario() -> None:
        log = EventLog('t', LoopClock(), os.open(os.devnull, os.O_WRONLY))
        store = make_store()
        peers = FakePeers(peer_config)
        follower = ConfigFollower(store, 'op', 'config', decode, log, peers)
        task = asyncio.create_task(follower.async_run())
        await scenario(store, follower)
        task.cancel()

    run(run_scenario())


def test_newest_configuration_is_active() -> None:
    async def scenario(store, follower) -> None:
        assert follower.version == 0
        await asyncio.sleep(0.1)
        assert follower.version == 1
        for version in (b'4', b'5', b'9'):
            store.put(version)
            await asyncio.sleep(1)
            assert follower.version == int(version)

    follow(scenario)


def test_invalid_configuration_leaves_the_old_one_active() -> None:
    async def scenario(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.put(b'garbage')
        await asyncio.sleep(1)
        assert follower.version == 1
        store.put(b'3')
        await asyncio.sleep(1)
        assert follower.version == 3

    follow(scenario)


def test_older_version_is_ignored() -> None:
    async def scenario(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.put(b'7')
        await asyncio.sleep(1)
        store.put(b'5')
        await asyncio.sleep(1)
        assert follower.version == 7

    follow(scenario)


def test_rows_are_read_if_the_history_is_gone() -> None:
    async def scenario(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.put(b'8')
        store.history_from = store.version + 5
        store.version = store.history_from
        await asyncio.sleep(2)
        assert follower.version == 8

    follow(scenario)


def test_hint_ends_a_wait_that_misses_a_change() -> None:
    """An old configuration stays active while the feed is unresponsive.

    The hint of a process with a newer version causes a read of the row, well
    within the time in which a change must be active.
    """

    async def scenario(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.is_feed_silent = True
        store.put(b'6')
        await asyncio.sleep(2)
        assert follower.version == 1
        assert not follower.is_behind
        follower.on_hint(6)
        assert follower.is_behind
        await asyncio.sleep(APPLY_S / 2)
        assert follower.version == 6
        assert not follower.is_behind

    follow(scenario)


def test_hint_before_the_feed_costs_no_call() -> None:
    """Each change makes all processes read the row.

    All of them receive a change at about the same time, and requests of the
    first arrive before the feed's response. This must not cause a read, not
    even after several changes.
    """

    async def scenario(store, follower) -> None:
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

    follow(scenario)


def test_hint_of_an_older_version_costs_no_call() -> None:
    async def scenario(store, follower) -> None:
        await asyncio.sleep(0.1)
        reads = store.reads
        for _ in range(50):
            follower.on_hint(1)
            await asyncio.sleep(0.05)
        assert store.reads == reads

    follow(scenario)


def test_configuration_comes_from_a_peer_without_the_store() -> None:
    async def scenario(store, follower) -> None:
        store.is_unavailable = True
        await asyncio.sleep(0.5)
        assert follower.version == 12

    follow(scenario, peer_config=b'12')


def test_quick_succession_of_versions_is_followed() -> None:
    async def scenario(store, follower) -> None:
        await asyncio.sleep(0.1)
        for version in range(2, 40):
            store.put(str(version).encode())
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        assert follower.version == 39

    follow(scenario)


@pytest.mark.parametrize('peer_config', [None, b'garbage'])
def test_nothing_is_active_until_a_configuration_is_known(peer_config) -> None:
    async def scenario(store, follower) -> None:
        store.is_unavailable = True
        await asyncio.sleep(1)
        assert follower.version == 0
        assert follower.routes is None

    follow(scenario, peer_config=peer_config)


def test_refusing_store_is_called_less_often() -> None:
    """The store refuses calls for ten seconds, each one immediately.

    Without backoff each of 31 processes called it four times a second, and the
    store counts refused calls too.
    """

    async def scenario(store, follower) -> None:
        await asyncio.sleep(0.1)
        store.is_unavailable = True
        store.follows = 0
        await asyncio.sleep(10)
        # Each call takes 0.1 s; without a longer pause there are over 30.
        assert store.follows <= 16
        store.is_unavailable = False
        store.put(b'2')
        await asyncio.sleep(1)
        assert follower.version == 2

    follow(scenario)


@pytest.mark.parametrize('silent_after_s', [6.0, 7.0, 8.0, 9.0])
def test_lost_wait_times_out_early(silent_after_s) -> None:
    """An old configuration is active 2.2 s after a new one was acknowledged.

    The store does not respond for eight seconds and loses a wait sent
    meanwhile. It recovers a second later, and a change is made soon after that,
    but nothing arrives until the ten seconds of the lost wait are over.
    """

    async def scenario(store, follower) -> None:
        now = asyncio.get_running_loop().time()
        store.silent = (now + silent_after_s, now + silent_after_s + 8)
        await asyncio.sleep(silent_after_s + 8 + 1.1)
        store.put(b'2')
        await asyncio.sleep(APPLY_S)
        assert follower.version == 2

    follow(scenario, make_store=SilentStore)


def test_rows_are_read_again_after_a_restore_from_backup() -> None:
    """Rows that the backup lacks are kept though never rewritten."""

    async def scenario(store: FakeStore, follower: ConfigFollower) -> None:
        reported: list[bool] = []
        follower.add_row_listener(
            lambda _, **flags: reported.append(flags['may_lack_rows'])
        )
        await asyncio.sleep(1.0)
        store.version += VERSIONS_PER_EPOCH
        store.history_from = store.version
        await asyncio.sleep(2.0)
        assert reported[-1]
        await asyncio.sleep(REREAD_DELAY_S + 2 * MIN_PERIOD_S)
        assert not reported[-1]

    follow(scenario)
