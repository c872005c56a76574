"""Failures inside the follower of the configuration, and around it."""

import asyncio
import os

from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.config.entity import RoutingConfig
from plantaingrade.eventlog import EventLog
from plantaingrade.peers.announcer import Announcer
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.sidecar.config_peers import MemberConfigPeers
from plantaingrade.store.entity import Row, RowName
from tests.config.test_config import (
    APPLY_S,
    FakePeers,
    FakeStore,
    config,
    decode,
    route,
)
from tests.virtual import LoopClock, run

OWN = Member('s@1', 's', 'a', '127.0.0.1:1', 'b')
# Rows of the table whose listener fails.
ODD_KEY = 'odd'
# Versions that make the decoder, or the table of routes, fail.
UNDECODABLE = 13
UNROUTABLE = 17


class OddRowError(Exception):
    """Failure that the follower does not expect."""


def decode_or_fail(body: bytes) -> RoutingConfig:
    if body == str(UNDECODABLE).encode():
        raise OddRowError
    if body == str(UNROUTABLE).encode():
        return config(UNROUTABLE, None)
    return decode(body)


def make_log() -> EventLog:
    return EventLog('t', LoopClock(), os.open(os.devnull, os.O_WRONLY))


def follow(scenario, peers, failures: list) -> None:
    """Run a scenario beside a follower; collect the reported failures."""

    async def run_scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context['exception'])
        )
        store = FakeStore()
        follower = ConfigFollower(
            store, 'op', 'config', decode_or_fail, make_log(), peers
        )
        task = asyncio.create_task(follower.async_run())
        await asyncio.sleep(0.02)
        await scenario(store, follower)
        task.cancel()

    run(run_scenario())


def test_change_before_any_member_is_known_does_not_end_the_follower() -> None:
    """Guards against a process that is old from its first change on."""
    directory = Directory()
    peers = MemberConfigPeers(
        OWN, directory, None, Announcer(OWN, directory, print)
    )
    failures: list[Exception] = []

    async def scenario(store, follower) -> None:
        for version in (2, 3):
            store.put(str(version).encode())
            await asyncio.sleep(APPLY_S)
            assert follower.version == version

    follow(scenario, peers, failures)
    assert not failures


def test_failing_listener_neither_ends_the_follower_nor_skips_others() -> None:
    """Guards against a change that is applied in part."""
    failures: list[Exception] = []
    applied: list[int] = []
    seen_rows: list[str] = []

    def fail_at_version(active: RoutingConfig) -> None:
        if active.version == 2:
            raise OddRowError

    def fail_at_rows(rows: tuple[Row, ...], **_) -> None:
        if any(row.name.key == ODD_KEY for row in rows):
            raise OddRowError

    def note_rows(rows: tuple[Row, ...], **_) -> None:
        seen_rows.extend(row.name.key for row in rows)

    async def scenario(store, follower) -> None:
        follower.add_listener(fail_at_version)
        follower.add_listener(lambda active: applied.append(active.version))
        follower.add_row_listener(fail_at_rows)
        follower.add_row_listener(note_rows)
        store.put(b'2')
        await asyncio.sleep(APPLY_S)
        assert follower.version == 2
        assert applied == [2]
        store.odd_rows = (Row(RowName('op', '', ODD_KEY), b'?', 9),)
        store.put(b'3')
        await asyncio.sleep(APPLY_S)
        assert follower.version == 3
        assert applied == [2, 3]
        assert ODD_KEY in seen_rows

    follow(scenario, FakePeers(), failures)
    assert {type(each) for each in failures} == {OddRowError}
    assert len(failures) == 2


def test_configuration_that_cannot_be_used_leaves_the_one_before() -> None:
    """Guards against a version in force with the routes of the one before."""
    failures: list[Exception] = []

    async def scenario(store, follower) -> None:
        for version in (UNDECODABLE, UNROUTABLE):
            store.put(str(version).encode())
            await asyncio.sleep(APPLY_S)
            assert follower.version == 1
            assert follower.routes.find('x', '/a/') == route('x', '/a/')
        store.put(b'20')
        await asyncio.sleep(APPLY_S)
        assert follower.version == 20

    follow(scenario, FakePeers(), failures)
    assert len(failures) == 2
