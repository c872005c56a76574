"""Find the route and the service of a request."""

from plantaingrade.config.entity import Route, RoutingConfig

SLASH = '/'


class RouteTable:
    """Routes of one configuration, by host and prefix.

    Prefixes begin and end with a slash, so a lookup truncates the path at each
    slash from its end. Its cost grows with the depth of the path, not with the
    number of routes.
    """

    __slots__ = ('_round_robin_by_route', '_route_by_host_prefix')

    def __init__(self, config: RoutingConfig) -> None:
        """Index the routes of a configuration."""
        self._route_by_host_prefix = {
            (route.host, route.prefix): route for route in config.routes
        }
        self._round_robin_by_route: dict[str, WeightedRoundRobin] = {}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        end = len(path)
        while end > 0:
            end = path.rfind(SLASH, 0, end)
            if end < 0:
                return None
            route = self._route_by_host_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        round_robin = self._round_robin_by_route.get(route.name)
        if round_robin is None:
            round_robin = WeightedRoundRobin(route)
            self._round_robin_by_route[route.name] = round_robin
        return round_robin.next_service()


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of one route.

    It keeps each share within one request of its weight, whereas random choices
    deviate by the square root of the number of requests.
    """

    __slots__ = ('_credit_by_service', '_shares', '_total_weight')

    def __init__(self, route: Route) -> None:
        """Start with no credit for any service."""
        self._shares = route.shares
        self._total_weight = sum(share.weight for share in route.shares)
        self._credit_by_service = {share.service: 0.0 for share in route.shares}

    def next_service(self) -> str:
        """Return the service for the next request."""
        credits = self._credit_by_service
        for share in self._shares:
            credits[share.service] += share.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= self._total_weight
        return chosen
