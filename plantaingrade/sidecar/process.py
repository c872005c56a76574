"""The sidecar process of one backend server, from start to shutdown."""

import os
from types import TracebackType

from plantaingrade.addresses import split_address
from plantaingrade.admission.gate import Gate
from plantaingrade.admission.service_retries import ServiceRetryBudget
from plantaingrade.backends.incarnation import IncarnationTracker
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.balance.service_peers import ServicePeers
from plantaingrade.clock import Clock
from plantaingrade.config.evacuations import Evacuations
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.coordinator import HoldCoordinator, MemberLinks
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.operators.api import OperatorApi
from plantaingrade.operators.queries import LocalState
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.coordinator import PeerCoordinator, PeerHooks
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.coordinator import RequestCoordinator
from plantaingrade.requests.hop import KnownVersions
from plantaingrade.requests.peer_path import PeerPath
from plantaingrade.requests.server_exchange import ServerCodec, ServerHooks
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.requests.targets import TargetChooser
from plantaingrade.sidecar.adapter import PlatformAdapter
from plantaingrade.sidecar.background import BackgroundTasks
from plantaingrade.sidecar.config_applier import ConfigApplier
from plantaingrade.sidecar.config_peers import MemberConfigPeers
from plantaingrade.sidecar.const import (
    FINISH_FRACTION,
    INITIAL_SLOTS,
)
from plantaingrade.sidecar.control import ControlHandler
from plantaingrade.sidecar.endpoints import (
    CallerEndpoint,
    MetricsEndpoint,
    ReadinessEndpoint,
    ReportEndpoint,
)
from plantaingrade.sidecar.evacuation import ServerEvacuation
from plantaingrade.sidecar.gauges import GaugeSources, register_gauges
from plantaingrade.sidecar.http_servers import HttpServers
from plantaingrade.sidecar.instance_bytes import InstanceBytes
from plantaingrade.sidecar.metrics import Metrics
from plantaingrade.sidecar.peer_endpoint import PeerEndpoint
from plantaingrade.sidecar.pools import Pools
from plantaingrade.sidecar.read_ahead import make_read_ahead
from plantaingrade.sidecar.server_watch import (
    IncarnationHooks,
    OwnServer,
    ServerWatch,
)
from plantaingrade.sidecar.settings import InstanceSettings, ProcessOptions
from plantaingrade.sidecar.shutdown import GracefulShutdown
from plantaingrade.sidecar.store_access import StoreAccess
from plantaingrade.store.counting import CountingStore
from plantaingrade.supervision.coordinator import Supervisor

BOOT_BYTES = 4
DEFAULT_OPTIONS = ProcessOptions()


class Process:
    """Creates, connects, starts and stops all parts of a process."""

    def __init__(
        self,
        settings: InstanceSettings,
        adapter: PlatformAdapter,
        clock: Clock,
        log: EventLog,
        options: ProcessOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Create and connect the parts without opening any socket."""
        self._options = options
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._log = log
        self._supervisor = Supervisor(settings.name)
        self._servers = HttpServers(clock)
        self._is_shutting_down = False
        self._build_state()
        self._build_paths()
        self._build_endpoints()

    async def __aenter__(self) -> 'Process':
        """Open the listeners and start the background tasks."""
        await self._async_listen()
        self._background.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all tasks and close all connections."""
        self._server_watch.stop()
        self._server_evacuation.stop()
        await self._supervisor.__aexit__(kind, error, trace)
        await self._servers.async_close()
        self._peers.endpoint.close()
        self._orders.close()
        self._pools.close()

    @property
    def is_ready(self) -> bool:
        """Return whether this process accepts requests of callers."""
        return self._background.are_following and not self._is_shutting_down

    async def async_shut_down(self) -> None:
        """Shut down within the platform's grace period."""
        self._is_shutting_down = True
        self._servers.end_connections()
        await self._shutdown.async_run()

    @property
    def config_version(self) -> int:
        """Return the version of the active configuration."""
        return self._config.version

    @property
    def instance_bytes(self) -> InstanceBytes:
        """Return the limits of the bytes that are held for others."""
        return self._bytes

    @property
    def busy(self) -> int:
        """Return how many requests are being served."""
        return self._servers.busy

    def _build_state(self) -> None:
        settings = self._settings
        # An address may be reused by an instance of another service, so the
        # member name includes the service.
        self._own = Member(
            f'{settings.service}@{settings.ip}',
            settings.service,
            settings.zone,
            settings.listeners.peers,
            os.urandom(BOOT_BYTES).hex(),
        )
        source = settings.ip if self._options.binds_source else None
        self._pools = Pools(self._clock, source)
        self._metrics = Metrics()
        self._log.set_event_callback(self._metrics.on_event)
        self._direct_store = CountingStore(
            self._adapter.make_store(self._pools.store),
            self._metrics.on_event,
            self._log,
        )
        self._direct_store.epochs.listen(self._on_store_epoch)
        self._orders = self._adapter.make_orders(self._pools.orders)
        self._bytes = InstanceBytes.from_settings(settings, self._clock)
        self._maps = KeyMaps()
        self._directory = Directory()
        self._loads = PeerLoads()
        self._tracker = IncarnationTracker(
            settings.bounds.drain_s * FINISH_FRACTION
        )
        self._calls = PeerCalls(
            self._own,
            self._directory,
            self._pools.peers,
            self._clock,
            self._log,
        )
        self._store_access = StoreAccess.from_parts(
            self._own,
            self._direct_store,
            self._directory,
            self._calls,
            self._clock,
            self._log,
        )
        self._peers = PeerCoordinator(
            self._own,
            self._directory,
            self._maps,
            self._direct_store,
            self._calls,
            self._clock,
            self._log,
            self._loads,
            PeerHooks(
                self._service_names,
                lambda desired: self._operators.desired_states.apply(desired),
                lambda digests: self._server_path.record_crash(digests),
                lambda kind, priority: self._bytes.delay(
                    self._server_path.free_capacity(kind, priority), kind
                ),
                lambda found: self._config.on_found(
                    found.version, is_for_all=found.is_for_all
                ),
            ),
        )
        config_peers = MemberConfigPeers(
            self._own, self._directory, self._calls, self._peers.announcer
        )
        self._config = config_peers.make_follower(
            self._adapter, self._direct_store, self._log
        )
        self.holds = HoldCoordinator(
            self._store_access.relayed,
            self._maps,
            self._own,
            self._tracker,
            self._orders,
            self._clock,
            self._log,
            MemberLinks(
                self._peers,
                self._peers.witnesses,
                lambda: self._background.on_joined(),
                self._store_access.shared_renewals,
                self._peers.map_turns,
                lambda service: self._peers.map_follower.async_fetch_nearby(
                    service, self._own
                ),
            ),
            starts_with_all=settings.starts_with_all,
        )
        self._maps.listen(lambda service, _: self.holds.on_map(service))
        self._evacuations = Evacuations(self._adapter.evacuation_prefix)
        self._config.add_row_listener(self._evacuations.on_rows)

    def _build_paths(self) -> None:
        self._gate = Gate.from_slots(INITIAL_SLOTS, self._clock)
        self._limits = self._gate.queue.limits
        self._balance = BalanceCoordinator(
            self._own,
            self.holds,
            self._tracker,
            self._gate.queue,
            ServicePeers(
                self._own, self.holds.registry, self._directory, self._loads
            ),
            self._calls,
            self._peers,
            self._clock,
            self._log,
        )
        server_codec = ServerCodec(
            self._settings.backend,
            self._adapter.encode_to_server,
            self._adapter.decode_reply,
        )
        self._server_path = ServerPath(
            server_codec,
            self._tracker,
            self.holds,
            self._gate,
            self._pools.server,
            self._bytes.budget,
            self._clock,
            self._log,
            ServerHooks(
                self._is_keyed,
                lambda instance: self._server_watch.verify(instance),
                self._balance.observe,
                self._peers.announce_crash,
                lambda response: self._server_watch.notices.on_response(
                    response
                ),
            ),
        )
        peer_path = PeerPath(
            self._directory,
            self._loads,
            self._pools.peers,
            self._bytes.budget,
            self._clock,
            self._known_versions,
            self._server_path.end,
            self._log,
        )
        targets = TargetChooser(
            self._own,
            self._directory,
            self._maps,
            self._clock,
            self._peers.map_follower.pull,
            self._peers.look_up,
            self._load_of,
            self._peers.capacity_queries.async_ask,
            lambda: self._evacuations.zones,
        )
        bounds = self._settings.bounds
        self._requests = RequestCoordinator(
            self._own,
            self._config,
            targets,
            self._server_path,
            peer_path,
            ServiceRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            ),
            self._clock,
            self._log,
            self._metrics.on_request,
        )

    def _build_endpoints(self) -> None:
        self._server_watch = ServerWatch(
            OwnServer(self._own.service, self._settings.backend),
            self._tracker,
            self._limits.named,
            self._orders,
            IncarnationHooks(
                self._on_new_incarnation,
                self._on_leaving,
                self._gate.resize,
                self._limits.cold.mark_cold_until,
            ),
            self._config,
            self._clock,
            self._log,
        )
        self._orders.listen_to_notices(
            self._server_watch.notices.on_order_notice
        )
        self._server_evacuation = ServerEvacuation(
            self._server_path,
            self._balance,
            self._server_watch.async_identify,
            lambda: self._tracker.accepts_work and not self._is_shutting_down,
            self._own.zone,
            self._settings.bounds.evacuate_s,
            self._supervisor,
            self._log,
        )
        self._evacuations.subscribe(self._server_evacuation.on_evacuations)
        self._caller_endpoint = CallerEndpoint(
            self._requests,
            self._adapter.decode_request,
            self._adapter.answer_headers,
            self._clock,
            self._bytes.budget,
            self._log,
        )
        self._read_ahead = make_read_ahead(
            self._requests,
            self._caller_endpoint.buffer_budget,
            self._adapter.decode_request,
            self._log,
        )
        self._operators = OperatorApi.from_state(
            LocalState(
                self._own,
                self._directory,
                self._maps,
                self._loads,
                self._config,
                self._clock,
            ),
            self.holds,
            self._calls,
            self._direct_store,
            lambda: self._tracker.current,
            self._server_evacuation.on_desired_state,
        )
        self._background = BackgroundTasks(
            self._supervisor,
            self._config,
            self._peers,
            self.holds,
            self._balance,
            self._server_watch,
            self._tracker,
            self._operators.desired_states,
        )
        self._peer_endpoint = PeerEndpoint(
            self._settings.service,
            self._server_path,
            self._server_watch,
            self._clock,
            ControlHandler(
                self._peers,
                self.holds,
                self._balance,
                self._config,
                self._store_access.relay_handler,
                self._operators,
            ).async_handle,
            self._balance.load,
            self._on_known,
            self._bytes,
            self._log,
        )
        self._readiness_endpoint = ReadinessEndpoint(lambda: self.is_ready)
        self._report_endpoint = ReportEndpoint(
            self._adapter.decode_report, self._server_watch.on_report, self._log
        )
        self._metrics_endpoint = MetricsEndpoint(self._metrics.to_text)
        register_gauges(
            self._metrics,
            GaugeSources(
                self._gate.queue,
                self._balance,
                self._config,
                self.holds.registry,
                self._server_path,
                self._peers.map_turns,
                self._bytes,
                self._read_ahead.totals,
                lambda: self._background.failing_names,
                self._clock,
            ),
        )
        self._shutdown = GracefulShutdown(
            self.holds,
            self._balance,
            self._peers,
            self._server_path,
            self._caller_endpoint,
            self._settings.bounds.stop_grace_s,
            lambda: self.busy,
            self._clock,
            self._log,
        )

    async def _async_listen(self) -> None:
        listeners = self._settings.listeners
        caller_server = await self._servers.async_listen(
            listeners.callers,
            self._caller_endpoint.async_handle,
            self._read_ahead,
        )
        applier = ConfigApplier(
            self._own.service,
            self._settings.bounds,
            caller_server,
            self._caller_endpoint,
            self._limits.cold,
        )
        self._config.add_listener(applier.apply)
        peers_bind = self._options.peers_bind or listeners.peers
        serve_by_address = {
            peers_bind: self._peer_endpoint.async_handle,
            listeners.ready: self._readiness_endpoint.async_handle,
            listeners.reports: self._report_endpoint.async_handle,
            listeners.metrics: self._metrics_endpoint.async_handle,
        }
        for address, serve in serve_by_address.items():
            await self._servers.async_listen(address, serve)
        await self._peers.endpoint.async_open(*split_address(peers_bind))

    def _on_leaving(self) -> None:
        """Move what the leaving server has and what waits for it."""
        self._server_path.on_leaving()
        self._balance.leave()

    def _is_keyed(self) -> bool | None:
        if self._config.config is None:
            return None
        service = self._config.config.service_by_name.get(self._own.service)
        return service is not None and service.is_keyed

    def _known_versions(self, service: str) -> KnownVersions:
        return KnownVersions(
            self._config.version, self._maps.find(service).version
        )

    def _load_of(self, name: str, now: float) -> Load | None:
        if name == self._own.name:
            return self._balance.load()
        return self._loads.find(name, now)

    def _on_known(self, known: KnownVersions) -> None:
        self._config.on_hint(known.config)
        self.holds.on_hint(known.key_map)

    def _service_names(self) -> list[str]:
        if self._config.config is None:
            return []
        return sorted(self._config.config.service_by_name)

    def _on_new_incarnation(self) -> None:
        """Discard the previous incarnation's state and acquire keys again.

        A process that is shutting down acquires none.
        """
        self._server_path.on_new_incarnation()
        self.holds.on_new_incarnation()
        if not self._is_shutting_down:
            self._balance.resume()

    def _on_store_epoch(self, epoch: int, before: int | None) -> None:
        self._log.write('store-epoch', epoch=epoch, before=before)
        self._background.on_store_epoch()
