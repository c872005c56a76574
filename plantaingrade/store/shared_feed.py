"""Wait for changes of a table together with other members.

Some members wait at the store; the others wait at these, for a second at a time
and at another one each time. Whoever gets no answer, or one that asks it to,
waits at the store by itself.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from plantaingrade.clock import Clock
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.eventlog import EventLog
from plantaingrade.peers.entity import Member
from plantaingrade.peers.watchers import Watchers, are_needed
from plantaingrade.store.entity import (
    Changes,
    ChangesWanted,
    FeedOutcome,
    HistoryGone,
    NotDone,
    ReadOutcome,
    StoreFailure,
)
from plantaingrade.store.epochs import epoch_of
from plantaingrade.store.feed_log import FeedLog
from plantaingrade.store.interface import Store

PATH_CHANGES = '/-/store/changes'
WANTED_CODEC = Codec(ChangesWanted)
CHANGES_CODEC = Codec(Changes | NotDone)
# Wait of a watcher at the store. A wait that the store has lost is noticed
# within this time.
WATCH_S = 5.0
# Time for the response to a wait, and until the next wait begins.
WATCH_SLACK_S = 1.5
# Wait at a watcher, and the time limit of the call. Together with the next one
# they are well below the time in which a change must be in force.
ASK_S = 1.0
ASK_LIMIT_S = 1.5
# Wait at the store when no watcher answers. They are asked again after it.
FALLBACK_S = 10.0


class WatcherCalls(Protocol):
    """Client for the members that wait at the store."""

    async def async_post(
        self, member: Member, path: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Call a member; return None without an answer."""


class SharedFeed:
    """Reads and follows one table, in part through other members."""

    __slots__ = (
        '_calls',
        '_changed',
        '_clock',
        '_feed_log',
        '_log',
        '_members',
        '_store',
        '_table',
        '_watchers',
    )

    def __init__(
        self,
        table: str,
        store: Store,
        watchers: Watchers,
        calls: WatcherCalls,
        members: Callable[[], list[Member]],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Follow a table; ``members`` returns all known ones with the own."""
        self._table = table
        self._store = store
        self._watchers = watchers
        self._calls = calls
        self._members = members
        self._clock = clock
        self._log = log
        self._feed_log = FeedLog()
        self._changed = asyncio.Event()

    async def async_read(self, table: str, part: str) -> ReadOutcome:
        """Return all rows of a part, read from the store."""
        return await self._store.async_read(table, part)

    async def async_follow(
        self, table: str, after: int, wait_s: float
    ) -> FeedOutcome:
        """Wait for changes, for ``wait_s`` at most."""
        if epoch_of(after) < self._store.epochs.newest:
            return HistoryGone()
        members = self._members()
        if not are_needed(members):
            return await self._async_watch(after, wait_s)
        if self._watchers.is_watcher(members):
            return await self._async_watch(after, min(wait_s, WATCH_S))
        found = await self._async_ask_watchers(members, after)
        if found is not None:
            return found
        return await self._async_watch(after, min(wait_s, FALLBACK_S))

    async def async_handle(self, body: bytes) -> bytes:
        """Wait for changes on behalf of another process.

        Raises:
            MalformedMessageError: the body does not name a version.
        """
        wanted = WANTED_CODEC.decode(body)
        found = await self._async_find(wanted)
        return CHANGES_CODEC.encode(found or NotDone(StoreFailure.BUSY))

    async def _async_find(self, wanted: ChangesWanted) -> Changes | None:
        if wanted.table != self._table:
            return None
        ends = self._clock.now() + ASK_S
        while True:
            now = self._clock.now()
            found = self._feed_log.find_since(wanted.after, now)
            if found is None or found.rows or now >= ends:
                return found
            await self._async_wait_change(ends - now)

    async def _async_wait_change(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _async_watch(self, after: int, wait_s: float) -> FeedOutcome:
        """Wait at the store, and pass the outcome on to those that ask."""
        overdue_at = self._clock.now() + wait_s + WATCH_SLACK_S
        self._feed_log.begin(after, overdue_at)
        outcome = await self._store.async_follow(self._table, after, wait_s)
        self._feed_log.end(outcome, self._clock.now() + WATCH_SLACK_S)
        self._changed.set()
        self._changed = asyncio.Event()
        return outcome

    async def _async_ask_watchers(
        self, members: list[Member], after: int
    ) -> Changes | None:
        """Ask a watcher, and the next ones while they refuse at once.

        The time for a second one that gives no answer is not left.
        """
        while True:
            now = self._clock.now()
            watcher = self._watchers.next_watcher(members, now)
            if watcher is None:
                return None
            outcome = await self._async_ask(watcher, after)
            if isinstance(outcome, Changes):
                return outcome
            self._watchers.on_failure(watcher, self._clock.now())
            self._log.write(
                'watcher-failed', member=watcher.name, why=outcome.failure
            )
            if outcome.failure is StoreFailure.NOT_REACHED:
                return None

    async def _async_ask(
        self, watcher: Member, after: int
    ) -> Changes | NotDone:
        asked_at = self._clock.now()
        body = WANTED_CODEC.encode(ChangesWanted(self._table, after))
        answer = await self._calls.async_post(
            watcher, PATH_CHANGES, body, ASK_LIMIT_S
        )
        if answer is None:
            return NotDone(StoreFailure.NOT_REACHED)
        try:
            outcome = CHANGES_CODEC.decode(answer)
        except MalformedMessageError:
            return NotDone(StoreFailure.MALFORMED)
        if isinstance(outcome, Changes) and not outcome.rows:
            # An answer that comes too early must not cause calls without end.
            left_s = asked_at + ASK_S - self._clock.now()
            await asyncio.sleep(max(0.0, left_s))
        return outcome
