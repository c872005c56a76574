"""Follow the operators' configuration in the store."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from plantaingrade.config.entity import RoutingConfig
from plantaingrade.config.lookup import RouteTable
from plantaingrade.config.peers import ConfigPeers
from plantaingrade.errors import PlantaingradeError
from plantaingrade.eventlog import EventLog
from plantaingrade.listeners import notify_all
from plantaingrade.store.entity import (
    Changes,
    HistoryGone,
    NotDone,
    RangeRead,
    Row,
)
from plantaingrade.store.interface import Store
from plantaingrade.supervision.failures import report_failure

# Rows that come this soon after a wait began were there before it: a read of a
# slow store takes 0.31 s.
FOUND_AT_ONCE_S = 0.35
# Announcements of a version by others after which it is not announced again.
MAX_ANNOUNCEMENTS = 4
# Timeout after a call without a response, until a call gets one. A store that
# does not respond loses requests and may recover at any moment. With this
# timeout, the response time of a call and the maximum pause, it is called again
# within 2.3 s. The platform counts a store as recovered 3 s after its recovery,
# and a change must be active 2 s after that.
WAIT_AFTER_FAILURE_S = 0.5
# Pause after a call that the store refused, doubled up to the maximum since
# every call has a cost. A change must be active 2 s after it was made, and each
# process that has it announces its version with every request to a peer.
INITIAL_RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 0.8
# Pause after a change, so that several changes in quick succession cost one
# call. The platform allows 2 s until a change must be active.
CHANGE_PAUSE_S = 0.3
# Time for a change to arrive by the feed after a hint from another process: the
# pause after the previous change, and a call. All processes receive a change at
# about the same time; without this delay, hints from the first one would make
# all others read the row.
HINT_DELAY_S = 0.6
# Time after which the operators have rewritten the rows that a store restored
# from a backup lacks; all rows are then read again.
REREAD_DELAY_S = 10.0
# Limit on the length of a log line.
MAX_LOGGED_KINDS = 5

Decode = Callable[[bytes], RoutingConfig]
NEVER = float('inf')


class RowListener(Protocol):
    """Callback for the rows of the followed table."""

    def __call__(
        self, rows: tuple[Row, ...], *, is_full_read: bool, may_lack_rows: bool
    ) -> None:
        """Process the changed rows, or all rows on a full read.

        With ``may_lack_rows``, the store was restored from a backup: its last
        seconds are lost, and lost rows will be rewritten.
        """


class ConfigFollower:
    """Keeps the newest configuration; never reverts to an older one."""

    __slots__ = (
        '_announced_version',
        '_announcements',
        '_answered_at',
        '_decode',
        '_epoch',
        '_hinted',
        '_hinted_at',
        '_hinted_version',
        '_key',
        '_has_idle_wait',
        '_last_wait_failed',
        '_listeners',
        '_log',
        '_peers',
        '_reread_at',
        '_retry_pause_s',
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
        peers: ConfigPeers,
    ) -> None:
        """Create a follower of one row; ``decode`` parses its body.

        ``peers`` are told of new versions, and asked for the configuration
        while the store does not respond to this process.
        """
        self._peers = peers
        # How often others have told all of the newest such version.
        self._announcements = 0
        self._announced_version = 0
        # Whether the last wait for changes failed.
        self._last_wait_failed = False
        # Whether the last wait for changes ended without any.
        self._has_idle_wait = False
        # When the store last answered.
        self._answered_at = 0.0
        # Epoch of the store at the last full read.
        self._epoch: int | None = None
        self._reread_at = NEVER
        self._hinted = asyncio.Event()
        self._hinted_at = 0.0
        self._hinted_version = 0
        self._retry_pause_s = INITIAL_RETRY_PAUSE_S
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
        """Return the active version; 0 if there is none yet."""
        return 0 if self.config is None else self.config.version

    @property
    def is_behind(self) -> bool:
        """Return whether others have told of a newer version."""
        return self._hinted_version > self.version

    def add_listener(self, listener: Callable[[RoutingConfig], None]) -> None:
        """Add a callback for each new configuration."""
        self._listeners.append(listener)

    def add_row_listener(self, listener: RowListener) -> None:
        """Add a callback for the rows of each full read and each change."""
        self._row_listeners.append(listener)

    def on_hint(self, version: int) -> None:
        """Record the version that another process has active.

        The connection on which this process waits may be unresponsive. Each
        request from another process carries its version, so the wait ends soon
        after any process has a newer one.
        """
        if version <= max(self.version, self._hinted_version):
            return
        if not self.is_behind:
            self._hinted_at = _now()
        self._hinted_version = version
        self._hinted.set()

    def on_found(self, version: int, *, is_for_all: bool) -> None:
        """Record a version of which another process has told this one."""
        if is_for_all and version > self._announced_version:
            self._announced_version = version
            self._announcements = 0
        if is_for_all and version == self._announced_version:
            self._announcements += 1
        self.on_hint(version)

    async def async_run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            after = await self._async_read()
            if after is None:
                await self._async_ask_peers()
            while after is not None and not self._must_read():
                after = await self._async_wait(after)
            await self._async_pause()

    async def _async_wait(self, after: int) -> int | None:
        """Wait for changes, or until a hint shows that they are overdue."""
        loop = asyncio.get_running_loop()
        feed = loop.create_task(self._async_follow(after))
        hint = loop.create_task(self._async_wait_overdue())
        try:
            await asyncio.wait(
                (feed, hint), return_when=asyncio.FIRST_COMPLETED
            )
            if hint.done():
                hint.result()
            return feed.result() if feed.done() else after
        finally:
            await _async_cancel(feed, hint)

    async def _async_wait_overdue(self) -> None:
        while not self._is_overdue():
            await self._hinted.wait()
            await asyncio.sleep(HINT_DELAY_S)

    def _must_read(self) -> bool:
        return self._is_overdue() or _now() >= self._reread_at

    def _is_overdue(self) -> bool:
        """Return whether the feed is late with a version that peers have."""
        is_late = _now() - self._hinted_at >= HINT_DELAY_S
        return is_late and self.is_behind

    def _on_progress(self) -> None:
        """Restart the delay: the feed has just delivered a change."""
        self._hinted_at = _now()
        if not self.is_behind:
            self._hinted.clear()

    async def _async_ask_peers(self) -> None:
        body = await self._peers.async_ask()
        if body:
            self._activate(body, source='peer')

    async def _async_read(self) -> int | None:
        before = self.version
        outcome = await self._store.async_read(self._table, '')
        if not isinstance(outcome, RangeRead):
            self._log.write('config-not-read', why=outcome.failure)
            return None
        may_lack_rows = self._epoch is not None and outcome.epoch > self._epoch
        self._epoch = outcome.epoch
        self._reread_at = _now() + REREAD_DELAY_S if may_lack_rows else NEVER
        self._on_rows(
            outcome.rows, is_full_read=True, may_lack_rows=may_lack_rows
        )
        self._answered_at = _now()
        self._tell_peers(before, is_late=True)
        return outcome.version

    async def _async_follow(self, after: int) -> int | None:
        """Wait for changes once; return the version to continue from.

        A wait sent while the store was unresponsive is lost, which is noticed
        only when it times out.
        """
        wait_s = self._wait_timeout_s()
        began = _now()
        outcome = await self._store.async_follow(self._table, after, wait_s)
        self._last_wait_failed = isinstance(outcome, NotDone)
        match outcome:
            case Changes(rows=rows, version=version):
                self._retry_pause_s = INITIAL_RETRY_PAUSE_S
                if rows:
                    self._on_changes(rows, began)
                self._has_idle_wait = not rows
                self._answered_at = _now()
                await asyncio.sleep(CHANGE_PAUSE_S if rows else 0)
                return version
            case HistoryGone():
                self._log.write('config-history-gone', after=after)
                return None
            case NotDone(failure=failure):
                self._log.write(
                    'config-feed-failed',
                    why=failure,
                    after=after,
                    waited_s=round(_now() - began, 2),
                )
                self._has_idle_wait = True
                await self._async_pause()
                return after

    def _wait_timeout_s(self) -> float:
        if self._last_wait_failed:
            return WAIT_AFTER_FAILURE_S
        now = _now()
        store_now_s = self._store.clock.estimate(now)
        return self._peers.wait_turn.wait_s(store_now_s or now)

    def _on_changes(self, rows: tuple[Row, ...], began: float) -> None:
        """Apply changed rows.

        A change that a new wait finds at once came while no wait of this
        process would have received it, and those of others may be lost too.
        """
        before = self.version
        self._on_rows(rows, is_full_read=False)
        is_found_at_once = _now() - began <= FOUND_AT_ONCE_S
        self._tell_peers(
            before, is_late=self._has_idle_wait and is_found_at_once
        )

    def _tell_peers(self, before: int, *, is_late: bool) -> None:
        """Tell others if the version is newer than ``before``.

        With ``is_late`` all may be missing it, else those with a lost wait.
        """
        if not before or self.version == before:
            return
        is_announced = (
            self._announced_version >= self.version
            and self._announcements >= MAX_ANNOUNCEMENTS
        )
        if is_late and not is_announced:
            self._log.write('config-announced', version=self.version)
            self._peers.tell_all(self.version)
        else:
            self._peers.tell_some(self.version)

    async def _async_pause(self) -> None:
        """Pause before the next call, longer after each failure."""
        pause_s = self._retry_pause_s
        self._retry_pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
        await asyncio.sleep(pause_s)

    def _on_rows(
        self,
        rows: tuple[Row, ...],
        *,
        is_full_read: bool,
        may_lack_rows: bool = False,
    ) -> None:
        for row in rows:
            if row.name.key == self._key and not row.is_deleted:
                self._activate(row.body, source='store')
        self._notify(
            self._row_listeners,
            rows,
            is_full_read=is_full_read,
            may_lack_rows=may_lack_rows,
        )

    def _activate(self, body: bytes, source: str) -> None:
        """Activate a configuration if it is valid and newer."""
        try:
            config = self._decode(body)
            if config.version <= self.version:
                return
            routes = RouteTable(config)
        except PlantaingradeError as error:
            self._log.write('config-rejected', source=source, why=str(error))
            return
        except Exception as error:
            self._log.write('config-rejected', source=source, why=repr(error))
            report_failure('config-decoder', error)
            return
        self._log.write(
            'config-in-force',
            version=config.version,
            before=self.version,
            source=source,
            routes=len(config.routes),
            answered_s_ago=round(_now() - self._answered_at, 2),
        )
        if config.unknown_kind_by_route:
            self._log.write(
                'config-unknown-kind',
                version=config.version,
                kinds=sorted(set(config.unknown_kind_by_route.values()))[
                    :MAX_LOGGED_KINDS
                ],
                routes=len(config.unknown_kind_by_route),
            )
        self.config = config
        self.routes = routes
        self._on_progress()
        self._notify(self._listeners, config)

    def _notify(
        self,
        listeners: Iterable[Callable[..., None]],
        *args: Any,
        **options: Any,
    ) -> None:
        """Call all listeners; none of them may end the follower."""
        try:
            notify_all(listeners, *args, **options)
        except Exception as error:
            report_failure('config-listener', error)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _async_cancel(*tasks: asyncio.Task) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
