"""Monitor the incarnations of the local backend server."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from plantaingrade.admission.named import NamedAllowance
from plantaingrade.backends.incarnation import (
    IncarnationChange,
    IncarnationTracker,
)
from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
    ServerIncarnation,
)
from plantaingrade.clock import Clock
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.orders import ServerOrders
from plantaingrade.sidecar.const import INITIAL_SLOTS
from plantaingrade.sidecar.server_notices import ServerNotices
from plantaingrade.supervision.jobs import start_job


class OwnServer(Struct, frozen=True):
    """The local backend server as given in the settings."""

    service: str
    address: str

    def matches(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is from this server.

        Another program may send heartbeats, or a server that was started at
        another address.
        """
        return (
            heartbeat.service == self.service
            and heartbeat.address == self.address
        )


class IncarnationHooks(Struct, frozen=True):
    """Callbacks for changes of the server.

    ``on_new_incarnation`` is called for each new incarnation, ``on_leaving``
    when the current one starts to drain, ``on_slots`` with its number of slots
    after each report, and ``on_cold`` with the time until which it is cold,
    whenever it reports one.
    """

    on_new_incarnation: Callable[[], None]
    on_leaving: Callable[[], None]
    on_slots: Callable[[int], None]
    on_cold: Callable[[float], None]


class ServerWatch:
    """Acts on heartbeats, and asks the server for its id when it is unclear."""

    __slots__ = (
        '_clock',
        '_config',
        '_hooks',
        '_limit',
        '_tracker',
        '_log',
        '_orders',
        '_server',
        '_verify_task',
        'notices',
    )

    def __init__(
        self,
        server: OwnServer,
        tracker: IncarnationTracker,
        limit: NamedAllowance,
        orders: ServerOrders,
        hooks: IncarnationHooks,
        config: ConfigFollower,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Monitor one server."""
        self._server = server
        self._tracker = tracker
        self._limit = limit
        self._orders = orders
        self._hooks = hooks
        self._config = config
        self._clock = clock
        self._log = log
        self._verify_task: asyncio.Task[None] | None = None
        self.notices = ServerNotices(tracker, limit, clock, log, self._apply)

    @property
    def leaving_incarnation(self) -> ServerIncarnation | None:
        """Return the current incarnation if it leaves."""
        return self._tracker.leaving_incarnation

    def on_report(self, report: Heartbeat | Farewell) -> bool:
        """Apply a report; return whether it was from this server."""
        now = self._clock.now()
        match report:
            case Heartbeat():
                if not self._server.matches(report):
                    return False
                self._apply(self._tracker.on_heartbeat(report, now))
                self._hooks.on_cold(self._tracker.cold_until)
            case Farewell(incarnation):
                self._log.write(
                    'server-farewell',
                    instance=incarnation.instance,
                    born=incarnation.born_ms,
                )
                self._apply(self._tracker.on_farewell(report, now))
        if self._tracker.slots:
            self._hooks.on_slots(self._tracker.slots)
        return True

    def verify(self, instance: str) -> None:
        """Ask the server for its id, unless that is already under way."""
        if self._verify_task is not None and not self._verify_task.done():
            return
        self._log.write(
            'server-life-doubted',
            known=self._tracker.instance,
            named=instance,
        )
        self._verify_task = start_job('server-identity', self.async_identify())

    async def async_identify(self) -> None:
        """Ask the server for its id instead of waiting for a heartbeat."""
        config = self._config.config
        service = config and config.service_by_name.get(self._server.service)
        if not service:
            return
        presence = await self._orders.async_ask_presence(service.health_path)
        if presence is None:
            return
        now = self._clock.now()
        if presence.cold_s is not None:
            # Called first, as a new incarnation may get work at once.
            self._hooks.on_cold(now + presence.cold_s)
        self._apply(self._tracker.on_identified(presence.instance, now))
        self.notices.on_health_notice(presence.notice)

    def stop(self) -> None:
        """Cancel a request for the id that is under way."""
        if self._verify_task is not None:
            self._verify_task.cancel()

    def _apply(self, change: IncarnationChange) -> None:
        if change.is_new_incarnation:
            self._limit.on_new_incarnation()
            self._log_incarnation('server-life')
            self._hooks.on_slots(self._tracker.slots or INITIAL_SLOTS)
            self._hooks.on_new_incarnation()
        if change.is_leaving:
            self._log_incarnation('server-leaves')
            self._hooks.on_leaving()
        if change.must_verify:
            self.verify(change.must_verify)

    def _log_incarnation(self, event: str) -> None:
        incarnation = self._tracker.current
        self._log.write(
            event, instance=incarnation.instance, born=incarnation.born_ms
        )
