"""Changes reach members through some that wait at the store for all."""

import asyncio
import os

import pytest

from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.config.entity import Limits, RoutingConfig
from plantaingrade.eventlog import EventLog
from plantaingrade.peers.entity import Member
from plantaingrade.peers.watchers import (
    MIN_MEMBERS,
    WATCHERS_PER_ZONE,
    Watchers,
)
from plantaingrade.store.entity import (
    Changes,
    FeedOutcome,
    HistoryGone,
    NotDone,
    RangeRead,
    ReadOutcome,
    Row,
    RowName,
    StoreFailure,
)
from plantaingrade.store.epochs import StoreEpochs, make_version, number_of
from plantaingrade.store.feed_log import MAX_ROWS, FeedLog
from plantaingrade.store.shared_feed import (
    ASK_S,
    WATCH_S,
    WATCH_SLACK_S,
    SharedFeed,
)
from tests.virtual import LoopClock, run

ZONES = ('a', 'b', 'c')
NAME = RowName('op', '', 'config')
# Time in which a change must be in force at each instance.
APPLY_S = 2.5
SETTLED_S = 40.0
QUIET_S = 60.0
POLL_S = 0.05
ALL_CUT = ('cut off', len(ZONES))


class Rows:
    """The operators' table, as all members see it."""

    def __init__(self) -> None:
        self.version = 1
        self.epoch = 0
        self.changed = asyncio.Event()

    def put(self) -> None:
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self) -> Row:
        body = str(self.version).encode()
        return Row(NAME, body, make_version(self.epoch, self.version))


class FakeStore:
    """One member's access to the table; a cut-off one gets no answer."""

    def __init__(self, rows: Rows) -> None:
        self.rows = rows
        self.epochs = StoreEpochs()
        self.is_cut_off = False
        self.is_refusing = False
        self.follows = 0

    async def async_read(self, *_: str) -> ReadOutcome:
        await asyncio.sleep(0.01)
        if self.is_cut_off or self.is_refusing:
            return NotDone(StoreFailure.NOT_REACHED)
        self.epochs.record(self.rows.epoch)
        row = self.rows.row()
        return RangeRead((row,), row.version, 0)

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        self.follows += 1
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait_s
        was_cut_off = self.is_cut_off
        while loop.time() < ends:
            if self.is_refusing:
                return NotDone(StoreFailure.BUSY)
            was_cut_off = was_cut_off or self.is_cut_off
            if not was_cut_off and self.rows.version > number_of(after):
                row = self.rows.row()
                return Changes((row,), row.version, 0)
            await asyncio.sleep(POLL_S)
        if was_cut_off:
            await asyncio.sleep(1.0)
            return NotDone(StoreFailure.NOT_REACHED)
        return Changes((), after, 0)


class Cluster:
    """Members that follow the configuration, and the calls between them."""

    def __init__(self, per_zone: int) -> None:
        self.rows = Rows()
        self.members = [
            Member(f's@{zone}{index}', 's', zone, f'{zone}{index}', 'b')
            for zone in ZONES
            for index in range(per_zone)
        ]
        self.lost: set[str] = set()
        self.frozen: set[str] = set()
        self.stores: dict[str, FakeStore] = {}
        self.feeds: dict[str, SharedFeed] = {}
        self.followers: dict[str, ConfigFollower] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.log = EventLog('t', LoopClock(), os.open(os.devnull, os.O_WRONLY))
        for member in self.members:
            self.start(member)

    def start(self, member: Member) -> None:
        store = FakeStore(self.rows)
        feed = SharedFeed(
            'op',
            store,
            Watchers(member),
            self,
            lambda: self.members,
            LoopClock(),
            self.log,
        )
        follower = ConfigFollower(
            feed,
            'op',
            NAME.key,
            decode,
            self.log,
            async_ask_nobody,
            lambda: len(self.members),
        )
        self.stores[member.name] = store
        self.feeds[member.name] = feed
        self.followers[member.name] = follower
        self.tasks[member.name] = asyncio.create_task(follower.async_run())

    def watchers(self, zone: str) -> list[str]:
        return [
            member.name
            for member in self.members
            if member.zone == zone and Watchers(member).is_watcher(self.members)
        ]

    def inject(self, fault: str, name: str) -> None:
        match fault:
            case 'killed':
                self.lost.add(name)
                self.tasks[name].cancel()
            case 'frozen':
                self.frozen.add(name)
            case 'cut off':
                self.stores[name].is_cut_off = True
            case 'refused':
                self.stores[name].is_refusing = True

    async def async_post(
        self, member: Member, path: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        await asyncio.sleep(0.002)
        if member.name in self.lost:
            return None
        if member.name in self.frozen:
            await asyncio.sleep(timeout_s)
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await self.feeds[member.name].async_handle(body)
        except TimeoutError:
            return None

    def behind(self) -> set[str]:
        return {
            name
            for name, follower in self.followers.items()
            if follower.version < self.rows.version
            and name not in self.lost | self.frozen
            and not self.stores[name].is_cut_off
            and not self.stores[name].is_refusing
        }

    def count_follows(self) -> int:
        return sum(store.follows for store in self.stores.values())

    async def async_settle(self) -> None:
        await asyncio.sleep(SETTLED_S)
        assert not self.behind()

    async def async_change(self) -> None:
        """Change the configuration, and check that it is in force in time."""
        self.rows.put()
        await asyncio.sleep(APPLY_S)
        assert not self.behind()


def decode(body: bytes) -> RoutingConfig:
    return RoutingConfig(int(body), (), {}, Limits(1, 1, 1, 1))


async def async_ask_nobody() -> bytes:
    return b''


def play(scenario, per_zone: int = MIN_MEMBERS) -> None:
    async def async_play() -> None:
        cluster = Cluster(per_zone)
        await cluster.async_settle()
        await scenario(cluster)

    run(async_play())


def test_change_reaches_all_by_few_calls() -> None:
    async def scenario(cluster: Cluster) -> None:
        before = cluster.count_follows()
        await cluster.async_change()
        calls = cluster.count_follows() - before
        assert calls <= 3 * len(ZONES) * WATCHERS_PER_ZONE

    play(scenario)


def test_quiet_members_make_few_calls() -> None:
    async def scenario(cluster: Cluster) -> None:
        before = cluster.count_follows()
        await asyncio.sleep(QUIET_S)
        watchers = len(ZONES) * WATCHERS_PER_ZONE
        assert cluster.count_follows() - before <= QUIET_S / 5 * watchers + 6

    play(scenario)


def test_few_members_wait_for_themselves() -> None:
    async def scenario(cluster: Cluster) -> None:
        before = cluster.count_follows()
        await asyncio.sleep(QUIET_S)
        members = len(cluster.members)
        assert cluster.count_follows() - before <= members * (QUIET_S / 10 + 1)

    play(scenario, per_zone=3)


@pytest.mark.parametrize('fault', ['killed', 'frozen', 'cut off', 'refused'])
@pytest.mark.parametrize('zones', [1, 3])
def test_change_is_in_force_in_time_without_watchers(fault, zones) -> None:
    """The fault hits all watchers of one zone, or of all zones."""

    async def scenario(cluster: Cluster) -> None:
        for zone in ZONES[:zones]:
            for name in cluster.watchers(zone):
                cluster.inject(fault, name)
        await asyncio.sleep(unnoticed_s(fault, zones))
        await cluster.async_change()

    play(scenario)


def unnoticed_s(fault: str, zones: int) -> float:
    """Return how long before the change the fault begins.

    Watchers that are all cut off without a sign notice it when their waits
    should have ended, and are not believed any more.
    """
    return WATCH_S + WATCH_SLACK_S + ASK_S if (fault, zones) == ALL_CUT else 0


def test_change_is_in_force_when_one_watcher_of_each_zone_is_cut() -> None:
    async def scenario(cluster: Cluster) -> None:
        for zone in ZONES:
            cluster.stores[cluster.watchers(zone)[0]].is_cut_off = True
        await cluster.async_change()

    play(scenario)


def test_change_after_an_outage_of_the_store_is_in_force_in_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        for store in cluster.stores.values():
            store.is_refusing = True
        await asyncio.sleep(10.0)
        for store in cluster.stores.values():
            store.is_refusing = False
        await asyncio.sleep(1.0)
        await cluster.async_change()

    play(scenario)


def test_all_read_the_rows_again_after_a_restore() -> None:
    """The store was restored from a backup; its versions start over."""

    async def scenario(cluster: Cluster) -> None:
        cluster.rows.epoch = 2
        for store in cluster.stores.values():
            store.epochs.record(2)
        await cluster.async_change()

    play(scenario)


def test_member_that_joins_late_learns_changes() -> None:
    async def scenario(cluster: Cluster) -> None:
        late = Member('s@late', 's', 'a', 'late', 'b')
        cluster.members.append(late)
        cluster.start(late)
        await asyncio.sleep(1.0)
        await cluster.async_change()
        await cluster.async_change()

    play(scenario)


def test_paused_watcher_does_not_report_that_nothing_changed() -> None:
    log = FeedLog()
    log.begin(5, overdue_at=10.0)
    assert log.find_since(5, 9.0) == Changes((), 5, 0)
    assert log.find_since(5, 11.0) is None


def test_failed_wait_is_valid_again_after_a_success_only() -> None:
    log = FeedLog()
    log.begin(5, overdue_at=10.0)
    log.end(NotDone(StoreFailure.BUSY), next_due_at=11.0)
    log.begin(5, overdue_at=20.0)
    assert log.find_since(5, 12.0) is None
    log.end(Changes((), 6, 0), next_due_at=13.0)
    assert log.find_since(5, 12.0) == Changes((), 6, 0)


def test_changes_before_the_known_ones_are_not_claimed_to_be_none() -> None:
    log = FeedLog()
    log.begin(5, overdue_at=10.0)
    assert log.find_since(4, 1.0) is None
    log.end(HistoryGone(), next_due_at=2.0)
    log.begin(9, overdue_at=10.0)
    assert log.find_since(5, 3.0) is None


def test_old_changes_are_forgotten_and_only_newer_ones_passed_on() -> None:
    log = FeedLog()
    log.begin(0, overdue_at=10.0)
    count = MAX_ROWS + 10
    rows = tuple(Row(NAME, b'', index + 1) for index in range(count))
    log.end(Changes(rows, count, 0), next_due_at=2.0)
    assert log.find_since(0, 1.0) is None
    assert log.find_since(count - 2, 1.0).rows == rows[-2:]


def test_change_of_an_earlier_epoch_is_not_passed_on() -> None:
    log = FeedLog()
    log.begin(make_version(2, 1), overdue_at=10.0)
    assert log.find_since(make_version(3, 1), 1.0) is None


def test_early_answers_do_not_cause_calls_without_end() -> None:
    async def scenario(cluster: Cluster) -> None:
        asked = 0

        async def async_post(*_: object) -> bytes:
            nonlocal asked
            asked += 1
            return b'{"t":"Changes","rows":[],"version":1,"now_s":0}'

        cluster.async_post = async_post
        await asyncio.sleep(QUIET_S)
        assert asked <= len(cluster.members) * (QUIET_S / ASK_S + 1)

    play(scenario)
