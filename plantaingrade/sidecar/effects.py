"""Put what the configuration says into effect at one process."""

from plantaingrade.admission.cold import ColdAllowance, ColdLimit
from plantaingrade.config.entity import RoutingConfig, ServiceConfig
from plantaingrade.http.server import HttpServer
from plantaingrade.sidecar.endpoints import CallerFront
from plantaingrade.sidecar.settings import Bounds


class ConfigEffects:
    """Parts that follow the configuration, beside the routes."""

    __slots__ = ('_bounds', '_cold', '_front', '_server', '_service')

    def __init__(
        self,
        service: str,
        bounds: Bounds,
        server: HttpServer,
        front: CallerFront,
        cold: ColdAllowance,
    ) -> None:
        """Follow for callers at a server, and for the own backend server."""
        self._service = service
        self._bounds = bounds
        self._server = server
        self._front = front
        self._cold = cold

    def apply(self, config: RoutingConfig) -> None:
        """Take the limits on callers, and on what a cold server gets."""
        self._server.idle_s = config.limits.idle_timeout_s
        self._front.limits = config.limits
        service = config.service_by_name.get(self._service)
        self._cold.apply_limit(self._cold_limit(service))

    def _cold_limit(self, service: ServiceConfig | None) -> ColdLimit | None:
        if service is None or service.cold_per_s is None:
            return None
        return ColdLimit.from_bounds(
            service.cold_per_s,
            self._bounds.cold_overage,
            self._bounds.cold_slack,
        )
