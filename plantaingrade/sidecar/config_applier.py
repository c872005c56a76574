"""Apply the configuration to the parts of one process."""

from plantaingrade.admission.cold import ColdAllowance
from plantaingrade.admission.rate_limit import RateLimit
from plantaingrade.config.entity import RoutingConfig, ServiceConfig
from plantaingrade.http.server import HttpServer
from plantaingrade.sidecar.endpoints import CallerEndpoint
from plantaingrade.sidecar.settings import Bounds


class ConfigApplier:
    """Applies all settings of the configuration except the routes."""

    __slots__ = ('_bounds', '_cold', '_caller_endpoint', '_server', '_service')

    def __init__(
        self,
        service: str,
        bounds: Bounds,
        server: HttpServer,
        caller_endpoint: CallerEndpoint,
        cold: ColdAllowance,
    ) -> None:
        """Apply limits for callers at a server, and for cold servers."""
        self._service = service
        self._bounds = bounds
        self._server = server
        self._caller_endpoint = caller_endpoint
        self._cold = cold

    def apply(self, config: RoutingConfig) -> None:
        """Apply the limits on callers and on the load of a cold server."""
        self._server.idle_s = config.limits.idle_timeout_s
        self._caller_endpoint.limits = config.limits
        service = config.service_by_name.get(self._service)
        self._cold.apply_limit(self._cold_limit(service))

    def _cold_limit(self, service: ServiceConfig | None) -> RateLimit | None:
        if service is None or service.cold_per_s is None:
            return None
        return RateLimit.from_cold_bounds(
            service.cold_per_s,
            self._bounds.cold_overage,
            self._bounds.cold_slack,
        )
