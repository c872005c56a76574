"""Follow the operator's configuration."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from plantaingrade.config.entity import RoutingConfig
from plantaingrade.config.lookup import RouteTable
from plantaingrade.errors import PlantaingradeError
from plantaingrade.eventlog import EventLog
from plantaingrade.store.entity import (
    Changes,
    HistoryGone,
    NotDone,
    RangeRead,
    Row,
)
from plantaingrade.store.interface import Store

# Length of one wait for changes; the platform allows 30 s. A wait that hears
# nothing is ended by the word of another process. The more there are, the
# sooner one of them hears of a change, and the more of them speak to each: so
# the waits grow with their number.
WAIT_S = 10.0
WAIT_S_PER_MEMBER = 0.1
MAX_WAIT_S = 25.0
# The same after a call that was not answered, until one is. A store that is
# silent loses what is sent to it, and is back at any moment: with this, the
# answer time of a call and the longest pause it is asked again within 2.3 s,
# and a change must be in force 2 s after the platform counts the store as back,
# which is 3 s after its return.
DOUBTFUL_WAIT_S = 0.5
# Pause after a call that the store refused, doubled up to the second figure:
# each call has its price. A change must be in force 2 s after it was made, and
# any process that knows it tells the others with each request.
RETRY_S = 0.2
MAX_RETRY_S = 0.8
# Pause after a change: several changes in quick succession then cost one call.
# The platform gives 2 s until a change must be in force.
SETTLE_S = 0.3
# Time for a change to arrive by the feed after another process has told of it:
# the pause after the change before, and a call. All processes hear of a change
# at about the same time, and the first to act on it would else make all
# others read the row.
HINT_PAUSE_S = 0.6
# A store that came back from a copy has all rows of the operators again after
# this time; they are then read once more.
REWRITTEN_S = 10.0

Decode = Callable[[bytes], RoutingConfig]
NEVER = float('inf')


class RowListener(Protocol):
    """Listener to the rows of the followed table."""

    def __call__(
        self, rows: tuple[Row, ...], *, is_whole: bool, may_lack: bool
    ) -> None:
        """Take rows that have changed, or all that there are.

        What the store ``may_lack`` was lost with its last seconds, and will be
        written again.
        """


class ConfigFollower:
    """Keep the newest configuration; never go back to an older one."""

    __slots__ = (
        '_ask_peers',
        '_count_members',
        '_decode',
        '_epoch',
        '_has_doubt',
        '_hinted',
        '_hinted_at',
        '_hinted_version',
        '_key',
        '_listeners',
        '_log',
        '_reread_at',
        '_retry_s',
        '_row_listeners',
        '_store',
        '_table',
        'config',
        'routes',
    )

    def __init__(
        self,
        store: Store,
        table: str,
        key: str,
        decode: Decode,
        log: EventLog,
        ask_peers: Callable[[], Awaitable[bytes | None]],
        count_members: Callable[[], int] = int,
    ) -> None:
        """Follow one row, whose body ``decode`` understands.

        ``ask_peers`` returns the configuration of another process, for when
        the store does not answer this one; ``count_members`` how many
        processes are known.
        """
        self._count_members = count_members
        self._ask_peers = ask_peers
        # Whether the last wait for changes had no answer.
        self._has_doubt = False
        # Epoch of the store at the last reading of all rows.
        self._epoch: int | None = None
        self._reread_at = NEVER
        self._hinted = asyncio.Event()
        self._hinted_at = 0.0
        self._hinted_version = 0
        self._retry_s = RETRY_S
        self._store = store
        self._table = table
        self._key = key
        self._decode = decode
        self._log = log
        self._listeners: list[Callable[[RoutingConfig], None]] = []
        self._row_listeners: list[RowListener] = []
        self.config: RoutingConfig | None = None
        self.routes: RouteTable | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return 0 if self.config is None else self.config.version

    def add_listener(self, listener: Callable[[RoutingConfig], None]) -> None:
        """Call back after each change."""
        self._listeners.append(listener)

    def add_row_listener(self, listener: RowListener) -> None:
        """Have all rows of the table told, and whether those are all it has."""
        self._row_listeners.append(listener)

    def on_hint(self, version: int) -> None:
        """Take the word of another process that a version is in force.

        The connection on which this process waits may have gone silent. Every
        request of another process brings its version, so the wait ends soon
        after anybody knows more.
        """
        if version <= max(self.version, self._hinted_version):
            return
        if not self._is_behind():
            self._hinted_at = _now()
        self._hinted_version = version
        self._hinted.set()

    async def async_run(self) -> None:
        """Follow until cancelled."""
        while True:
            after = await self._async_read()
            if after is None:
                await self._async_ask_peers()
            while after is not None and not self._must_read():
                after = await self._async_wait(after)
            await self._async_pause()

    async def _async_wait(self, after: int) -> int | None:
        """Wait for changes, or for word of them from another process."""
        loop = asyncio.get_running_loop()
        feed = loop.create_task(self._async_follow(after))
        hint = loop.create_task(self._async_wait_overdue())
        try:
            await asyncio.wait(
                (feed, hint), return_when=asyncio.FIRST_COMPLETED
            )
            return feed.result() if feed.done() else after
        finally:
            await _async_cancel(feed, hint)

    async def _async_wait_overdue(self) -> None:
        while not self._is_overdue():
            await self._hinted.wait()
            await asyncio.sleep(HINT_PAUSE_S)

    def _must_read(self) -> bool:
        return self._is_overdue() or _now() >= self._reread_at

    def _is_behind(self) -> bool:
        return self._hinted_version > self.version

    def _is_overdue(self) -> bool:
        """Tell whether the feed has not brought what others go by."""
        is_late = _now() - self._hinted_at >= HINT_PAUSE_S
        return is_late and self._is_behind()

    def _note_progress(self) -> None:
        """Give the feed time anew: it has just brought a change."""
        self._hinted_at = _now()
        if not self._is_behind():
            self._hinted.clear()

    async def _async_ask_peers(self) -> None:
        body = await self._ask_peers()
        if body:
            self._take_config(body, source='peer')

    async def _async_read(self) -> int | None:
        outcome = await self._store.async_read(self._table, '')
        if not isinstance(outcome, RangeRead):
            self._log.write('config-not-read', why=outcome.failure)
            return None
        may_lack = self._epoch is not None and outcome.epoch > self._epoch
        self._epoch = outcome.epoch
        self._reread_at = _now() + REWRITTEN_S if may_lack else NEVER
        self._take(outcome.rows, is_whole=True, may_lack=may_lack)
        return outcome.version

    async def _async_follow(self, after: int) -> int | None:
        """Wait for changes once; return the version to go on from.

        A wait that was sent while the store was silent is lost, and nothing
        tells so before it is over.
        """
        wait_s = self._wait_s()
        outcome = await self._store.async_follow(self._table, after, wait_s)
        self._has_doubt = isinstance(outcome, NotDone)
        match outcome:
            case Changes(rows=rows, version=version):
                self._retry_s = RETRY_S
                if rows:
                    self._take(rows, is_whole=False)
                    await asyncio.sleep(SETTLE_S)
                return version
            case HistoryGone():
                self._log.write('config-history-gone', after=after)
                return None
            case NotDone(failure=failure):
                self._log.write('config-feed-failed', why=failure, after=after)
                await self._async_pause()
                return after

    def _wait_s(self) -> float:
        if self._has_doubt:
            return DOUBTFUL_WAIT_S
        grown_s = WAIT_S + WAIT_S_PER_MEMBER * self._count_members()
        return min(MAX_WAIT_S, grown_s)

    async def _async_pause(self) -> None:
        """Leave the store alone for a while, longer after each failure."""
        pause_s = self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2 * pause_s)
        await asyncio.sleep(pause_s)

    def _take(
        self, rows: tuple[Row, ...], *, is_whole: bool, may_lack: bool = False
    ) -> None:
        for listener in self._row_listeners:
            listener(rows, is_whole=is_whole, may_lack=may_lack)
        for row in rows:
            if row.name.key == self._key and not row.is_deleted:
                self._take_config(row.body, source='store')

    def _take_config(self, body: bytes, source: str) -> None:
        """Put a configuration in force, unless it cannot be used."""
        try:
            config = self._decode(body)
        except PlantaingradeError as error:
            self._log.write('config-rejected', source=source, why=str(error))
            return
        if config.version <= self.version:
            return
        self._log.write(
            'config-in-force',
            version=config.version,
            before=self.version,
            source=source,
            routes=len(config.routes),
        )
        self.config = config
        self.routes = RouteTable(config)
        self._note_progress()
        for listener in self._listeners:
            listener(config)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _async_cancel(*tasks: asyncio.Task) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
