"""Follow the backend server beside this process through its lives."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from plantaingrade.backends.incarnation import (
    IncarnationTracker,
    IncarnationChange,
)
from plantaingrade.backends.report import Farewell, Heartbeat
from plantaingrade.clock import Clock
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.orders import ServerOrders
from plantaingrade.sidecar.const import FIRST_SLOTS


class OwnServer(Struct, frozen=True):
    """The server beside this process, as the settings name it."""

    service: str
    address: str

    def is_named_by(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat is of this server.

        Another writer may send them, or a server that was started at another
        address.
        """
        return (
            heartbeat.service == self.service
            and heartbeat.address == self.address
        )


class LifeHooks(Struct, frozen=True):
    """What is told of the server's lives.

    ``on_new_life`` is told of each new one, ``on_leaving`` that the present
    one leaves, ``on_slots`` how many slots it has, with each report, and
    ``on_cold`` until when it is cold, whenever it says so.
    """

    on_new_life: Callable[[], None]
    on_leaving: Callable[[], None]
    on_slots: Callable[[int], None]
    on_cold: Callable[[float], None]


class ServerWatch:
    """Act on heartbeats, and ask the server who it is when in doubt."""

    __slots__ = (
        '_clock',
        '_config',
        '_hooks',
        '_life',
        '_log',
        '_orders',
        '_server',
        '_verifying',
    )

    def __init__(
        self,
        server: OwnServer,
        incarnation: IncarnationTracker,
        orders: ServerOrders,
        hooks: LifeHooks,
        config: ConfigFollower,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Follow one server."""
        self._server = server
        self._life = incarnation
        self._orders = orders
        self._hooks = hooks
        self._config = config
        self._clock = clock
        self._log = log
        self._verifying: asyncio.Task[None] | None = None

    def on_report(self, report: Heartbeat | Farewell) -> bool:
        """Take what the server reports; tell whether it was of this server."""
        now = self._clock.now()
        match report:
            case Heartbeat():
                if not self._server.is_named_by(report):
                    return False
                self._follow(self._life.on_heartbeat(report, now))
                self._hooks.on_cold(self._life.cold_until)
            case Farewell(incarnation):
                self._log.write(
                    'server-farewell',
                    instance=incarnation.instance,
                    born=incarnation.born_ms,
                )
                self._follow(self._life.on_farewell(report, now))
        if self._life.slots:
            self._hooks.on_slots(self._life.slots)
        return True

    def verify(self, instance: str) -> None:
        """Ask the server which life it is, once at a time."""
        if self._verifying is not None and not self._verifying.done():
            return
        self._log.write(
            'server-life-doubted',
            known=self._life.instance,
            named=instance,
        )
        loop = asyncio.get_running_loop()
        self._verifying = loop.create_task(self.async_ask())

    async def async_ask(self) -> None:
        """Ask the server who it is, rather than wait for a heartbeat."""
        config = self._config.config
        service = config and config.service_by_name.get(self._server.service)
        if not service:
            return
        presence = await self._orders.async_ask_presence(service.health_path)
        if presence is None:
            return
        now = self._clock.now()
        if presence.cold_s is not None:
            # Told first: with a new life, work may go to it at once.
            self._hooks.on_cold(now + presence.cold_s)
        self._follow(self._life.on_identified(presence.instance, now))

    def stop(self) -> None:
        """Stop asking."""
        if self._verifying is not None:
            self._verifying.cancel()

    def _follow(self, change: IncarnationChange) -> None:
        if change.is_new_life:
            self._log_life('server-life')
            self._hooks.on_slots(self._life.slots or FIRST_SLOTS)
            self._hooks.on_new_life()
        if change.is_leaving:
            self._log_life('server-leaves')
            self._hooks.on_leaving()
        if change.must_verify:
            self.verify(change.must_verify)

    def _log_life(self, event: str) -> None:
        incarnation = self._life.present
        self._log.write(
            event, instance=incarnation.instance, born=incarnation.born_ms
        )
