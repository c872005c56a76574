"""The background tasks of one process, and whether all of them run."""

import asyncio

from plantaingrade.backends.incarnation import IncarnationTracker
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.config.entity import ServiceConfig
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.operators.desired_states import DesiredStates
from plantaingrade.peers.coordinator import PeerCoordinator
from plantaingrade.sidecar.const import CONFIG_POLL_S
from plantaingrade.sidecar.server_watch import ServerWatch
from plantaingrade.supervision.coordinator import Supervisor


class BackgroundTasks:
    """Follows the configuration, then joins the members and holds keys."""

    __slots__ = (
        '_balance',
        '_config',
        '_desired_states',
        '_has_started_holds',
        '_holds',
        '_peers',
        '_server_watch',
        '_supervisor',
        '_tracker',
    )

    def __init__(
        self,
        supervisor: Supervisor,
        config: ConfigFollower,
        peers: PeerCoordinator,
        holds: HoldCoordinator,
        balance: BalanceCoordinator,
        server_watch: ServerWatch,
        tracker: IncarnationTracker,
        desired_states: DesiredStates,
    ) -> None:
        """Start nothing yet."""
        self._supervisor = supervisor
        self._config = config
        self._peers = peers
        self._holds = holds
        self._balance = balance
        self._server_watch = server_watch
        self._tracker = tracker
        self._desired_states = desired_states
        self._has_started_holds = False

    def start(self) -> None:
        """Start to follow the configuration, and to join once it is known."""
        self._supervisor.start('config', self._config.async_run)
        self._supervisor.start('membership', self._async_join)

    @property
    def failing_names(self) -> list[str]:
        """Return the names of the tasks that are failing."""
        held = self._holds.supervisor.failing_names
        return self._supervisor.failing_names + held

    @property
    def are_following(self) -> bool:
        """Return whether the process is a member and follows all changes."""
        has_joined = self._config.config is not None and self._peers.has_joined
        return has_joined and not self.failing_names

    def on_joined(self) -> None:
        """Introduce this member once it holds a lease."""
        self._supervisor.start('introduction', self._peers.async_introduce)

    def on_store_epoch(self) -> None:
        """Write what a restored store lacks, once this process is a member."""
        if self._peers.has_joined:
            self._supervisor.start('epoch', self._peers.async_begin_epoch)
            self._supervisor.start(
                'desired-states', self._desired_states.async_restore_all
            )

    async def _async_join(self) -> None:
        """Join once a configuration is known, and stay a member."""
        service = await self._async_own_service()
        is_keyed = service is not None and service.is_keyed
        if service is not None and not self._tracker.instance:
            await self._server_watch.async_identify()
        if is_keyed and not self._has_started_holds:
            self._has_started_holds = True
            self._supervisor.start('holds', self._holds.async_run)
            self._supervisor.start('balance', self._balance.async_run)
        await self._peers.async_join(is_keyed=is_keyed)
        await self._peers.async_run()

    async def _async_own_service(self) -> ServiceConfig | None:
        """Return the own service once a configuration is known."""
        while self._config.config is None:
            await asyncio.sleep(CONFIG_POLL_S)
        name = self._peers.own.service
        return self._config.config.service_by_name.get(name)
